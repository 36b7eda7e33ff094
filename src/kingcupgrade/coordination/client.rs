//! A client of the control instances, which pulls the configuration and proposes changes.
//!
//! Proposals are idempotent: each carries an identifier of its own (a change id or a claim id), so
//! a resend after a lost reply has no further effect. The client can therefore retry freely.

use std::collections::BTreeMap;

use super::consensus::HEARTBEAT;
use crate::{
    core::{Code, Instance, Millis, code::CodedError},
    protocol::record::{Command, RecordMessage, Reply},
    util::rendezvous::ranking,
};

/// The interval between pulls of the configuration.
const PULL_INTERVAL: Millis = Millis(800);
/// The interval while no configuration is known; callers are refused until there is one.
const FIRST_PULL_INTERVAL: Millis = Millis(100);
/// The timeout of a pull while no configuration is known; the next control instance is tried after
/// it.
const FIRST_PULL_TIMEOUT: Millis = Millis(250);
/// The timeout of a pull; the next control instance is tried after it.
const PULL_TIMEOUT: Millis = Millis(1_000);
/// A control instance whose state was confirmed longer ago than this is skipped too. It may be
/// partitioned from the leader, and changes committed meanwhile must come into force on this
/// instance as soon as on the others.
const MAX_SOURCE_AGE: Millis = Millis(4 * HEARTBEAT.0);
/// A proposal without a reply for this long is sent to the next control instance.
const RESEND_DELAY: Millis = Millis(700);
/// The delay before a proposal is resent when no leader is known.
const NO_LEADER_DELAY: Millis = Millis(150);

#[derive(Clone, Debug)]
struct Proposal {
    command: Command,
    send_at: Millis,
    sent_once: bool,
    deadline: Millis,
}

/// A client of the record.
#[derive(Clone, Debug)]
pub struct RecordClient {
    own: Instance,
    /// The control instances, in an order specific to this instance. If the order were the same for
    /// all, instances that leave one control instance would all move to the same next one, until
    /// the whole fleet had only the state of that one.
    controls: Vec<Instance>,
    neighbours: Vec<Instance>,
    /// The index in `controls` of the instance that proposals are sent to.
    target: usize,
    /// The index in `controls` of the instance that pulls are sent to.
    source: usize,
    next_id: u64,
    proposals: BTreeMap<u64, Proposal>,
    next_pull: Millis,
    /// The control instance of the outstanding pull, and when it was sent.
    outstanding: Option<(Instance, Millis)>,
    pulls: usize,
    /// The number of control instances skipped since one last returned a state that is recent
    /// enough.
    skipped: usize,
}

impl RecordClient {
    /// Creates the client of instance `own`; `neighbours` are pulled from as well while the
    /// configuration is not confirmed.
    ///
    /// `first_id` is the number of the first proposal, random for each process: an answer to the
    /// instance's previous process may still arrive, and must not answer a proposal of this one.
    pub fn new(
        own: &Instance,
        controls: impl IntoIterator<Item = Instance>,
        neighbours: Vec<Instance>,
        first_id: u64,
    ) -> RecordClient {
        RecordClient {
            controls: ranking(own.as_str(), controls),
            own: own.clone(),
            neighbours,
            target: 0,
            source: 0,
            next_id: first_id,
            proposals: BTreeMap::new(),
            next_pull: Millis::ZERO,
            outstanding: None,
            pulls: 0,
            skipped: 0,
        }
    }

    /// Replaces the control instances and neighbours, and keeps the current target and source if
    /// they are still among them.
    pub fn set_instances(
        &mut self,
        controls: impl IntoIterator<Item = Instance>,
        neighbours: Vec<Instance>,
    ) {
        let controls = ranking(self.own.as_str(), controls);
        let position = |of: usize, controls: &[Instance], known: &[Instance]| {
            let instance = known.get(of);
            let position = instance.and_then(|i| controls.iter().position(|control| control == i));
            position.unwrap_or(of % controls.len().max(1))
        };
        self.target = position(self.target, &controls, &self.controls);
        self.source = position(self.source, &controls, &self.controls);
        self.controls = controls;
        self.neighbours = neighbours;
    }

    /// Returns the control instance that the configuration is pulled from.
    pub fn source(&self) -> Option<&Instance> {
        self.controls.get(self.source)
    }

