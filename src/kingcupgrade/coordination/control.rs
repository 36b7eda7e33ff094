//! A control instance: a replica of the record that serves the other instances.

use std::collections::BTreeMap;

use super::{
    consensus::{Consensus, ConsensusOutput},
    rollout::{RolloutWatch, watch::StageDecision},
};
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

/// The number of log entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: usize = 2_000;
/// The bytes of configurations in the log after which a snapshot is taken: a tenth of a small disk.
const SNAPSHOT_LEN: usize = 8 << 20;
/// How long after its last pull an instance is sent changes as they are applied.
const SUBSCRIPTION_TTL: Millis = Millis(5_000);
/// A confirmation older than this is not reported, since this instance can't reach a majority.
const MAX_AGE: Millis = Millis(5_000);

/// An action the caller must carry out; outputs are ordered.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// Write to disk and sync before any later message is sent.
    Persist(Persist),
    /// Send a message to an instance.
    Send(Instance, Message),
    /// Send a message to all control instances that the settings name.
    SendToControls(ConsensusMessage),
    /// Log the change of a rollout's stage that was proposed.
    RolloutDecided(StageDecision),
}

/// A proposal whose entry is not committed yet.
#[derive(Clone, Debug)]
struct Pending {
    term: u64,
    from: Instance,
    id: u64,
}

/// The state machine of a control instance.
#[derive(Clone, Debug)]
pub struct ControlMachine {
    consensus: Consensus,
    record: Record,
    /// Pending proposals, by the index of their entry.
    pending: BTreeMap<u64, Pending>,
    /// When each instance last pulled, and the index that it has.
    subscribers: BTreeMap<Instance, (Millis, u64)>,
    /// The index of the last change sent to the subscribers.
    notified_index: u64,
    rollouts: RolloutWatch,
    failed: Option<CodedError>,
    /// The number of voters that automatic repair aims for; `None` if operators change the members.
    voter_target: Option<usize>,
    /// Bytes of configurations applied since the last snapshot.
    applied_len: usize,
}

impl ControlMachine {
    /// Creates a control instance from its stored state.
    ///
    /// # Errors
    ///
    /// Returns [`Code::DataCorrupt`](crate::core::Code::DataCorrupt) if the snapshot can't be
    /// decoded.
    pub fn new(
        now: Millis,
        id: crate::protocol::consensus::ReplicaId,
        stored: Stored,
        seed: u64,
    ) -> Result<ControlMachine, CodedError> {
        let record = Record::decode(&stored.log.snapshot().data)?;
        let notified_index = record.index();
        Ok(ControlMachine {
            consensus: Consensus::new(now, id, stored, seed),
            record,
            pending: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            notified_index,
            rollouts: RolloutWatch::default(),
            failed: None,
            voter_target: None,
            applied_len: 0,
        })
    }

    /// Enables automatic repair of the members, with `target` voters.
    pub fn set_voter_target(&mut self, target: usize) {
        self.voter_target = Some(target);
        self.consensus.set_voter_target(target);
    }

    /// Proposes the next membership change if automatic repair is enabled.
    pub fn repair_members(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<ControlOutput>) {
        let Some(target) = self.voter_target.filter(|_| self.failed.is_none()) else { return };
        let mut outputs = Vec::new();
        self.consensus.repair_members(now, unix_ms, target, &mut outputs);
        self.handle_outputs(outputs, out);
    }

    /// Follows the running rollouts, and proposes the changes of their stages that are due if this
    /// instance leads.
    pub fn tick_rollouts(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<ControlOutput>) {
        self.rollouts.follow(now, unix_ms, self.record.running_rollouts());
        if !self.consensus.is_leader() || self.failed.is_some() {
            return;
        }
        let decisions = self.rollouts.decide(now, self.record.running_rollouts());
        let mut outputs = Vec::new();
        for decision in decisions {
            let command = Command::AdvanceRollout {
                id: decision.id,
                service: decision.service.clone(),
                from: decision.from,
                to: decision.stage,
            };
            self.consensus.append(now, unix_ms, Payload::Command(command), &mut outputs);
            out.push(ControlOutput::RolloutDecided(decision));
        }
        self.handle_outputs(outputs, out);
    }

    /// Transfers leadership before the process stops.
    pub fn transfer_leadership(&mut self, out: &mut Vec<ControlOutput>) {
        let mut outputs = Vec::new();
        self.consensus.transfer_leadership(&mut outputs);
        self.handle_outputs(outputs, out);
    }

    /// Returns the consensus state machine.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the applied state.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns whether the replica is a member of the record, as far as its own log shows.
    pub fn is_member(&self) -> bool {
        self.consensus.members().iter().any(|member| member.id == *self.consensus.id())
    }

