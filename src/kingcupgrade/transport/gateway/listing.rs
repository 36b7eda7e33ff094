//! Reading of the platform's list of upstreams, and its exchange with other entries.

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

use super::{Gateway, adapter::PlatformAdapter};
use crate::{
    coordination::{
        fleet::FleetInput,
        listing::{KnownListing, ListingDuty, MAX_SHARED_AGE},
    },
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, ListingUpdate},
    transport::fleet::unix_ms,
    util::log,
};

/// How often to check whether a read of the list is due.
const POLL: Duration = Duration::from_millis(100);
/// A list that took longer to read is not sent to other entries: the process was suspended or
/// starved of processor time meanwhile, and the list may be older than theirs.
const MAX_READ_TIME: Millis = Millis(500);
/// The timeout for reading a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of pages read at a time.
const MAX_PAGES: usize = 1_000;

type Sender = SendRequest<Full<Bytes>>;

/// Reads the list whenever that is due by this entry's duty.
pub(super) async fn follow<E: PlatformAdapter>(gateway: Rc<Gateway<E>>) -> anyhow::Result<()> {
    let mut sender = None;
    let mut is_reachable = true;
    loop {
        let duty = gateway.listing_duty.get();
        if !gateway.listing_plan.borrow().is_due(gateway.now(), duty) {
            sleep(POLL).await;
            continue;
        }
        let age = Age::start();
        let read = read_all_pages(&gateway, &mut sender).await;
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

impl<E: PlatformAdapter> Gateway<E> {
    /// Applies a list read from the platform, and sends it to the entries that this one reads for.
    fn on_listing_read(&self, upstreams: Vec<ListedUpstream>, age: Age, duty: ListingDuty) {
        let read_time = age.get().filter(|age| *age < MAX_READ_TIME);
        let mut known = self.listing.borrow_mut();
        known.age = Some(age);
        let update = known.listing.on_read(&self.settings.instance(), unix_ms(), upstreams);
        drop(known);
        if let Some(age) = read_time {
            self.fleet.send(FleetInput::ShareListing(ListingUpdate { age, ..update }, duty));
        }
        self.set_listing();
    }

    /// Applies an update from another entry; asks that entry for the complete list if the update is
    /// relative to a list that this entry does not have.
    pub(super) fn on_listing_update(&self, from: Instance, update: ListingUpdate) {
        let age = update.age;
        let mut known = self.listing.borrow_mut();
        if !known.listing.on_change(update) {
            self.fleet.send(FleetInput::RequestListing(Some(from)));
            return;
        }
        known.age = Some(Age { initial: age, ..Age::start() });
        drop(known);
        self.listing_plan.borrow_mut().on_received(self.now(), age);
        self.set_listing();
    }

    /// Passes the known list to the scheduler, and polls the queue for requests that can start now.
    fn set_listing(&self) {
        let upstreams = self.listing.borrow().listing.upstreams().cloned().collect();
        self.traffic.borrow_mut().set_listing(self.now(), upstreams);
        self.poll_waiting();
    }

    /// Sends the known list to an entry that asked for it, if it is recent enough.
    pub(super) fn send_listing(&self, to: Instance) {
        let known = self.listing.borrow();
        let age = known.age.as_ref().and_then(Age::get).filter(|age| *age < MAX_SHARED_AGE);
        if let (Some(age), Some(complete)) = (age, known.listing.full_list()) {
            self.fleet.send(FleetInput::SendListing(to, ListingUpdate { age, ..complete }));
        }
    }
}

/// The platform's list as last read or received, and its age.
#[derive(Default)]
pub(super) struct CachedListing {
    listing: KnownListing,
    age: Option<Age>,
}

/// The time since an event, measured by two clocks: the monotonic clock stops while the machine is
/// suspended, and the wall clock may jump.
struct Age {
    /// The age when the measurement began.
    initial: Millis,
    monotonic: Instant,
    wall: SystemTime,
}

impl Age {
    fn start() -> Age {
        Age { initial: Millis::ZERO, monotonic: Instant::now(), wall: SystemTime::now() }
    }

    /// Returns the age by the clock that advanced more, or `None` if it is unknown because the wall
    /// clock was set back.
    fn get(&self) -> Option<Millis> {
        let age = self.wall.elapsed().ok()?.max(self.monotonic.elapsed());
        Some(self.initial + Millis(age.as_millis() as u64))
    }
}

async fn read_all_pages<E: PlatformAdapter>(
    gateway: &Gateway<E>,
    sender: &mut Option<Sender>,
) -> anyhow::Result<Vec<ListedUpstream>> {
    let mut listing = Vec::new();
    let mut page = None;
    for _ in 0..MAX_PAGES {
        let path = gateway.adapter.listing_path(page.as_deref());
        let body = timeout(PAGE_TIMEOUT, read_page(gateway, sender, &path)).await??;
        let read = gateway.adapter.decode_listing(&body)?;
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

async fn read_page<E: PlatformAdapter>(
    gateway: &Gateway<E>,
    idle: &mut Option<Sender>,
    path: &str,
) -> anyhow::Result<Bytes> {
    let address = gateway
        .settings
        .listing_address
        .ok_or_else(|| anyhow::anyhow!("the settings contain no address of the upstream list"))?;
    let mut sender = match idle.take().filter(SendRequest::is_ready) {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(address).await?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(async move {
                // An error is also returned to the task that awaits the response.
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
    anyhow::ensure!(status.is_success(), "request for the list of upstreams failed: {status}");
    *idle = Some(sender);
    Ok(body)
}
