//! Following the platform's list of upstreams.

use std::{
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{Gateway, edge::Edge};
use crate::{coordination::fleet::FleetInput, protocol::fleet::ListedUpstream, util::log};

/// How often it is looked whether the list is to be read.
const LOOK: Duration = Duration::from_millis(100);
/// A reading that took longer is not told to others: the process was suspended or starved on the
/// way, and what it read may be older than what the others know.
const MAX_TOLD_AGE: Duration = Duration::from_millis(500);
/// How long reading a page may take.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Pages of one reading at most.
const MAX_PAGES: usize = 1_000;

type Sender = SendRequest<Full<Bytes>>;

/// Reads the list whenever this entry has to.
pub(super) async fn follow<E: Edge>(gateway: Rc<Gateway<E>>) {
    let mut sender = None;
    let mut is_reachable = true;
    loop {
        let is_reader = gateway.is_reader.get();
        if !gateway.listing_plan.borrow().is_due(gateway.now(), is_reader) {
            sleep(LOOK).await;
            continue;
        }
        let age = Age::start();
        let read = read_whole(&gateway, &mut sender).await;
        let entries = gateway.traffic.borrow().entry_count();
        let now = gateway.now();
        gateway.listing_plan.borrow_mut().on_read(now, read.is_ok(), entries);
        match read {
            Ok(listing) => {
                if !is_reachable {
                    log::event("listing-back", &listing.len());
                }
                is_reachable = true;
                if is_reader && age.is_below(MAX_TOLD_AGE) {
                    gateway.fleet.tell(FleetInput::ShareListing(listing.clone()));
                }
                gateway.set_listing(listing);
            }
            Err(err) => {
                if is_reachable {
                    log::warning("listing-unreadable", &format!("{err:#}"));
                }
                is_reachable = false;
                sender = None;
            }
        }
    }
}

/// How long ago something began, by both clocks: the steady one stands still while the machine is
/// suspended, and the wall clock may jump.
struct Age {
    steady: Instant,
    wall: SystemTime,
}

impl Age {
    fn start() -> Age {
        Age { steady: Instant::now(), wall: SystemTime::now() }
    }

    fn is_below(&self, most: Duration) -> bool {
        // A wall clock that went back says nothing.
        let wall = self.wall.elapsed().unwrap_or(Duration::MAX);
        self.steady.elapsed() < most && wall < most
    }
}

async fn read_whole<E: Edge>(
    gateway: &Gateway<E>,
    sender: &mut Option<Sender>,
) -> anyhow::Result<Vec<ListedUpstream>> {
    let mut listing = Vec::new();
    let mut page = None;
    for _ in 0..MAX_PAGES {
        let path = gateway.edge.listing_path(page.as_deref());
        let body = timeout(TIMEOUT, read_page(gateway, sender, &path)).await??;
        let read = gateway.edge.decode_listing(&body)?;
        if read.unreadable > 0 {
            log::warning("listing-entries-unreadable", &read.unreadable);
        }
        listing.extend(read.upstreams);
        page = read.next;
        if page.is_none() {
            break;
        }
    }
    Ok(listing)
}

async fn read_page<E: Edge>(
    gateway: &Gateway<E>,
    kept: &mut Option<Sender>,
    path: &str,
) -> anyhow::Result<Bytes> {
    let address = gateway
        .settings
        .listing_address
        .ok_or_else(|| anyhow::anyhow!("the settings name no list of upstreams"))?;
    let mut sender = match kept.take().filter(SendRequest::is_ready) {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(address).await?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(async move {
                // An error shows where the answer is awaited.
                let _ = connection.await;
            });
            sender
        }
    };
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    anyhow::ensure!(status.is_success(), "the list of upstreams answers {status}");
    *kept = Some(sender);
    Ok(body)
}
