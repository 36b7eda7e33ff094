//! The reverse proxy of an entry: connections from callers, connections to upstreams, and the
//! scheduling of requests between them.
//!
//! Everything runs as tasks on one thread. A request waits only for the network and for its turn on
//! the processor; scheduling decisions are direct calls of [`Traffic`], without messages or locks.

pub mod adapter;
mod bounded_stream;
pub mod caller;
mod collected;
mod decisions;
pub mod early_refusal;
mod end_check;
pub mod events;
pub mod latency;
mod listing;
mod memory;
mod origins;
mod plain;
pub mod pool;
mod probes;
mod race;
mod relay;
mod request;
mod response;
mod rollouts;
mod scheduling_delay;
mod serve;
mod source;
mod updates;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use ::metrics::{counter, gauge};
use anyhow::Context;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time,
};

use self::{
    adapter::PlatformAdapter,
    caller::limit_receive_buffers,
    collected::CollectedBytes,
    decisions::{DecisionLog, FailureLine, NoticeLine},
    memory::Memory,
    origins::OriginAnswers,
    pool::Pool,
    scheduling_delay::probe_scheduling_delay,
};
use super::{
    connection_limit::ConnectionLimit,
    fleet::FleetHandle,
    listen::listen,
    metrics, reload,
    signals::EarlySignals,
    tasks::{EssentialTasks, run_on_this_thread},
};
use crate::{
    coordination::{
        fleet::{FleetInput, share_interval},
        link::LinkLoad,
        listing::{ListingDuty, ListingPlan},
        notices::UpstreamNotice,
        overload::Overload,
        shutdown::{DrainStage, Shutdown},
        traffic::{CauseChange, Grant, RequestNo, Traffic, Verdict},
    },
    core::{Code, Millis, clock::Clock, fleet::FleetSettings},
    util::{log, random},
};

/// How often queued requests are polled: a small fraction of any latency target.
const POLL: Duration = Duration::from_millis(10);
/// The least time between two messages that tell other entries of crashes.
const CRASH_NEWS_INTERVAL: Millis = Millis(50);
/// How often idle connections are checked, metrics are set and log limits are reset.
const SWEEP: Millis = Millis(1_000);

/// The state shared by all tasks of one entry.
pub(crate) struct Gateway<E> {
    adapter: Arc<E>,
    settings: Arc<FleetSettings>,
    clock: Clock,
    /// A random number that identifies this process.
    process: u64,
    traffic: RefCell<Traffic>,
    /// Queued requests, each with the channel that receives its verdict.
    waiting: RefCell<HashMap<RequestNo, oneshot::Sender<Verdict>>>,
    pool: Rc<Pool>,
    decisions: DecisionLog,
    /// What is held of responses that are not complete yet.
    collected: Rc<CollectedBytes>,
    origin_answers: OriginAnswers,
    overload: RefCell<Overload>,
    link: RefCell<LinkLoad>,
    memory: Rc<Memory>,
    /// Whether a measurement of the scheduling delay is in progress.
    is_probing: Cell<bool>,
    listing_plan: RefCell<ListingPlan>,
    /// This entry's role in reading the platform's list of upstreams.
    listing_duty: Cell<ListingDuty>,
    /// The last known list of upstreams.
    listing: RefCell<listing::CachedListing>,
    next_request: Cell<RequestNo>,
    open_requests: Cell<usize>,
    open_connections: Cell<usize>,
    connections: ConnectionLimit,
    /// The connections that are read only to drop what was refused.
    discarding: Cell<usize>,
    shutdown: Cell<Shutdown>,
    /// Notifies the tasks of the stage of the shutdown.
    drain: tokio::sync::watch::Sender<DrainStage>,
    fleet: FleetHandle,
}

impl<E: PlatformAdapter> Gateway<E> {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn stage(&self) -> DrainStage {
        *self.drain.borrow()
    }

