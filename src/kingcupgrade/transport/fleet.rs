//! The control thread of an instance, which owns its [`FleetNode`], its disk and its peers.
//!
//! The thread that serves traffic never waits for the control thread: it sends inputs to it, and
//! receives updates from it.

use std::{
    path::Path,
    sync::{Arc, mpsc},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use metrics::{counter, gauge};
use tokio::sync::oneshot;

use super::{
    durable::write_first,
    operator_queue::{KnownIndex, OperatorCommand, WaitingOperators},
    peers::{PeerConfig, PeerEvent, PeerLimits, Peers},
};
use crate::{
    coordination::{
        control::ControlMachine,
        fleet::{FleetInput, FleetNode, FleetOutput},
        view::View,
    },
    core::{Instance, Millis, clock::Clock, fleet::FleetSettings, settings::Role},
    protocol::{
        Message,
        crash::CrashNews,
        fleet::{BegunStreams, FleetEntry, ListingUpdate, LoadReport, OriginRequest, StreamOrigin},
        record::{Command, Reply},
    },
    state::{
        disk::{self, Disk},
        log::Persist,
    },
    util::{log, process, random},
};

/// The interval of the node's ticks.
const TICK: Millis = Millis(40);
/// The maximum number of events handled at a time; their writes share one sync of the disk.
const MAX_BATCH: usize = 256;
/// The pause before a failed disk is opened again.
const DISK_RETRY: Millis = Millis(400);
/// The key of a fleet with dynamic membership. Its instances have no shared secret, because none
/// is configured; the frames' authentication codes still detect lost, swapped and altered ones.
const OPEN_FLEET_KEY: &str = "kingcupgrade-open-fleet";

/// An event for the control thread.
enum Event {
    Input(FleetInput),
    Requested(OperatorCommand),
    RoundTrip(Instance, Millis),
}

/// An update from the control thread.
#[derive(Debug)]
pub enum FleetUpdate {
    /// The configuration or the state of a failure domain has changed.
    View(Arc<View>),
    /// The configuration was confirmed to be the newest as of this long ago.
    Confirmed(Millis),
    /// A round trip to another instance took this long.
    RoundTrip(Instance, Millis),
    /// The set of entries in the fleet has changed.
    Entries(Vec<FleetEntry>),
    /// Another entry has reported its load.
    LoadReceived(Instance, LoadReport),
    /// Other entries tell of crashes.
    CrashesReceived(CrashNews),
    /// Another entry has sent the platform's list of upstreams, or a change of it.
    ListingReceived(Instance, ListingUpdate),
    /// Another entry has requested the platform's list of upstreams.
    ListingRequested(Instance),
    /// Another entry began these streams.
    StreamsBegun(Vec<BegunStreams>),
    /// Another entry asks where a stream began.
    OriginRequested(Instance, OriginRequest),
    /// The question with this number is decided.
    OriginFound(u64, StreamOrigin),
}

/// The receiver of updates; called on the control thread, so it must not block.
pub type UpdateSink = Box<dyn Fn(FleetUpdate) + Send>;

/// A handle to the control thread.
#[derive(Clone)]
pub struct FleetHandle {
    tx: mpsc::Sender<Event>,
    clock: Clock,
    known_index: KnownIndex,
}

impl FleetHandle {
    /// Starts the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on or the data folder can't be read.
    pub fn start(settings: Arc<FleetSettings>, sink: UpdateSink) -> anyhow::Result<FleetHandle> {
        let (tx, rx) = mpsc::channel();
        let clock = Clock::start();
        let control = settings.role == Role::Control;
        let opened = if control { Some(open_at_start(&settings, clock)?) } else { None };
        let (disk, machine) = opened.unzip();
        let peers = Peers::start(peer_config(&settings, tx.clone())).context("peers")?;
        let node = FleetNode::new(settings.clone(), random::number()?, machine);
        let known_index = KnownIndex::default();
        let thread = FleetThread {
            clock,
            known_index: known_index.clone(),
            node,
            disk,
            disk_retry: Millis::ZERO,
            peers,
            sink,
            settings,
            operators: WaitingOperators::default(),
        };
        process::spawn_essential("control", move || thread.run(&rx))?;
        Ok(FleetHandle { tx, clock, known_index })
    }

    /// Sends an input to the node; it is lost if the thread has ended.
    pub fn send(&self, input: FleetInput) {
        let _ = self.tx.send(Event::Input(input));
    }

    /// Returns the highest index of the record that this instance knows of.
    pub fn known_index(&self) -> u64 {
        self.known_index.get()
    }

    /// Submits a command to the record and returns the reply, if there is one within `timeout`.
    ///
    /// The command is dropped if the timeout has passed, or the caller has dropped the future, when
    /// the control thread takes it from its queue.
    pub async fn submit(&self, command: Command, timeout: Millis) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let deadline = self.clock.now() + timeout;
        self.tx.send(Event::Requested(OperatorCommand { command, deadline, tx })).ok()?;
        rx.await.ok()
    }
}

