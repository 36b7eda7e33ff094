//! The thread that owns a [`FleetNode`]: its messages, its disk, its answers.
//!
//! The threads that carry traffic never wait for it. They send it what it should know and read
//! what it last published.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, mpsc},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use metrics::{counter, gauge};
use tokio::sync::oneshot;

use super::peers::{PeerConfig, PeerEvent, Peers};
use crate::{
    coordination::{
        control::ControlMachine,
        fleet::{FleetInput, FleetNode, FleetOutput, Ticket},
        view::View,
    },
    core::{Instance, Millis, clock::Clock, fleet::FleetSettings, settings::Role},
    protocol::{
        Message,
        fleet::{FleetEntry, ListingUpdate, LoadReport},
        record::{Command, Reply},
    },
    state::{
        disk::{self, Disk},
        log::Persist,
    },
    util::{log, process, random},
};

/// How often the node sees time pass.
const TICK: Millis = Millis(40);
/// Events handled in one turn; their writes share one sync.
const MAX_BATCH: usize = 256;
/// The pause before a disk that failed is tried again.
const DISK_RETRY: Millis = Millis(400);
/// Instances of a fleet that finds itself have no secret to share: nobody gives them one. The
/// frames still prove that nothing was lost or swapped on the way.
const OPEN_FLEET_KEY: &str = "kingcupgrade-open-fleet";

/// What the thread is told.
enum Event {
    Input(FleetInput),
    Asked(Command, Millis, oneshot::Sender<Reply>),
}

/// What the thread tells the threads that carry traffic.
#[derive(Debug)]
pub enum FleetNews {
    /// The configuration or the standing of a failure domain changed.
    View(Arc<View>),
    /// The entries of the fleet are these.
    Entries(Vec<FleetEntry>),
    /// Another entry told of its load.
    Heard(Instance, LoadReport),
    /// Another entry tells what it knows of the platform's list.
    Listed(Instance, ListingUpdate),
    /// Another entry wants the platform's list.
    ListingWanted(Instance),
}

/// Takes news; called on the control thread, so it must return at once.
pub type NewsSink = Box<dyn Fn(FleetNews) + Send>;

/// Talks to the control thread.
#[derive(Clone)]
pub struct FleetHandle {
    tx: mpsc::Sender<Event>,
}

impl FleetHandle {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on or the data folder can't be read.
    pub fn start(settings: Arc<FleetSettings>, news: NewsSink) -> anyhow::Result<FleetHandle> {
        let (tx, rx) = mpsc::channel();
        let clock = Clock::start();
        let control = settings.role == Role::Control;
        let opened = if control { Some(open_first(&settings, clock)?) } else { None };
        let (disk, machine) = opened.unzip();
        let peers = Peers::start(peer_config(&settings, tx.clone())).context("peers")?;
        let node = FleetNode::new(settings.clone(), machine);
        let thread = FleetThread {
            clock,
            node,
            disk,
            disk_retry: Millis::ZERO,
            peers,
            news,
            settings,
            operators: BTreeMap::new(),
            next_ticket: 1,
        };
        process::spawn_essential("control", move || thread.run(&rx))?;
        Ok(FleetHandle { tx })
    }

    /// Tells the node something; nothing happens once the thread has ended.
    pub fn tell(&self, input: FleetInput) {
        let _ = self.tx.send(Event::Input(input));
    }

    /// Asks the record, and waits for its answer for as long as `patience`.
    pub async fn ask(&self, command: Command, patience: Millis) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Event::Asked(command, patience, tx)).ok()?;
        rx.await.ok()
    }
}

fn peer_config(settings: &Arc<FleetSettings>, tx: mpsc::Sender<Event>) -> PeerConfig {
    let instance = settings.instance();
    let book = settings.clone();
    let port = match settings.role {
        Role::Entry => settings.entry_port,
        Role::Control => settings.control_port,
    };
    let sink = move |event| {
        if let PeerEvent::Received(from, message) = event {
            // Without the control thread the process is about to end.
            let _ = tx.send(Event::Input(FleetInput::Received(from, message)));
        }
    };
    PeerConfig {
        instance,
        address: (settings.ip, port).into(),
        fleet_key: OPEN_FLEET_KEY.into(),
        addresses: Arc::new(move |instance| book.instance_address(instance)),
        sink: Arc::new(sink),
    }
}

/// Opens the data folder at the start of the process, founding a record if the whole fleet starts.
fn open_first(settings: &FleetSettings, clock: Clock) -> anyhow::Result<(Disk, ControlMachine)> {
    let folder = settings.data.clone().context("a control instance needs a data folder")?;
    let instance = settings.instance();
    let seeds = settings.seed_instances();
    if settings.is_first_start && seeds.contains(&instance) && !disk::is_founded(&folder) {
        disk::found(&folder, &instance, &seeds)?;
    }
    open_replica(settings, &folder, clock)
}