    /// Returns the index of the last applied entry and the encoded applied state.
    pub fn backup(&mut self) -> (u64, Vec<u8>) {
        (self.consensus.applied(), self.record.encode())
    }

    /// Stops participating in consensus after a disk failure.
    pub fn on_storage_failed(&mut self, err: CodedError) {
        self.failed = Some(err);
    }

    /// Returns the error because of which the replica stopped participating, if it did.
    pub fn failure(&self) -> Option<&CodedError> {
        self.failed.as_ref()
    }

    /// Returns how long ago a majority confirmed the applied state, if no longer than `MAX_AGE`
    /// ago.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.consensus.age(now).filter(|age| *age <= MAX_AGE && self.failed.is_none())
    }

    /// Advances the timers to `now`.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<ControlOutput>) {
        if self.failed.is_some() {
            return;
        }
        self.subscribers.retain(|_, (asked, _)| now.since(*asked) <= SUBSCRIPTION_TTL);
        let mut outputs = Vec::new();
        self.consensus.tick(now, &mut outputs);
        self.handle_outputs(outputs, out);
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
        self.handle_outputs(outputs, out);
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
            RecordMessage::RolloutReport(report) => {
                self.rollouts.on_report(now, from, report.clone());
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
            send_reply(from, id, Reply::Refused(err.clone()), out);
            return;
        }
        if !self.consensus.is_leader() || self.consensus.is_transferring() {
            let leader = self.consensus.leader().filter(|leader| *leader != self.consensus.id());
            let leader = leader.map(|leader| leader.0.clone());
            let redirect = RecordMessage::Redirect { id, leader };
            out.push(ControlOutput::Send(from.clone(), Message::Record(redirect)));
            return;
        }
        if let Err(err) = validate(command) {
            send_reply(from, id, Reply::Refused(err), out);
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
            Err(err) => send_reply(from, id, Reply::Refused(err), out),
        }
        self.handle_outputs(outputs, out);
    }

    /// Sends the entries proposed since the last call, so that many proposals share messages and
    /// one disk sync.
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
        self.handle_outputs(outputs, out);
        self.snapshot_if_due(out);
        self.notify_subscribers(out);
    }

    /// Redirects proposers to the new leader after leadership was lost. Their entries may still be
    /// committed.
    fn redirect_pending(&mut self, out: &mut Vec<ControlOutput>) {
        let leader = self.consensus.leader().map(|leader| leader.0.clone());
        for (_, pending) in std::mem::take(&mut self.pending) {
            let redirect = RecordMessage::Redirect { id: pending.id, leader: leader.clone() };
            out.push(ControlOutput::Send(pending.from, Message::Record(redirect)));
        }
    }

    fn handle_outputs(&mut self, outputs: Vec<ConsensusOutput>, out: &mut Vec<ControlOutput>) {
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
            // Another leader's entry was committed at this index; the proposer resends its command.
            let redirect = RecordMessage::Redirect { id: pending.id, leader: None };
            out.push(ControlOutput::Send(pending.from, Message::Record(redirect)));
            return;
        }
        let reply = match (&entry.payload, reply) {
            (Payload::Members(members), _) => Reply::Members(members.clone()),
            (_, Some(reply)) => reply,
            (_, None) => return,
        };
        send_reply(&pending.from, pending.id, reply, out);
    }

    fn snapshot_if_due(&mut self, out: &mut Vec<ControlOutput>) {
        if self.consensus.log().len() < SNAPSHOT_ENTRIES && self.applied_len < SNAPSHOT_LEN {
            return;
        }
        self.applied_len = 0;
        let data = self.record.encode();
        let mut outputs = Vec::new();
        self.consensus.compact(data, &mut outputs);
        self.handle_outputs(outputs, out);
    }

    fn notify_subscribers(&mut self, out: &mut Vec<ControlOutput>) {
        if self.record.index() == self.notified_index {
            return;
        }
        self.notified_index = self.record.index();
        for (instance, (_, have)) in &self.subscribers {
            let state = self.record.state_since(*have, None, None);
            out.push(ControlOutput::Send(instance.clone(), Message::Record(state)));
        }
    }
}

/// Validates the content of a command before it is appended to the log.
fn validate(command: &Command) -> Result<(), CodedError> {
    match command.unconditional() {
        Command::ApplyDocument { text, .. } => Document::parse(text).map(|_| ()),
        Command::Order { setup, .. } => setup.check(),
        Command::StartRollout { order, .. } => order.check(),
        _ => Ok(()),
    }
}

fn send_reply(to: &Instance, id: u64, reply: Reply, out: &mut Vec<ControlOutput>) {
    let message = Message::Record(RecordMessage::Answer { id, reply });
    out.push(ControlOutput::Send(to.clone(), message));
}