    /// Starts a proposal and returns its number.
    pub fn propose(&mut self, now: Millis, command: Command, timeout: Millis) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let proposal =
            Proposal { command, send_at: now, sent_once: false, deadline: now + timeout };
        self.proposals.insert(id, proposal);
        id
    }

    /// Handles a state received from `from`; `confirmed` is when it was confirmed to be current, if
    /// that is known.
    ///
    /// If it was confirmed too long ago or not at all, the client moves on to the next control
    /// instance. It pulls from that one soon, until each one has been tried.
    pub fn on_state(&mut self, now: Millis, from: &Instance, confirmed: Option<Millis>) {
        if self.outstanding.as_ref().is_none_or(|(instance, _)| instance != from) {
            return;
        }
        self.outstanding = None;
        if confirmed.is_some_and(|confirmed| now.since(confirmed) <= MAX_SOURCE_AGE) {
            self.skipped = 0;
            return;
        }
        self.skip_source();
        if self.skipped < self.controls.len() {
            self.next_pull = self.next_pull.min(now + FIRST_PULL_INTERVAL);
        } else {
            self.skipped = 0;
        }
    }

    fn skip_source(&mut self) {
        self.skipped += 1;
        self.source = (self.source + 1) % self.controls.len().max(1);
    }

    /// Handles the answer to a proposal; returns it if the proposal was still open.
    pub fn on_answer(&mut self, now: Millis, id: u64, reply: Reply) -> Option<Reply> {
        // These errors concern the instance and not the change: it lost leadership or its disk.
        let is_instance_error =
            |err: &CodedError| matches!(err.code, Code::NotLeader | Code::StorageFailed);
        if matches!(&reply, Reply::Refused(err) if is_instance_error(err)) {
            self.on_redirect(now, id, None);
            return None;
        }
        self.proposals.remove(&id).map(|_| reply)
    }

    /// Handles a redirect to another instance, or to an unknown leader.
    pub fn on_redirect(&mut self, now: Millis, id: u64, leader: Option<&Instance>) {
        let position = leader.and_then(|l| self.controls.iter().position(|control| control == l));
        let delay = match position {
            Some(position) if position != self.target => {
                self.target = position;
                Millis::ZERO
            }
            Some(_) => NO_LEADER_DELAY,
            None => {
                self.rotate_target();
                NO_LEADER_DELAY
            }
        };
        if let Some(proposal) = self.proposals.get_mut(&id) {
            proposal.send_at = now + delay;
            proposal.sent_once = false;
        }
    }

    fn rotate_target(&mut self) {
        self.target = (self.target + 1) % self.controls.len().max(1);
    }

    /// Pulls the configuration when a pull is due.
    ///
    /// A configuration that is not confirmed may be stale even if it was just received: after a
    /// restart, the only reachable control instance may be partitioned from the others. A neighbour
    /// may have a newer one, and a single pull could be lost, so neighbours are pulled from until
    /// the configuration is confirmed.
    pub fn pull(
        &mut self,
        now: Millis,
        have: u64,
        is_confirmed: bool,
        out: &mut Vec<(Instance, RecordMessage)>,
    ) {
        let (interval, timeout) = match have {
            0 => (FIRST_PULL_INTERVAL, FIRST_PULL_TIMEOUT),
            _ => (PULL_INTERVAL, PULL_TIMEOUT),
        };
        if let Some((_, asked)) = &self.outstanding
            && now.since(*asked) > timeout
        {
            self.outstanding = None;
            self.skip_source();
            self.next_pull = now;
        }
        if now < self.next_pull || self.outstanding.is_some() {
            return;
        }
        self.next_pull = now + interval;
        self.pulls += 1;
        if let Some(control) = self.source().cloned() {
            self.outstanding = Some((control.clone(), now));
            out.push((control, RecordMessage::Pull { have, asked: now }));
        }
        if !is_confirmed && !self.neighbours.is_empty() {
            let neighbour = &self.neighbours[self.pulls % self.neighbours.len()];
            out.push((neighbour.clone(), RecordMessage::Pull { have, asked: now }));
        }
    }

    /// Sends new proposals, and resends those without a reply for `RESEND_DELAY`.
    pub fn send_proposals(&mut self, now: Millis, out: &mut Vec<(Instance, RecordMessage)>) {
        let due = |proposal: &Proposal| now >= proposal.send_at;
        let unanswered = self.proposals.values().any(|p| p.sent_once && due(p));
        if unanswered {
            self.rotate_target();
        }
        let Some(control) = self.controls.get(self.target).cloned() else { return };
        for (id, proposal) in self.proposals.iter_mut().filter(|(_, p)| due(p)) {
            proposal.send_at = now + RESEND_DELAY;
            proposal.sent_once = true;
            let command = proposal.command.clone();
            out.push((control.clone(), RecordMessage::Propose { id: *id, command }));
        }
    }

    /// Removes proposals whose deadline has passed; the returned reply to each says that it is
    /// unknown whether it was committed.
    pub fn expire_proposals(&mut self, now: Millis) -> Vec<(u64, Reply)> {
        let overdue: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.deadline)
            .map(|(id, _)| *id)
            .collect();
        let expire = |id: u64| {
            self.proposals.remove(&id);
            let detail = "no reply from a leader of the control instances";
            (id, Reply::Refused(CodedError::new(Code::CommitUnknown, detail)))
        };
        overdue.into_iter().map(expire).collect()
    }
}
