//! Reading of the platform's list of upstreams, and its exchange with other entries.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use metrics::{counter, gauge};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout_at},
};

use super::{
    Gateway,
    adapter::{NextPage, PlatformAdapter},
};
use crate::{
    coordination::{
        fleet::FleetInput,
        listing::{KnownListing, ListingDuty, MAX_SHARED_AGE},
    },
    core::{Instance, Millis},
    protocol::fleet::{ListedUpstream, ListingUpdate},
    transport::{answer_head, fleet::unix_ms},
    util::log,
};

/// How often to check whether a read of the list is due.
const POLL: Duration = Duration::from_millis(100);
/// A list that took longer to read is not sent to other entries: the process was suspended or
/// starved of processor time meanwhile, and the list may be older than theirs.
const MAX_READ_TIME: Millis = Millis(500);
/// The timeout for reading a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum length of a page, in bytes; what is longer is read up to there.
const MAX_PAGE_LEN: usize = 4 << 20;
/// The maximum number of pages read at a time.
const MAX_PAGES: usize = 1_000;
/// The interval at which it is logged that the list can't be read.
const UNREADABLE_LOG_INTERVAL: Millis = Millis(10_000);

type Sender = SendRequest<Full<Bytes>>;

/// Reads the list whenever that is due by this entry's duty.
pub(super) async fn follow<E: PlatformAdapter>(gateway: Rc<Gateway<E>>) -> anyhow::Result<()> {
    let mut sender = None;
    let mut health = ListingHealth::default();
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
        health.on_read(now, &read);
        match read {
            Ok(listing) => gateway.on_listing_read(listing, age, duty),
            Err(_) => sender = None,
        }
    }
}

impl<E: PlatformAdapter> Gateway<E> {
    /// Applies a list read from the platform, and sends it to the entries that this one reads for.
    fn on_listing_read(&self, read: ReadListing, age: Age, duty: ListingDuty) {
        let read_time = age.get().filter(|age| *age < MAX_READ_TIME);
        let own = self.settings.instance();
        let mut known = self.listing.borrow_mut();
        known.age = Some(age);
        let update = match read.is_complete {
            true => known.listing.on_read(&own, unix_ms(), read.upstreams),
            false => known.listing.on_partial_read(&own, unix_ms(), read.upstreams),
        };
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

/// The platform's list as it was read.
struct ReadListing {
    upstreams: Vec<ListedUpstream>,
    /// The number of list entries that could not be decoded.
    unreadable: usize,
    /// Whether every page was read to its end.
    is_complete: bool,
}

/// Reads the list page by page, up to the first page whose successor is not known.
async fn read_all_pages<E: PlatformAdapter>(
    gateway: &Gateway<E>,
    sender: &mut Option<Sender>,
) -> anyhow::Result<ReadListing> {
    let mut listing = ReadListing { upstreams: Vec::new(), unreadable: 0, is_complete: false };
    let mut tokens = BTreeSet::new();
    let mut token = None;
    while tokens.len() < MAX_PAGES {
        let path = gateway.adapter.listing_path(token.as_deref());
        let body = read_page(gateway, sender, &path).await?;
        let page = gateway.adapter.decode_listing(&body.bytes)?;
        let (plausible, odd): (Vec<_>, Vec<_>) =
            page.upstreams.into_iter().partition(ListedUpstream::is_plausible);
        listing.upstreams.extend(plausible);
        listing.unreadable += page.unreadable + odd.len();
        match page.next {
            NextPage::None => {
                listing.is_complete = body.is_whole;
                break;
            }
            NextPage::Unreadable => break,
            // A page that was named before would be read again and again.
            NextPage::Token(next) if !tokens.insert(next.clone()) => break,
            NextPage::Token(next) => token = Some(next),
        }
    }
    Ok(listing)
}

/// The body of a page.
struct PageBody {
    bytes: Vec<u8>,
    /// Whether it was read to its end.
    is_whole: bool,
}

async fn read_page<E: PlatformAdapter>(
    gateway: &Gateway<E>,
    idle: &mut Option<Sender>,
    path: &str,
) -> anyhow::Result<PageBody> {
    let deadline = Instant::now() + PAGE_TIMEOUT;
    let requesting = request_page(gateway, idle, path);
    let (sender, response) = timeout_at(deadline.into(), requesting).await??;
    let status = response.status();
    anyhow::ensure!(status.is_success(), "request for the list of upstreams failed: {status}");
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let reading = read_bounded(&mut body, &mut bytes);
    let is_whole = matches!(timeout_at(deadline.into(), reading).await, Ok(Ok(true)));
    if is_whole {
        *idle = Some(sender);
    }
    Ok(PageBody { bytes, is_whole })
}

/// Reads a body into `bytes`; returns false if it is longer than a page may be.
async fn read_bounded(body: &mut Incoming, bytes: &mut Vec<u8>) -> Result<bool, hyper::Error> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if bytes.len() + data.len() > MAX_PAGE_LEN {
            return Ok(false);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(true)
}

async fn request_page<E: PlatformAdapter>(
    gateway: &Gateway<E>,
    idle: &mut Option<Sender>,
    path: &str,
) -> anyhow::Result<(Sender, Response<Incoming>)> {
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
    answer_head::check(response.status(), response.version(), response.headers())?;
    Ok((sender, response))
}

/// What went wrong with the list lately, for the log and the metrics.
#[derive(Default)]
struct ListingHealth {
    /// When it was last logged that the list can't be read, if it can't.
    unreadable_logged: Option<Millis>,
    unreadable_entries: usize,
    is_partial: bool,
}

impl ListingHealth {
    fn on_read(&mut self, now: Millis, read: &anyhow::Result<ReadListing>) {
        match read {
            Ok(listing) => self.on_success(listing),
            Err(err) => self.on_failure(now, err),
        }
    }

    fn on_success(&mut self, listing: &ReadListing) {
        if self.unreadable_logged.take().is_some() {
            log::event("listing-back", &listing.upstreams.len());
        }
        gauge!("kingcup_listing_unreadable_entries").set(listing.unreadable as f64);
        if std::mem::replace(&mut self.unreadable_entries, listing.unreadable) != listing.unreadable
        {
            log::warning("listing-entries-unreadable", &listing.unreadable);
        }
        let is_partial = !listing.is_complete;
        if std::mem::replace(&mut self.is_partial, is_partial) != is_partial {
            log::warning("listing-partial", &is_partial);
        }
    }

    fn on_failure(&mut self, now: Millis, err: &anyhow::Error) {
        counter!("kingcup_listing_failures").increment(1);
        if self.unreadable_logged.is_some_and(|at| now.since(at) < UNREADABLE_LOG_INTERVAL) {
            return;
        }
        self.unreadable_logged = Some(now);
        log::warning("listing-unreadable", &format!("{err:#}"));
    }
}
