//! A control instance: a replica of the record, and its service to the other instances.

use std::collections::BTreeMap;

use super::consensus::{Consensus, ConsensusOutput};
use crate::{
    core::{Document, Instance, Millis, code::CodedError},
    protocol::{
        Message,
        consensus::{ConsensusMessage, LogEntry, Payload},
        record::{Command, RecordMessage, Reply},
    },
    state::{
        log::{Persist, Stored},
        record::Record,
    },
};

/// Entries after which a snapshot is taken.
const SNAPSHOT_EVERY: usize = 2_000;
/// Bytes of configurations in the log after which a snapshot is taken: a tenth of a small disk.
const SNAPSHOT_LEN: usize = 8 << 20;
/// An instance that asked within this time is told of changes at once.
const SUBSCRIPTION: Millis = Millis(5_000);
/// Freshness older than this is not passed on: the instance can't reach a majority.
const MAX_AGE: Millis = Millis(5_000);

/// What a control instance wants done, in this order.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// Write to disk, synced before any later message leaves.
    Persist(Persist),
    /// Send a message to an instance.
    Send(Instance, Message),
    /// Send a message to all control instances that the settings name.
    SendToControls(ConsensusMessage),
}

/// A proposal whose entry is not final yet.
#[derive(Clone, Debug)]
struct Pending {
    term: u64,
    from: Instance,
    id: u64,
}

/// The state of a control instance.
#[derive(Clone, Debug)]
pub struct ControlMachine {
    consensus: Consensus,
    record: Record,
    pending: BTreeMap<u64, Pending>,
    /// What each asking instance has, and when it asked.
    subscribers: BTreeMap<Instance, (Millis, u64)>,
    told_index: u64,
    failed: Option<CodedError>,
    /// How many voters a record that repairs itself has; `None` where operators decide.
    voter_target: Option<usize>,
    /// Bytes of configurations applied since the last snapshot.
    applied_len: usize,
}

impl ControlMachine {
    /// Makes a control instance from what its disk held.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DataCorrupt`](crate::core::Code::DataCorrupt) if the snapshot can't be read.
    pub fn new(
        now: Millis,
        id: crate::protocol::consensus::ReplicaId,
        stored: Stored,
        seed: u64,
    ) -> Result<ControlMachine, CodedError> {
        let record = Record::decode(&stored.log.snapshot().data)?;
        let told_index = record.index();
        Ok(ControlMachine {
            consensus: Consensus::new(now, id, stored, seed),
            record,
            pending: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            told_index,
            failed: None,
            voter_target: None,
            applied_len: 0,
        })
    }

    /// Lets the record repair its members by itself, up to this many voters.
    pub fn set_voter_target(&mut self, target: usize) {
        self.voter_target = Some(target);
        self.consensus.set_voter_target(target);
    }

    /// Takes the next step towards voters that live, where operators don't decide.
    pub fn repair_members(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<ControlOutput>) {
        let Some(target) = self.voter_target.filter(|_| self.failed.is_none()) else { return };
        let mut outputs = Vec::new();
        self.consensus.repair_members(now, unix_ms, target, &mut outputs);
        self.carry_out(outputs, out);
    }

    /// Hands the lead over before the process stops.
    pub fn hand_over(&mut self, out: &mut Vec<ControlOutput>) {
        let mut outputs = Vec::new();
        self.consensus.hand_over(&mut outputs);
        self.carry_out(outputs, out);
    }

    /// Returns the replica.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the applied state.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Tells whether the replica is one of the record's members, as far as it knows.
    pub fn is_member(&self) -> bool {
        self.consensus.members().iter().any(|member| member.id == *self.consensus.id())
    }

    /// Returns the applied state, encoded, and the last entry it includes.
    pub fn backup(&mut self) -> (u64, Vec<u8>) {
        (self.consensus.applied(), self.record.encode())
    }

    /// Stops taking part after the disk has failed.
    pub fn on_storage_failed(&mut self, err: CodedError) {
        self.failed = Some(err);
    }

    /// Returns why the replica has stopped taking part, if it has.
    pub fn failure(&self) -> Option<&CodedError> {
        self.failed.as_ref()
    }

