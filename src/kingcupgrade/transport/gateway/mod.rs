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
/// How long an entry that stops says that it is not ready before it closes connections: the
/// balancer asks once a second and believes the second answer.
const NOTICE: Millis = Millis(2_600);
/// The part of the grace time after which a process that stops ends whatever is still open.
const GRACE_PART: f64 = 0.97;

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
    /// When the process ends at the latest, once it is to stop.
    ends_at: Cell<Option<Millis>>,
    drain: tokio::sync::watch::Sender<DrainStage>,
    fleet: FleetHandle,
}

/// How far a process that stops has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainStage {
    /// It serves.
    Serving,
    /// It says that it is not ready, and still serves what comes.
    Noticed,
    /// It closes connections as they become idle.
    Closing,
}

impl<E: Edge> Gateway<E> {
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn stage(&self) -> DrainStage {
        *self.drain.borrow()
    }

    /// Tells whether a request that may take this long surely ends before the process does.
    ///
    /// One that is cut may have run, and its caller can't tell; refused before it is sent, it is
    /// taken by another entry at once.
    fn has_time_for(&self, patience: Millis) -> bool {
        match self.ends_at.get() {
            Some(ends_at) if self.stage() == DrainStage::Closing => self.now() + patience < ends_at,
            _ => true,
        }
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
        ends_at: Cell::new(None),
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
    let mut drain_began: Option<Millis> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = terminated.recv() => {
                let now = gateway.now();
                let grace = gateway.settings.grace.0 as f64 * GRACE_PART;
                let began = *drain_began.get_or_insert(now);
                gateway.ends_at.set(Some(began + Millis(grace as u64)));
                gateway.drain.send_replace(DrainStage::Noticed);
                log::event("draining", &gateway.open_requests.get());
            }
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
        if let Some(began) = drain_began
            && is_stopped(gateway, now, began)
        {
            gateway.fleet.tell(FleetInput::Drain);
            time::sleep(POLL).await;
            return Ok(());
        }
    }
}

/// Moves a process that stops on; tells whether it has stopped.
fn is_stopped<E: Edge>(gateway: &Gateway<E>, now: Millis, began: Millis) -> bool {
    let span = now.since(began);
    if span < NOTICE {
        return false;
    }
    if gateway.stage() < DrainStage::Closing {
        gateway.drain.send_replace(DrainStage::Closing);
    }
    let is_idle = gateway.open_requests.get() == 0 && gateway.open_connections.get() == 0;
    is_idle || gateway.ends_at.get().is_some_and(|ends_at| now >= ends_at)
}
