//! An entry's traffic: callers' connections, upstreams' connections, and the decisions between.
//!
//! All of it runs as tasks on one thread. A request waits for nothing but the network and its
//! turn; decisions are calls of [`Traffic`], without a message or a lock.

mod answer;
mod caller;
pub mod course;
mod decisions;
pub mod edge;
pub mod events;
mod lateness;
mod listing;
pub mod pool;
mod relay;
mod serve;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use ::metrics::gauge;
use anyhow::Context;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time,
};

use self::{
    decisions::{DecisionLog, GivenUp},
    edge::Edge,
    lateness::probe_lateness,
    pool::Pool,
};
use super::{
    fleet::{FleetHandle, FleetNews},
    listen::listen,
    metrics, reload,
    signals::EarlySignals,
    tasks::{EssentialTasks, run_on_this_thread},
};
use crate::{
    coordination::{
        fleet::{FleetInput, share_interval},
        listing::{ListingDuty, ListingPlan, Neighbours},
        overload::Overload,
        shutdown::{DrainStage, Shutdown},
        traffic::{RequestNo, Traffic, Verdict},
    },
    core::{Code, Instance, Millis, clock::Clock, fleet::FleetSettings},
    protocol::fleet::FleetEntry,
    util::log,
};

/// How often requests that wait are looked at: a small part of any target.
const POLL: Duration = Duration::from_millis(10);
/// How often idle connections are looked at.
const SWEEP: Millis = Millis(1_000);

/// Everything the tasks of one entry share.
pub(crate) struct Gateway<E> {
    edge: Arc<E>,
    settings: Arc<FleetSettings>,
    clock: Clock,
    traffic: RefCell<Traffic>,
    /// Requests that wait for a verdict.
    waiting: RefCell<HashMap<RequestNo, oneshot::Sender<Verdict>>>,
    pool: Rc<Pool>,
    decisions: DecisionLog,
    overload: Cell<Overload>,
    /// Whether a measurement for it is under way.
    is_probing: Cell<bool>,
    listing_plan: RefCell<ListingPlan>,
    /// What this entry has to do with reading the platform's list.
    listing_duty: Cell<ListingDuty>,
    /// The list as it is known here.
    listing: RefCell<listing::Known>,
    next_request: Cell<RequestNo>,
    open_requests: Cell<usize>,
    open_connections: Cell<usize>,
    shutdown: Cell<Shutdown>,
    /// Tells the tasks how far the stopping has come.
    drain: tokio::sync::watch::Sender<DrainStage>,
    fleet: FleetHandle,
}

impl<E: Edge> Gateway<E> {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn stage(&self) -> DrainStage {
        *self.drain.borrow()
    }

    /// Tells whether a request that may take this long surely ends before the process does.
    fn has_time_for(&self, patience: Millis) -> bool {
        self.shutdown.get().has_time_for(self.now(), patience)
    }

    /// Moves an entry that stops on by a stage, if it is time.
    fn step_shutdown(&self) -> DrainStage {
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
            && !self.overload.get().is_full()
            && traffic.configuration().is_some()
            && traffic.has_upstreams()
    }

    /// Shows what this entry holds and believes as metrics.
    fn show_state(&self, now: Millis) {
        let traffic = self.traffic.borrow();
        gauge!("kingcup_open_requests").set(self.open_requests.get() as f64);
        gauge!("kingcup_open_connections").set(self.open_connections.get() as f64);
        gauge!("kingcup_waiting_requests").set(traffic.waiting() as f64);
        gauge!("kingcup_refused_part").set(self.overload.get().part());
        gauge!("kingcup_turn_wait_ms").set(self.overload.get().turn_wait().0 as f64);
        gauge!("kingcup_entries").set(traffic.entry_count() as f64);
        let listing_age = self.listing_plan.borrow().age(now);
        gauge!("kingcup_listing_age_ms").set(listing_age.0 as f64);
        let version = traffic.configuration().map_or(0, |configuration| configuration.version);
        gauge!("kingcup_configuration_version").set(version as f64);
        for (name, upstream) in traffic.upstreams() {
            let label = name.as_str().to_owned();
            gauge!("kingcup_upstream_running", "upstream" => label.clone())
                .set(f64::from(upstream.running(now)));
            gauge!("kingcup_upstream_memory_tokens", "upstream" => label)
                .set(upstream.memory() as f64);
        }
    }

    /// Tells of a refusal before the request's route was looked for.
    fn refuse_unplaced(&self, code: Code, retry_after: Millis, request: Option<&str>) {
        let line = GivenUp {
            request,
            code: code.number(),
            route: None,
            organisation: None,
            retry_after_ms: retry_after,
            after_ms: Millis::ZERO,
            attempts: 0,
            tried: &[],
        };
        self.decisions.refused(code, &line);
    }

    /// Lets requests that wait go on as far as there is room.
    fn poll_waiting(&self) {
        let mut verdicts = Vec::new();
        self.traffic.borrow_mut().poll(self.now(), &mut verdicts);
        let mut waiting = self.waiting.borrow_mut();
        for (no, verdict) in verdicts {
            if let Some(tx) = waiting.remove(&no) {
                // A caller that left meanwhile is told of by its own task.
                let _ = tx.send(verdict);
            }
        }
    }