    /// Returns how long ago a majority confirmed the applied state, if that was of late.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.consensus.age(now).filter(|age| *age <= MAX_AGE && self.failed.is_none())
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<ControlOutput>) {
        if self.failed.is_some() {
            return;
        }
        self.subscribers.retain(|_, (asked, _)| now.since(*asked) <= SUBSCRIPTION);
        let mut outputs = Vec::new();
        self.consensus.tick(now, &mut outputs);
        self.carry_out(outputs, out);
        self.flush(now, out);
    }

    /// Handles a message from another replica.
    pub fn on_consensus(
        &mut self,
        now: Millis,
        message: &ConsensusMessage,
        out: &mut Vec<ControlOutput>,
    ) {
        if self.failed.is_some() {
            return;
        }
        let mut outputs = Vec::new();
        self.consensus.on_message(now, message, &mut outputs);
        self.carry_out(outputs, out);
    }

    /// Handles a message about the record.
    pub fn on_record(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: &RecordMessage,
        out: &mut Vec<ControlOutput>,
    ) {
        match message {
            RecordMessage::Pull { have, asked } => {
                self.subscribers.insert(from.clone(), (now, *have));
                let state = self.record.state_since(*have, Some(*asked), self.age(now));
                out.push(ControlOutput::Send(from.clone(), Message::Record(state)));
            }
            RecordMessage::Propose { id, command } => {
                self.on_propose(now, unix_ms, from, *id, command, out);
            }
            RecordMessage::State { .. }
            | RecordMessage::Answer { .. }
            | RecordMessage::Redirect { .. } => {}
        }
    }

    fn on_propose(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        id: u64,
        command: &Command,
        out: &mut Vec<ControlOutput>,
    ) {
        if let Some(err) = &self.failed {
            answer(from, id, Reply::Refused(err.clone()), out);
            return;
        }
        if !self.consensus.is_leader() {
            let leader = self.consensus.leader().map(|leader| leader.0.clone());
            let redirect = RecordMessage::Redirect { id, leader };
            out.push(ControlOutput::Send(from.clone(), Message::Record(redirect)));
            return;
        }
        if let Err(err) = check(command) {
            answer(from, id, Reply::Refused(err), out);
            return;
        }
        let mut outputs = Vec::new();
        let proposed = match command {
            Command::ChangeMembers { add: true, instance, .. } => {
                self.consensus.add_member(now, unix_ms, instance, &mut outputs)
            }
            Command::ChangeMembers { add: false, instance, replica } => {
                self.consensus.remove_member(now, unix_ms, instance, *replica, &mut outputs)
            }
            _ => {
                let payload = Payload::Command(command.clone());
                Ok(self.consensus.append(now, unix_ms, payload, &mut outputs))
            }
        };
        match proposed {
            Ok(index) => {
                let pending = Pending { term: self.consensus.term(), from: from.clone(), id };
                self.pending.insert(index, pending);
            }
            Err(err) => answer(from, id, Reply::Refused(err), out),
        }
        self.carry_out(outputs, out);
    }

    /// Sends what was proposed since the last call; many proposals share messages and one sync.
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ControlOutput>) {
        if self.failed.is_some() {
            return;
        }
        let mut outputs = Vec::new();
        if self.consensus.is_leader() {
            self.consensus.flush(now, &mut outputs);
        } else {
            self.redirect_pending(out);
        }
        self.carry_out(outputs, out);
        self.snapshot_if_due(out);
        self.tell_subscribers(out);
    }

    /// Sends proposers elsewhere after the lead was lost; their entries may still become final.
    fn redirect_pending(&mut self, out: &mut Vec<ControlOutput>) {
        let leader = self.consensus.leader().map(|leader| leader.0.clone());
        for (_, pending) in std::mem::take(&mut self.pending) {
            let redirect = RecordMessage::Redirect { id: pending.id, leader: leader.clone() };
            out.push(ControlOutput::Send(pending.from, Message::Record(redirect)));
        }
    }

    fn carry_out(&mut self, outputs: Vec<ConsensusOutput>, out: &mut Vec<ControlOutput>) {
        for output in outputs {
            match output {
                ConsensusOutput::Persist(persist) => out.push(ControlOutput::Persist(persist)),
                ConsensusOutput::Send(message) if message.to.1 == 0 => {
                    out.push(ControlOutput::SendToControls(message));
                }
                ConsensusOutput::Send(message) => {
                    let to = message.to.0.clone();
                    out.push(ControlOutput::Send(to, Message::Consensus(message)));
                }
                ConsensusOutput::Apply(entry) => self.apply(&entry, out),
                ConsensusOutput::Restore(snapshot) => match Record::decode(&snapshot.data) {
                    Ok(record) => self.record = record,
                    Err(err) => self.failed = Some(err),
                },
            }
        }
    }

    fn apply(&mut self, entry: &LogEntry, out: &mut Vec<ControlOutput>) {
        if let Payload::Command(Command::Replace(stored)) = &entry.payload {
            self.applied_len += stored.text.len();
        }
        let reply = self.record.apply(entry);
        let Some(pending) = self.pending.remove(&entry.index) else { return };
        if pending.term != entry.term {
            // Another leader's entry took the place; the proposer asks again.
            let redirect = RecordMessage::Redirect { id: pending.id, leader: None };
            out.push(ControlOutput::Send(pending.from, Message::Record(redirect)));
            return;
        }
        let reply = match (&entry.payload, reply) {
            (Payload::Members(members), _) => Reply::Members(members.clone()),
            (_, Some(reply)) => reply,
            (_, None) => return,
        };
        answer(&pending.from, pending.id, reply, out);
    }

    fn snapshot_if_due(&mut self, out: &mut Vec<ControlOutput>) {
        if self.consensus.log().len() < SNAPSHOT_EVERY && self.applied_len < SNAPSHOT_LEN {
            return;
        }
        self.applied_len = 0;
        let data = self.record.encode();
        let mut outputs = Vec::new();
        self.consensus.compact(data, &mut outputs);
        self.carry_out(outputs, out);
    }

    fn tell_subscribers(&mut self, out: &mut Vec<ControlOutput>) {
        if self.record.index() == self.told_index {
            return;
        }
        self.told_index = self.record.index();
        for (instance, (_, have)) in &self.subscribers {
            let state = self.record.state_since(*have, None, None);
            out.push(ControlOutput::Send(instance.clone(), Message::Record(state)));
        }
    }
}

/// Checks what a command carries before it takes a place in the record.
fn check(command: &Command) -> Result<(), CodedError> {
    match command {
        Command::ApplyDocument { text, .. } => Document::parse(text).map(|_| ()),
        Command::Order { setup, .. } => setup.check(),
        _ => Ok(()),
    }
}

fn answer(to: &Instance, id: u64, reply: Reply, out: &mut Vec<ControlOutput>) {
    let message = Message::Record(RecordMessage::Answer { id, reply });
    out.push(ControlOutput::Send(to.clone(), message));
}
