//! An entry's traffic: callers' connections, upstreams' connections, and the decisions between.
//!
//! All of it runs as tasks on one thread. A request waits for nothing but the network and its
//! turn; decisions are calls of [`Traffic`], without a message or a lock.

mod answer;
mod caller;
pub mod edge;
pub mod events;
mod listing;
mod pool;
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

use anyhow::Context;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::LocalSet,
    time,
};

use self::{edge::Edge, pool::Pool};
use super::{
    fleet::{FleetHandle, FleetNews},
    reload,
};
use crate::{
    coordination::{
        fleet::FleetInput,
        shutdown::{DrainStage, Shutdown},
        traffic::{RequestNo, Traffic, Verdict},
    },
    core::{Millis, clock::Clock, fleet::FleetSettings},
    util::log,
};

/// How often requests that wait are looked at: a small part of any target.
const POLL: Duration = Duration::from_millis(10);
/// How often the other entries are told of this one's load. Shorter costs processor time in every
/// entry; longer lets entries send to the same upstream without knowing.
const SHARE: Millis = Millis(100);
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
            && traffic.configuration().is_some()
            && traffic.has_upstreams()
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
                self.traffic.borrow_mut().set_entries(entries.len());
            }
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
pub fn run<E: Edge>(edge: Arc<E>, settings: Arc<FleetSettings>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, run_tasks(edge, settings))
}

async fn run_tasks<E: Edge>(edge: Arc<E>, settings: Arc<FleetSettings>) -> anyhow::Result<()> {
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
        next_request: Cell::new(1),
        open_requests: Cell::new(0),
        open_connections: Cell::new(0),
        shutdown: Cell::default(),
        drain: tokio::sync::watch::channel(DrainStage::Serving).0,
        fleet,
        settings: settings.clone(),
    });
    let callers = listen(settings.caller_address, "callers").await?;
    let ready = listen(settings.ready_address, "readiness").await?;
    tokio::task::spawn_local(serve::accept_callers(gateway.clone(), callers));
    tokio::task::spawn_local(serve::accept_probes(gateway.clone(), ready));
    tokio::task::spawn_local(listing::follow(gateway.clone()));
    let (edge, fleet) = (gateway.edge.clone(), gateway.fleet.clone());
    tokio::task::spawn_local(reload::follow(edge, fleet, settings.clone()));
    tokio::task::spawn_local({
        let gateway = gateway.clone();
        async move {
            while let Some(event) = news.recv().await {
                gateway.on_news(event);
            }
        }
    });
    log::event("started", &settings.instance());
    keep_time(&gateway).await?;
    log::event("stopped", &settings.instance());
    Ok(())
}

async fn listen(address: Option<SocketAddr>, what: &str) -> anyhow::Result<TcpListener> {
    let address = address.with_context(|| format!("the settings name no address for {what}"))?;
    TcpListener::bind(address).await.with_context(|| format!("{what} at {address}"))
}

/// Does what is due from time to time, until the process has stopped.
async fn keep_time<E: Edge>(gateway: &Rc<Gateway<E>>) -> anyhow::Result<()> {
    let mut terminated = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut ticks = time::interval(POLL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut next_share = Millis::ZERO;
    let mut next_sweep = Millis::ZERO;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = terminated.recv() => begin_shutdown(gateway),
        }
        let now = gateway.now();
        gateway.poll_waiting();
        if now >= next_share {
            next_share = now + SHARE;
            let report = gateway.traffic.borrow().report(now);
            gateway.fleet.tell(FleetInput::Share(report));
        }
        if now >= next_sweep {
            next_sweep = now + SWEEP;
            let traffic = gateway.traffic.borrow();
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