    /// Returns whether a request on this route ends before the process does, as far as that is known.
    fn has_time_for(&self, route: &str, timeout: Millis) -> bool {
        let now = self.now();
        let expected = match self.stage() {
            DrainStage::Serving => return true,
            _ => self.traffic.borrow().expected_duration(now, route),
        };
        self.shutdown.get().has_time_for(now, timeout, expected)
    }

    /// Advances a shutdown in progress by one stage if that is due, and returns the stage.
    fn advance_shutdown(&self) -> DrainStage {
        let mut shutdown = self.shutdown.get();
        let before = shutdown.stage();
        let is_idle = self.open_requests.get() == 0 && self.open_connections.get() == 0;
        let stage = shutdown.step(self.now(), is_idle);
        self.shutdown.set(shutdown);
        if stage != before {
            self.drain.send_replace(stage);
        }
        stage
    }

    fn is_ready(&self) -> bool {
        let traffic = self.traffic.borrow();
        self.stage() == DrainStage::Serving
            && !self.is_full()
            && self.connections.has_room()
            && traffic.configuration().is_some()
            && traffic.has_upstreams()
    }

    /// Sets the gauges of this entry's state.
    fn record_metrics(&self, now: Millis) {
        let traffic = self.traffic.borrow();
        gauge!("kingcup_open_requests").set(self.open_requests.get() as f64);
        gauge!("kingcup_open_connections").set(self.open_connections.get() as f64);
        gauge!("kingcup_waiting_requests").set(traffic.waiting() as f64);
        self.record_overload_metrics();
        let link_delay = self.link.borrow().delay();
        gauge!("kingcup_link_delay_ms").set(link_delay.0 as f64);
        gauge!("kingcup_entries").set(traffic.entry_count() as f64);
        let listing_age = self.listing_plan.borrow().age(now);
        gauge!("kingcup_listing_age_ms").set(listing_age.0 as f64);
        let version = traffic.configuration().map_or(0, |configuration| configuration.version);
        gauge!("kingcup_configuration_version").set(version as f64);
        for (name, upstream) in traffic.upstreams() {
            let label = name.as_str().to_owned();
            gauge!("kingcup_upstream_running", "upstream" => label.clone())
                .set(f64::from(upstream.running(now)));
            gauge!("kingcup_upstream_memory_tokens", "upstream" => label.clone())
                .set(upstream.memory() as f64);
            gauge!("kingcup_upstream_duration_factor", "upstream" => label.clone())
                .set(upstream.duration_factor(now));
            gauge!("kingcup_upstream_speed_answers", "upstream" => label.clone())
                .set(upstream.speed_answers(now));
            let limit = upstream.load_limit().unwrap_or(upstream.listed.slots);
            gauge!("kingcup_upstream_load_limit", "upstream" => label).set(f64::from(limit));
        }
    }

    /// Logs and counts the refusal of a request that has not been routed.
    fn log_unrouted_refusal(&self, code: Code, retry_after: Millis, request: Option<&str>) {
        let line = FailureLine {
            request,
            digest: None,
            code: code.number(),
            route: None,
            organisation: None,
            retry_after_ms: retry_after,
            after_ms: Millis::ZERO,
            attempts: 0,
            tried: &[],
            end: None,
        };
        self.decisions.refused(code, &line);
    }

    /// Delivers the verdicts on queued requests that can start or must be refused now.
    fn poll_waiting(&self) {
        let mut verdicts = Vec::new();
        self.traffic.borrow_mut().poll(self.now(), &mut verdicts);
        let mut waiting = self.waiting.borrow_mut();
        for (no, verdict) in verdicts {
            if let Some(tx) = waiting.remove(&no) {
                // Sending fails if the caller has disconnected; its own task handles that.
                let _ = tx.send(verdict);
            }
        }
    }