fn open_replica(
    settings: &FleetSettings,
    folder: &Path,
    clock: Clock,
) -> anyhow::Result<(Disk, ControlMachine)> {
    // Numbers up to the founding one are taken.
    let fresh = random::number()?.max(2);
    let (mut disk, contents) = Disk::open(folder, &settings.instance(), fresh)?;
    if contents.torn > 0 {
        log::warning("torn-write-cut", &contents.torn);
    }
    disk.rewrite(&contents.stored.log)?;
    let seed = random::number()?;
    let mut control = ControlMachine::new(clock.now(), contents.id, contents.stored, seed)?;
    control.set_voter_target(settings.voters());
    Ok((disk, control))
}

/// Returns the wall clock in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

struct FleetThread {
    clock: Clock,
    node: FleetNode,
    disk: Option<Disk>,
    /// When a disk that failed is tried again.
    disk_retry: Millis,
    peers: Peers,
    news: NewsSink,
    settings: Arc<FleetSettings>,
    operators: BTreeMap<Ticket, oneshot::Sender<Reply>>,
    next_ticket: Ticket,
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
                self.show_state(now);
            }
            self.node.flush(self.clock.now(), unix_ms(), &mut out);
            self.carry_out(out);
        }
    }

    /// Shows how far this instance's configuration is confirmed as metrics.
    fn show_state(&self, now: Millis) {
        let view = self.node.view();
        gauge!("kingcup_record_index").set(view.index() as f64);
        let age = view.confirmed_age(now).unwrap_or(now);
        gauge!("kingcup_configuration_confirmed_age_ms").set(age.0 as f64);
    }

    fn on_event(&mut self, event: Event, out: &mut Vec<FleetOutput>) {
        let input = match event {
            Event::Input(input) => input,
            Event::Asked(command, patience, tx) => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.operators.insert(ticket, tx);
                FleetInput::Asked(ticket, command, patience)
            }
        };
        self.node.handle(self.clock.now(), unix_ms(), input, out);
    }

    /// Opens a disk that failed anew, from what it holds.
    ///
    /// After a failed sync the pages that were not written may be gone while the file looks clean,
    /// so the log is written anew as a whole before anything counts on it.
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

    /// Carries out a batch: everything for the disk first, with one sync, then the rest.
    ///
    /// A message may acknowledge any write of the batch. Were one sent before the sync, a crash
    /// could lose what another instance already counts on.
    fn carry_out(&mut self, outputs: Vec<FleetOutput>) {
        let mut writes = Vec::new();
        let mut rest = Vec::new();
        for output in outputs {
            match output {
                FleetOutput::Persist(persist) => writes.push(persist),
                output => rest.push(output),
            }
        }
        if !writes.is_empty() && !self.write(writes) {
            // Nothing that rests on the failed write may leave: no vote, no acknowledgement.
            rest.retain(|output| !rests_on_disk(output));
        }
        for output in rest {
            self.carry_out_one(output);
        }
    }

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
        out.into_iter().for_each(|output| self.carry_out_one(output));
        false
    }

    fn carry_out_one(&mut self, output: FleetOutput) {
        match output {
            FleetOutput::Persist(_) => {}
            FleetOutput::Send(to, message) => self.peers.send(&to, &message),
            FleetOutput::SendToAll(to, message) => self.peers.send_all(&to, &message),
            FleetOutput::Answer(ticket, reply) => {
                if let Some(tx) = self.operators.remove(&ticket) {
                    // An operator that hung up needs no answer.
                    let _ = tx.send(reply);
                }
            }
            FleetOutput::ViewChanged => {
                (self.news)(FleetNews::View(Arc::new(self.node.view().clone())));
            }
            FleetOutput::Entries(entries) => {
                log::event("entries", &entries.len());
                (self.news)(FleetNews::Entries(entries));
            }
            FleetOutput::Heard(from, report) => (self.news)(FleetNews::Heard(from, report)),
            FleetOutput::Listed(from, news) => (self.news)(FleetNews::Listed(from, news)),
            FleetOutput::ListingWanted(from) => (self.news)(FleetNews::ListingWanted(from)),
            FleetOutput::SourceChanged(source) => log::event("configuration-source", &source),
            FleetOutput::Restarted { instance, restarts } => {
                counter!("kingcup_restarts_seen").increment(1);
                log::event("instance-restarted", &(instance, restarts));
            }
            FleetOutput::StandingChanged(standing) => log::event("record-standing", &standing),
        }
    }
}

/// Tells whether an output says something about the record.
fn rests_on_disk(output: &FleetOutput) -> bool {
    matches!(
        output,
        FleetOutput::Send(_, Message::Consensus(_) | Message::Record(_)) | FleetOutput::Answer(..)
    )
}