fn peer_config(settings: &Arc<FleetSettings>, tx: mpsc::Sender<Event>) -> PeerConfig {
    let instance = settings.instance();
    let address_book = settings.clone();
    let port = match settings.role {
        Role::Entry => settings.entry_port,
        Role::Control => settings.control_port,
    };
    let sink = move |event| {
        let event = match event {
            PeerEvent::Received(from, message) => {
                Event::Input(FleetInput::Received(from, *message))
            }
            PeerEvent::RoundTrip(peer, time) => {
                Event::RoundTrip(peer, Millis(time.as_millis() as u64))
            }
            PeerEvent::DialFailed { .. } => return,
        };
        // Sending fails only while the process exits, after the control thread has ended.
        let _ = tx.send(event);
    };
    PeerConfig {
        instance,
        address: (settings.ip, port).into(),
        fleet_key: OPEN_FLEET_KEY.into(),
        addresses: Arc::new(move |instance| address_book.instance_address(instance)),
        limits: PeerLimits::of(settings),
        sink: Arc::new(sink),
    }
}

/// Opens the data folder at the start of the process. If the fleet starts for the first time,
/// founds the record on the seed instances.
fn open_at_start(settings: &FleetSettings, clock: Clock) -> anyhow::Result<(Disk, ControlMachine)> {
    let folder = settings.data.clone().context("a control instance needs a data folder")?;
    let instance = settings.instance();
    let seeds = settings.seed_instances();
    if settings.is_first_start && seeds.contains(&instance) && !disk::is_initialised(&folder) {
        disk::init(&folder, &instance, &seeds)?;
    }
    open_replica(settings, &folder, clock)
}

fn open_replica(
    settings: &FleetSettings,
    folder: &Path,
    clock: Clock,
) -> anyhow::Result<(Disk, ControlMachine)> {
    // 1 is the replica number of the founding members, so new numbers start at 2.
    let new_number = random::number()?.max(2);
    let (mut disk, contents) = Disk::open(folder, &settings.instance(), new_number)?;
    if contents.torn_bytes > 0 {
        log::warning("torn-write-cut", &contents.torn_bytes);
    }
    disk.rewrite(&contents.stored.log)?;
    let seed = random::number()?;
    let mut control = ControlMachine::new(clock.now(), contents.id, contents.stored, seed)?;
    control.set_voter_target(settings.voters());
    Ok((disk, control))
}

/// Returns the time by the wall clock, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

struct FleetThread {
    clock: Clock,
    known_index: KnownIndex,
    node: FleetNode,
    disk: Option<Disk>,
    /// When a failed disk is to be opened again.
    disk_retry: Millis,
    peers: Peers,
    sink: UpdateSink,
    settings: Arc<FleetSettings>,
    operators: WaitingOperators,
}

