//! The process of an instance: its start, and the control thread, which owns the node.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    time::Duration,
};

use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusBuilder;

use super::{
    Event, SharedView, Verdict, callers,
    durable::write_first,
    engines,
    fleet::unix_ms,
    operators,
    peers::{PeerConfig, Peers},
    platform::{self, WatchedServices},
    signals::EarlySignals,
};
use crate::{
    coordination::{
        control::ControlMachine,
        entry::RequestId,
        node::{Input, Node, Output, RecordStanding, Ticket},
        view::View,
    },
    core::{Millis, Settings, clock::Clock, settings::Role},
    protocol::operator::OperatorReply,
    state::{disk::Disk, log::Persist},
    util::{log, random},
};

/// The interval of the node's ticks.
const TICK: Duration = Duration::from_millis(25);
/// The maximum number of events handled at a time; their writes share one sync of the disk.
const MAX_BATCH: usize = 512;

/// Runs an instance until it receives SIGTERM or SIGINT and has drained its requests.
///
/// # Errors
///
/// Returns an error if the instance can't be started: an address in use, or a data folder that
/// can't be read.
pub fn run(settings: Settings, signals: EarlySignals) -> anyhow::Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let settings = Arc::new(settings);
    let (tx, rx) = mpsc::channel();
    signals.catch_interrupt()?;
    let draining = signals.termination();

    let clock = Clock::start();
    let (disk, control) = open_replica(&settings, clock)?;
    let claimer = random::number()?;
    let node = Node::new(clock.now(), (*settings).clone(), unix_ms(), claimer, control);
    let view: SharedView = Arc::new(RwLock::new(Arc::new(View::default())));
    let peers = Peers::start(PeerConfig::of(&settings, tx.clone()))?;
    let watched = WatchedServices::default();
    let own = settings.own_peer();
    let url = settings.platform_list.clone();
    platform::start(url, own.failure_domain.clone(), watched.clone(), tx.clone())?;
    callers::start(&settings, view.clone(), tx.clone())?;
    operators::start(&settings, tx.clone(), metrics, draining.clone())?;
    log::event("started", &settings.instance);

    let control_thread = ControlThread {
        clock,
        node,
        disk,
        peers,
        watched,
        view,
        events: tx,
        callers: BTreeMap::new(),
        operators: BTreeMap::new(),
        next_ticket: 1,
        logged_standing: None,
        signals,
    };
    control_thread.run(&rx, &draining);
    log::event("stopped", &settings.instance);
    Ok(())
}

/// Opens the replica of the record if this instance is to have one.
fn open_replica(
    settings: &Settings,
    clock: Clock,
) -> anyhow::Result<(Option<Disk>, Option<ControlMachine>)> {
    let Some(folder) =
        settings.data.as_ref().filter(|_| settings.own_peer().has_role(Role::Control))
    else {
        return Ok((None, None));
    };
    // 1 is the replica number of the founding members, so new numbers start at 2.
    let new_number = random::number()?.max(2);
    let (disk, contents) = Disk::open(folder, &settings.instance, new_number)?;
    if contents.torn_bytes > 0 {
        log::warning("torn-write-cut", &contents.torn_bytes);
    }
    let seed = random::number()?;
    let control = ControlMachine::new(clock.now(), contents.id, contents.stored, seed)?;
    Ok((Some(disk), Some(control)))
}

/// The thread that owns the node.
struct ControlThread {
    clock: Clock,
    node: Node,
    disk: Option<Disk>,
    peers: Peers,
    watched: WatchedServices,
    view: SharedView,
    /// Cloned for the threads that are started later.
    events: mpsc::Sender<Event>,
    callers: BTreeMap<RequestId, mpsc::Sender<Verdict>>,
    operators: BTreeMap<Ticket, mpsc::Sender<OperatorReply>>,
    next_ticket: Ticket,
    /// The state in the consensus on the record that was last logged.
    logged_standing: Option<RecordStanding>,
    signals: EarlySignals,
}

