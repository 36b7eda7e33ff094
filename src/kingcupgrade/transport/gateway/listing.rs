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
use crate::{
    coordination::{
        fleet::FleetInput,
        listing::{ListingDuty, MAX_TOLD_AGE},
    },
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, Listing},
    util::log,
};

/// How often it is looked whether the list is to be read.
const LOOK: Duration = Duration::from_millis(100);
/// A reading that took longer is not told to others: the process was suspended or starved on the
/// way, and what it read may be older than what the others know.
const MAX_READ_TIME: Millis = Millis(500);
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
        let duty = gateway.listing_duty.get();
        if !gateway.listing_plan.borrow().is_due(gateway.now(), duty) {
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
                let known = Known { upstreams: listing, age };
                if duty != ListingDuty::Hears
                    && let Some(listing) = known.to_tell(MAX_READ_TIME)
                {
                    gateway.fleet.tell(FleetInput::ShareListing(listing));
                }
                gateway.set_listing(known);
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

impl<E: Edge> Gateway<E> {
    pub(super) fn set_listing(&self, known: Known) {
        self.traffic.borrow_mut().set_listing(self.now(), known.upstreams.clone());
        *self.listing.borrow_mut() = Some(known);
        self.poll_waiting();
    }

    /// Tells an entry that starts what is known here, if that is young enough.
    pub(super) fn tell_listing(&self, to: Instance) {
        let listing = self.listing.borrow();
        let Some(listing) = listing.as_ref().and_then(|known| known.to_tell(MAX_TOLD_AGE)) else {
            return;
        };
        self.fleet.tell(FleetInput::TellListing(to, listing));
    }
}

/// The platform's list as an entry knows it.
pub(super) struct Known {
    upstreams: Vec<ListedUpstream>,
    age: Age,
}

impl Known {
    /// Takes in what another entry told.
    pub(super) fn told(listing: Listing) -> Known {
        let age = Age { before: listing.age, ..Age::start() };
        Known { upstreams: listing.upstreams, age }
    }

    /// Returns it as it is told to others, if it is younger than `most`.
    fn to_tell(&self, most: Millis) -> Option<Listing> {
        let age = self.age.get()?;
        (age < most).then(|| Listing { age, upstreams: self.upstreams.clone() })
    }
}

/// How long ago something began, by both clocks: the steady one stands still while the machine is
/// suspended, and the wall clock may jump.
struct Age {
    /// How long ago it was when it became known here.
    before: Millis,
    steady: Instant,
    wall: SystemTime,
}

impl Age {
    fn start() -> Age {
        Age { before: Millis::ZERO, steady: Instant::now(), wall: SystemTime::now() }
    }

    /// Returns it; `None` if the wall clock went back, and so says nothing.
    fn get(&self) -> Option<Millis> {
        let age = self.wall.elapsed().ok()?.max(self.steady.elapsed());
        Some(self.before + Millis(age.as_millis() as u64))
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
