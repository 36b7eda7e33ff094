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
        listing::{KnownListing, ListingDuty, MAX_TOLD_AGE},
    },
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, ListingUpdate},
    transport::fleet::unix_ms,
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
pub(super) async fn follow<E: Edge>(gateway: Rc<Gateway<E>>) -> anyhow::Result<()> {
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
                gateway.on_listing_read(listing, age, duty);
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
    /// Takes in what was read here, and tells those for whom this entry reads.
    fn on_listing_read(&self, upstreams: Vec<ListedUpstream>, age: Age, duty: ListingDuty) {
        let read_time = age.get().filter(|age| *age < MAX_READ_TIME);
        let mut known = self.listing.borrow_mut();
        known.age = Some(age);
        let news = known.listing.on_read(&self.settings.instance(), unix_ms(), upstreams);
        drop(known);
        if let Some(age) = read_time {
            self.fleet.tell(FleetInput::ShareListing(ListingUpdate { age, ..news }, duty));
        }
        self.set_listing();
    }

    /// Takes in what another entry tells; asks it for the whole list if that is needed.
    pub(super) fn on_listing_news(&self, from: Instance, news: ListingUpdate) {
        let age = news.age;
        let mut known = self.listing.borrow_mut();
        if !known.listing.on_news(news) {
            self.fleet.tell(FleetInput::WantListing(Some(from)));
            return;
        }
        known.age = Some(Age { before: age, ..Age::start() });
        drop(known);
        self.listing_plan.borrow_mut().on_heard(self.now(), age);
        self.set_listing();
    }

    fn set_listing(&self) {
        let upstreams = self.listing.borrow().listing.upstreams().cloned().collect();
        self.traffic.borrow_mut().set_listing(self.now(), upstreams);
        self.poll_waiting();
    }

    /// Tells an entry that asks what is known here, if that is young enough.
    pub(super) fn tell_listing(&self, to: Instance) {
        let known = self.listing.borrow();
        let age = known.age.as_ref().and_then(Age::get).filter(|age| *age < MAX_TOLD_AGE);
        if let (Some(age), Some(news)) = (age, known.listing.whole()) {
            self.fleet.tell(FleetInput::TellListing(to, ListingUpdate { age, ..news }));
        }
    }
}

/// The platform's list as this entry knows it.
#[derive(Default)]
pub(super) struct Known {
    listing: KnownListing,
    age: Option<Age>,
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