    /// Logs which causes of crashes are kept from upstreams from now on, and which no longer.
    fn log_cause_changes(&self) {
        for change in self.traffic.borrow_mut().take_cause_changes() {
            let kind = if matches!(change, CauseChange::Barred(_)) { "barred" } else { "freed" };
            counter!("kingcup_crash_causes", "change" => kind).increment(1);
            log::event("crash-cause", &change);
        }
    }

    /// Logs and counts the changes of the limits and ranks of upstreams since the last call.
    fn log_capability_changes(&self) {
        let changes = self.traffic.borrow_mut().take_capability_changes();
        if !changes.is_empty() {
            let count = changes.changes.len() as u64 + changes.untold;
            counter!("kingcup_capability_changes").increment(count);
            log::event("upstream-capability", &changes);
        }
    }

    /// Tells the other entries of crashes; returns whether there was anything to tell.
    fn share_crashes(&self, now: Millis) -> bool {
        let news = self.traffic.borrow_mut().take_crash_news(now);
        let has_news = !news.is_empty();
        if has_news {
            self.fleet.send(FleetInput::ShareCrashes(news));
        }
        has_news
    }

    /// Records what an upstream asks for on an answer, and logs it.
    fn on_notice(&self, grant: &Grant, notice: UpstreamNotice) {
        if notice.is_empty() {
            return;
        }
        let now = self.now();
        let mut traffic = self.traffic.borrow_mut();
        let before = traffic.notices_of(grant);
        traffic.on_notice(now, &grant.upstream, grant.incarnation, notice);
        // The answers to other requests that were on their way ask for the same.
        if before.takes_requests(now) {
            let kind = if notice.is_leaving { "leaving" } else { "backoff" };
            counter!("kingcup_upstream_notices", "kind" => kind).increment(1);
            let (upstream, incarnation) = (&grant.upstream, grant.incarnation);
            log::event("upstream-notice", &NoticeLine { upstream, incarnation, notice });
        }
    }
}

/// Runs an entry until it receives SIGTERM and has drained its requests.
///
/// # Errors
///
/// Returns an error if a listener can't be bound or an essential task fails.
pub fn run<E: PlatformAdapter>(
    adapter: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    run_on_this_thread(run_tasks(adapter, settings, signals))
}

async fn run_tasks<E: PlatformAdapter>(
    adapter: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    let callers = listen_on(settings.caller_address, "callers")?;
    if settings.memory_limit.is_some() {
        limit_receive_buffers(&callers);
    }
    let ready = listen_on(settings.ready_address, "readiness")?;
    metrics::start(settings.metrics_address).await.context("metrics")?;
    let (update_tx, mut updates) = mpsc::unbounded_channel();
    let sink = move |update| {
        // The receiver is dropped only while the process exits.
        let _ = update_tx.send(update);
    };
    let fleet = FleetHandle::start(settings.clone(), Box::new(sink))?;
    let clock = Clock::start();
    let gateway = Rc::new(Gateway {
        traffic: RefCell::new(Traffic::new(settings.clone())),
        adapter,
        clock,
        process: random::number()?,
        waiting: RefCell::default(),
        pool: Rc::new(Pool::default()),
        decisions: DecisionLog::default(),
        collected: Rc::default(),
        origin_answers: OriginAnswers::new(random::number()?),
        overload: RefCell::default(),
        link: RefCell::default(),
        memory: Memory::new(clock, settings.memory_limit, settings.max_sockets),
        is_probing: Cell::default(),
        listing_plan: RefCell::new(ListingPlan::new(&settings.instance())),
        listing_duty: Cell::default(),
        listing: RefCell::default(),
        next_request: Cell::new(1),
        open_requests: Cell::new(0),
        open_connections: Cell::new(0),
        connections: ConnectionLimit::new(
            "callers",
            serve::max_callers(settings.max_sockets, settings.memory_limit),
        ),
        discarding: Cell::new(0),
        shutdown: Cell::default(),
        drain: tokio::sync::watch::channel(DrainStage::Serving).0,
        fleet,
        settings: settings.clone(),
    });
    let mut tasks = EssentialTasks::default();
    tasks.spawn("callers", serve::accept_callers(gateway.clone(), callers));
    tasks.spawn("readiness", probes::accept_probes(gateway.clone(), ready));
    tasks.spawn("listing", listing::follow(gateway.clone()));
    let (adapter, fleet) = (gateway.adapter.clone(), gateway.fleet.clone());
    tasks.spawn("settings", reload::follow(adapter, fleet, settings.clone()));
    tasks.spawn("news", {
        let gateway = gateway.clone();
        async move {
            while let Some(update) = updates.recv().await {
                gateway.on_fleet_update(update);
            }
            Ok(())
        }
    });
    log::event("started", &settings.instance());
    tokio::select! {
        ended = run_timers(&gateway, &signals) => ended?,
        err = tasks.failure() => return Err(err),
    }
    log::event("stopped", &settings.instance());
    Ok(())
}