    fn on_news(&self, news: FleetNews) {
        match news {
            FleetNews::View(view) => {
                let out = view.domains().filter(|s| s.out).map(|s| s.name.clone());
                let out: BTreeSet<_> = out.collect();
                let mut traffic = self.traffic.borrow_mut();
                traffic.set_domains_out(out);
                let Some(whole) = view.whole() else { return };
                let known = traffic.configuration().map_or(0, |known| known.version);
                if whole.version <= known {
                    return;
                }
                match self.edge.decode_configuration(whole.text.as_bytes()) {
                    Ok(configuration) => {
                        log::event("configuration-in-force", &whole.version);
                        traffic.set_configuration(Arc::new(configuration));
                    }
                    Err(err) => log::warning("configuration-unreadable", &err),
                }
            }
            FleetNews::Entries(entries) => {
                let own = &self.settings.failure_domain;
                let here = entries.iter().filter(|FleetEntry(_, domain)| domain == own);
                let here: Vec<Instance> = here.map(|FleetEntry(entry, _)| entry.clone()).collect();
                let all: Vec<Instance> =
                    entries.into_iter().map(|FleetEntry(entry, _)| entry).collect();
                let neighbours = Neighbours { fleet: &all, domain: &here };
                let duty = neighbours.duty(&self.settings.instance());
                if self.listing_duty.replace(duty) != duty {
                    log::event("listing-duty", &duty);
                }
                self.traffic.borrow_mut().set_entries(all);
                if !self.listing_plan.borrow().is_known() {
                    self.fleet.tell(FleetInput::WantListing(None));
                }
            }
            FleetNews::Listed(from, news) => self.on_listing_news(from, news),
            FleetNews::ListingWanted(from) => self.tell_listing(from),
            FleetNews::Heard(from, report) => {
                self.traffic.borrow_mut().on_report(self.now(), from, report);
            }
        }
    }
}

/// Runs an entry until it is told to stop and has finished what it began.
///
/// # Errors
///
/// Returns an error if an address can't be listened on.
pub fn run<E: Edge>(
    edge: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    run_on_this_thread(run_tasks(edge, settings, signals))
}

async fn run_tasks<E: Edge>(
    edge: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    let callers = listen_on(settings.caller_address, "callers")?;
    let ready = listen_on(settings.ready_address, "readiness")?;
    metrics::start(settings.metrics_address).await.context("metrics")?;
    let (news_tx, mut news) = mpsc::unbounded_channel();
    let sink = move |event| {
        // Without the traffic thread the process is about to end.
        let _ = news_tx.send(event);
    };
    let fleet = FleetHandle::start(settings.clone(), Box::new(sink))?;
    let gateway = Rc::new(Gateway {
        traffic: RefCell::new(Traffic::new(settings.clone())),
        edge,
        clock: Clock::start(),
        waiting: RefCell::default(),
        pool: Rc::new(Pool::default()),
        decisions: DecisionLog::default(),
        overload: Cell::default(),
        is_probing: Cell::default(),
        listing_plan: RefCell::new(ListingPlan::new(&settings.instance())),
        listing_duty: Cell::default(),
        listing: RefCell::default(),
        next_request: Cell::new(1),
        open_requests: Cell::new(0),
        open_connections: Cell::new(0),
        shutdown: Cell::default(),
        drain: tokio::sync::watch::channel(DrainStage::Serving).0,
        fleet,
        settings: settings.clone(),
    });
    let mut tasks = EssentialTasks::default();
    tasks.spawn("callers", serve::accept_callers(gateway.clone(), callers));
    tasks.spawn("readiness", serve::accept_probes(gateway.clone(), ready));
    tasks.spawn("listing", listing::follow(gateway.clone()));
    let (edge, fleet) = (gateway.edge.clone(), gateway.fleet.clone());
    tasks.spawn("settings", reload::follow(edge, fleet, settings.clone()));
    tasks.spawn("news", {
        let gateway = gateway.clone();
        async move {
            while let Some(event) = news.recv().await {
                gateway.on_news(event);
            }
            Ok(())
        }
    });
    log::event("started", &settings.instance());
    tokio::select! {
        ended = keep_time(&gateway, &signals) => ended?,
        err = tasks.failure() => return Err(err),
    }
    log::event("stopped", &settings.instance());
    Ok(())
}

fn listen_on(address: Option<SocketAddr>, what: &str) -> anyhow::Result<TcpListener> {
    let address = address.with_context(|| format!("the settings name no address for {what}"))?;
    listen(address).with_context(|| format!("{what} at {address}"))
}

/// Does what is due from time to time, until the process has stopped.
async fn keep_time<E: Edge>(
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
    let mut next_sweep = Millis::ZERO;
    loop {
        tokio::select! {
            _ = ticks.tick() => probe_lateness(gateway),
            _ = terminated.recv() => begin_shutdown(gateway),
        }
        let now = gateway.now();
        gateway.poll_waiting();
        if now >= next_share {
            let report = {
                let mut traffic = gateway.traffic.borrow_mut();
                traffic.expire_reports(now);
                next_share = now + share_interval(traffic.entry_count());
                traffic.tell(now)
            };
            gateway.fleet.tell(FleetInput::Share(report));
        }
        if now >= next_sweep {
            next_sweep = now + SWEEP;
            let traffic = gateway.traffic.borrow();
            gateway.log_overload();
            gateway.show_state(now);
            gateway.decisions.next_second();
            gateway.pool.sweep(|name| traffic.upstreams().contains_key(name));
        }
        if gateway.step_shutdown() == DrainStage::Stopped {
            gateway.fleet.tell(FleetInput::Drain);
            time::sleep(POLL).await;
            return Ok(());
        }
    }
}

fn begin_shutdown<E: Edge>(gateway: &Gateway<E>) {
    let mut shutdown = gateway.shutdown.get();
    shutdown.begin(gateway.now(), gateway.settings.grace);
    gateway.shutdown.set(shutdown);
    gateway.drain.send_replace(shutdown.stage());
    log::event("draining", &gateway.open_requests.get());
}