impl ControlThread {
    fn run(mut self, events: &mpsc::Receiver<Event>, draining: &AtomicBool) {
        let mut next_tick = self.clock.now();
        let mut drain_begun = false;
        loop {
            let now = self.clock.now();
            let next_flush = self.node.next_flush().unwrap_or(next_tick);
            let wait = next_tick.min(next_flush).since(now).as_duration();
            let first = events.recv_timeout(wait).ok();
            let mut out = Vec::new();
            let rest = events.try_iter().take(MAX_BATCH);
            let batch: Vec<Event> = first.into_iter().chain(rest).collect();
            for event in batch {
                self.on_event(event, &mut out);
            }
            if draining.load(Ordering::Relaxed) && !drain_begun {
                drain_begun = true;
                log::event("draining", &self.node.open_requests());
                self.handle(Input::Drain, &mut out);
            }
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + Millis(TICK.as_millis() as u64);
                self.handle(Input::Tick, &mut out);
                gauge!("kingcup_open_requests").set(self.node.open_requests() as f64);
                if self.signals.take_hang_up() {
                    log::warning("hang-up-ignored", &"settings are read at the start only");
                }
            }
            self.node.flush(self.clock.now(), unix_ms(), &mut out);
            self.handle_outputs(out);
            self.log_record_standing();
            if drain_begun && self.node.is_drained() {
                // Other threads may still be sending the last responses and messages.
                std::thread::sleep(Duration::from_millis(200));
                return;
            }
        }
    }

    fn handle(&mut self, input: Input, out: &mut Vec<Output>) {
        self.node.handle(self.clock.now(), unix_ms(), input, out);
    }

    fn on_event(&mut self, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Input(input) => self.handle(input, out),
            Event::Arrived(arrival, keyed, tx) => {
                self.callers.insert(arrival.id, tx);
                self.handle(Input::Arrived(arrival, keyed), out);
            }
            Event::Requested(request, tx) => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.operators.insert(ticket, tx);
                self.handle(Input::OperatorRequest(ticket, request), out);
            }
        }
    }

    /// Handles a batch of outputs: first all writes to the disk, then the rest.
    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        let take_write = |output, writes: &mut Vec<Persist>| match output {
            Output::Persist(persist) => {
                writes.push(persist);
                None
            }
            output => Some(output),
        };
        let write = |writes| self.write(writes);
        for output in write_first(outputs, take_write, depends_on_disk, write) {
            self.handle_output(output);
        }
    }

    /// Writes to the disk and syncs it; returns false if there is no disk or it has failed.
    fn write(&mut self, writes: Vec<Persist>) -> bool {
        let (Some(disk), Some(log)) = (&mut self.disk, self.node.log()) else { return false };
        counter!("kingcup_disk_syncs").increment(1);
        let Err(err) = disk.write(writes, log) else { return true };
        log::warning("storage-failed", &err);
        self.disk = None;
        let mut out = Vec::new();
        self.handle(Input::StorageFailed(err), &mut out);
        for output in out {
            self.handle_output(output);
        }
        false
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Persist(_) => {}
            Output::Send(to, message) => self.peers.send(&to, &message),
            Output::Start { id, upstream, address } => {
                if let Some(tx) = self.callers.get(&id) {
                    // Sending fails if the thread has ended; it has reported the request's end.
                    let _ = tx.send(Verdict::Start(upstream, address));
                }
            }
            Output::GiveUp { id, code, retry_after } => {
                if let Some(tx) = self.callers.remove(&id) {
                    let _ = tx.send(Verdict::GiveUp { code, retry_after });
                }
            }
            Output::Replay(id, answer) => {
                if let Some(tx) = self.callers.remove(&id) {
                    let _ = tx.send(Verdict::Replay(answer));
                }
            }
            Output::OperatorReply(ticket, reply) => {
                if let Some(tx) = self.operators.remove(&ticket) {
                    let _ = tx.send(reply);
                }
            }
            Output::EngineRequest(ask) => engines::ask(self.clock, ask, self.events.clone()),
            Output::Watch(services) => self.watch(services),
            Output::ViewChanged => {
                let view = Arc::new(self.node.view().clone());
                *self.view.write().expect("no thread panics holding the view") = view;
                log::event("configuration", &self.node.view().index());
            }
            Output::Decided(decision) => log::event("decision", &decision),
            Output::Finished(id) => {
                self.callers.remove(&id);
            }
        }
    }

    /// Logs a change of the term or of the leader of the record.
    fn log_record_standing(&mut self) {
        let standing = self.node.record_standing();
        if standing != self.logged_standing {
            log::event("record-standing", &standing);
            self.logged_standing = standing;
        }
    }

    fn watch(&self, services: BTreeSet<crate::core::Service>) {
        *self.watched.lock().expect("no thread panics holding the set") = services;
    }
}

/// Returns whether an output may only be sent once the writes of its batch are on disk.
fn depends_on_disk(output: &Output) -> bool {
    use crate::protocol::Message;
    matches!(
        output,
        Output::Send(_, Message::Consensus(_) | Message::Record(_)) | Output::OperatorReply(..)
    )
}