fn listen_on(address: Option<SocketAddr>, purpose: &str) -> anyhow::Result<TcpListener> {
    let address =
        address.with_context(|| format!("the settings contain no address for {purpose}"))?;
    listen(address).with_context(|| format!("could not listen for {purpose} on {address}"))
}

/// Runs the periodic work until the shutdown is complete.
async fn run_timers<E: PlatformAdapter>(
    gateway: &Rc<Gateway<E>>,
    signals: &EarlySignals,
) -> anyhow::Result<()> {
    let mut terminated = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    if signals.is_terminated() {
        begin_shutdown(gateway);
    }
    let mut ticks = time::interval(POLL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut next_share = Millis::ZERO;
    let mut next_crash_news = Millis::ZERO;
    let mut next_sweep = Millis::ZERO;
    let mut next_rollout_report = Millis::ZERO;
    loop {
        tokio::select! {
            _ = ticks.tick() => probe_scheduling_delay(gateway),
            _ = terminated.recv() => begin_shutdown(gateway),
        }
        let now = gateway.now();
        gateway.poll_waiting();
        gateway.log_cause_changes();
        gateway.memory.relieve();
        if now >= next_crash_news && gateway.share_crashes(now) {
            next_crash_news = now + CRASH_NEWS_INTERVAL;
        }
        gateway.link.borrow_mut().update(now, gateway.overload.borrow().scheduling_delay());
        if now >= next_share {
            let has_room = gateway.has_room();
            let report = {
                let mut traffic = gateway.traffic.borrow_mut();
                traffic.expire_reports(now);
                traffic.repeat_bars();
                traffic.set_own_room(has_room);
                next_share = now + share_interval(traffic.entry_count());
                traffic.take_report(now)
            };
            gateway.fleet.send(FleetInput::ShareLoad(report));
        }
        if now >= next_rollout_report {
            next_rollout_report = now + rollouts::REPORT_INTERVAL;
            gateway.report_rollouts(now);
        }
        if now >= next_sweep {
            next_sweep = now + SWEEP;
            gateway.report_plain(now);
            gateway.log_capability_changes();
            let traffic = gateway.traffic.borrow();
            gateway.log_overload();
            gateway.record_metrics(now);
            gateway.memory.report();
            gateway.decisions.next_second();
            gateway.pool.sweep(|name| traffic.upstreams().contains_key(name));
        }
        if gateway.advance_shutdown() == DrainStage::Stopped {
            gateway.fleet.send(FleetInput::Drain);
            time::sleep(POLL).await;
            return Ok(());
        }
    }
}

fn begin_shutdown<E: PlatformAdapter>(gateway: &Gateway<E>) {
    let mut shutdown = gateway.shutdown.get();
    shutdown.begin(gateway.now(), gateway.settings.grace);
    gateway.shutdown.set(shutdown);
    gateway.drain.send_replace(shutdown.stage());
    log::event("draining", &gateway.open_requests.get());
}