impl FleetThread {
    fn run(mut self, events: &mpsc::Receiver<Event>) {
        let mut next_tick = self.clock.now();
        loop {
            let wait: Duration = next_tick.since(self.clock.now()).as_duration();
            let first = match events.recv_timeout(wait) {
                Ok(event) => Some(event),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            };
            let mut out = Vec::new();
            let rest = events.try_iter().take(MAX_BATCH);
            let batch: Vec<Event> = first.into_iter().chain(rest).collect();
            for event in batch {
                self.on_event(event, &mut out);
            }
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.retry_disk(now, &mut out);
                self.node.handle(now, unix_ms(), FleetInput::Tick, &mut out);
                self.record_metrics(now);
            }
            self.node.flush(self.clock.now(), unix_ms(), &mut out);
            self.handle_outputs(out);
            self.publish_index();
        }
    }

    fn publish_index(&self) {
        let replicated = self.node.control().map_or(0, |control| control.record().index());
        self.known_index.raise(replicated.max(self.node.view().index()));
    }

    /// Sets the gauges of the record's index and of the time since the configuration was confirmed.
    fn record_metrics(&self, now: Millis) {
        let view = self.node.view();
        gauge!("kingcup_record_index").set(view.index() as f64);
        let age = view.confirmed_age(now).unwrap_or(now);
        gauge!("kingcup_configuration_confirmed_age_ms").set(age.0 as f64);
        if let Some(control) = self.node.control() {
            let leads = control.consensus().is_leader();
            gauge!("kingcup_record_leads").set(f64::from(u8::from(leads)));
        }
    }

    fn on_event(&mut self, event: Event, out: &mut Vec<FleetOutput>) {
        let input = match event {
            Event::Input(input) => input,
            Event::Requested(requested) => {
                match self.operators.admit(self.clock.now(), requested) {
                    Some(input) => input,
                    None => return,
                }
            }
            Event::RoundTrip(peer, time) => {
                (self.sink)(FleetUpdate::RoundTrip(peer, time));
                return;
            }
        };
        self.node.handle(self.clock.now(), unix_ms(), input, out);
    }

    /// Reopens a failed disk and restores the replica from it, if that is due.
    ///
    /// After a failed sync, the kernel may have dropped the unwritten pages and marked the file as
    /// clean, so the whole log is rewritten before anything relies on it.
    fn retry_disk(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        if self.settings.role != Role::Control || self.disk.is_some() || now < self.disk_retry {
            return;
        }
        self.disk_retry = now + DISK_RETRY;
        let Some(folder) = self.settings.data.clone() else { return };
        match open_replica(&self.settings, &folder, self.clock) {
            Ok((disk, control)) => {
                log::event("storage-back", &folder);
                self.disk = Some(disk);
                let input = FleetInput::StorageBack(Box::new(control));
                self.node.handle(now, unix_ms(), input, out);
            }
            Err(err) => log::warning("storage-still-failing", &err.to_string()),
        }
    }

    /// Handles a batch of outputs: first all writes to the disk, then the rest.
    fn handle_outputs(&mut self, outputs: Vec<FleetOutput>) {
        let take_write = |output, writes: &mut Vec<Persist>| match output {
            FleetOutput::Persist(persist) => {
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
        let now = self.clock.now();
        self.disk_retry = now + DISK_RETRY;
        let mut out = Vec::new();
        self.node.handle(now, unix_ms(), FleetInput::StorageFailed(err), &mut out);
        out.into_iter().for_each(|output| self.handle_output(output));
        false
    }

    fn handle_output(&mut self, output: FleetOutput) {
        match output {
            FleetOutput::Persist(_) => {}
            FleetOutput::Send(to, message) => self.peers.send(&to, &message),
            FleetOutput::SendToAll(to, message) => self.peers.send_all(&to, &message),
            FleetOutput::Answer(ticket, reply) => {
                if let Reply::Accepted { index, .. } = &reply {
                    // The operator's next change is made from this one.
                    self.known_index.raise(*index);
                }
                self.operators.answer(ticket, reply);
            }
            FleetOutput::ViewChanged => {
                (self.sink)(FleetUpdate::View(Arc::new(self.node.view().clone())));
            }
            FleetOutput::ViewConfirmed(age) => (self.sink)(FleetUpdate::Confirmed(age)),
            FleetOutput::RolloutDecided(decision) => log::event("rollout-decided", &decision),
            FleetOutput::Entries(entries) => {
                log::event("entries", &entries.len());
                (self.sink)(FleetUpdate::Entries(entries));
            }
            FleetOutput::LoadReceived(from, report) => {
                (self.sink)(FleetUpdate::LoadReceived(from, report))
            }
            FleetOutput::CrashesReceived(news) => (self.sink)(FleetUpdate::CrashesReceived(news)),
            FleetOutput::ListingReceived(from, update) => {
                (self.sink)(FleetUpdate::ListingReceived(from, update))
            }
            FleetOutput::ListingRequested(from) => (self.sink)(FleetUpdate::ListingRequested(from)),
            FleetOutput::StreamsBegun(begun) => (self.sink)(FleetUpdate::StreamsBegun(begun)),
            FleetOutput::OriginRequested(from, request) => {
                (self.sink)(FleetUpdate::OriginRequested(from, request))
            }
            FleetOutput::OriginFound(number, origin) => {
                (self.sink)(FleetUpdate::OriginFound(number, origin))
            }
            FleetOutput::SourceChanged(source) => log::event("configuration-source", &source),
            FleetOutput::Restarted { instance, restarts } => {
                counter!("kingcup_restarts_seen").increment(1);
                log::event("instance-restarted", &(instance, restarts));
            }
            FleetOutput::RecordStatusChanged(status) => log::event("record-standing", &status),
        }
    }
}

/// Returns whether an output may only be sent once the writes of its batch are on disk.
fn depends_on_disk(output: &FleetOutput) -> bool {
    matches!(
        output,
        FleetOutput::Send(_, Message::Consensus(_) | Message::Record(_)) | FleetOutput::Answer(..)
    )
}
