//! An instance's dealings with the record: pulling the configuration, proposing changes.
//!
//! Proposals carry names of their own (change ids, claim ids), so sending one again after a lost
//! answer changes nothing twice. That is what lets this client retry freely.

use std::collections::BTreeMap;

use super::consensus::HEARTBEAT;
use crate::{
    core::{Code, Instance, Millis, code::CodedError},
    protocol::record::{Command, RecordMessage, Reply},
    util::rendezvous::ranking,
};

/// How often the configuration is pulled.
const PULL_INTERVAL: Millis = Millis(800);
/// How often, while none is known: callers are refused until one is.
const FIRST_PULL_INTERVAL: Millis = Millis(100);
/// A control instance that has not answered the first pulls for this long is passed over.
const FIRST_PULL_TIMEOUT: Millis = Millis(250);
/// A control instance that has not answered a pull for this long is passed over.
const PULL_TIMEOUT: Millis = Millis(1_000);
/// So is one that knows of nothing later from the leader: it may be cut off from the others, and
/// what they accept meanwhile has to be in force here as soon as elsewhere.
const SOURCE_FRESHNESS: Millis = Millis(4 * HEARTBEAT.0);
/// A proposal not answered for this long is sent to the next control instance.
const RESEND_AFTER: Millis = Millis(700);
/// The pause before a proposal is sent again when nobody is known to lead.
const NO_LEADER_PAUSE: Millis = Millis(150);

#[derive(Clone, Debug)]
struct Proposal {
    command: Command,
    send_at: Millis,
    sent_once: bool,
    deadline: Millis,
}

/// The state of the client.
#[derive(Clone, Debug)]
pub struct RecordClient {
    own: Instance,
    /// In an order of this instance's own. In the same order for all, those that leave one control
    /// instance would all go to the same next one, and in the end the whole fleet would know no
    /// more than that one does.
    controls: Vec<Instance>,
    neighbours: Vec<Instance>,
    /// The place among `controls` that proposals go to.
    target: usize,
    /// The place among `controls` that pulls go to.
    source: usize,
    next_id: u64,
    proposals: BTreeMap<u64, Proposal>,
    next_pull: Millis,
    /// The pull not answered yet: whom, when.
    asked: Option<(Instance, Millis)>,
    pulls: usize,
    /// Control instances that were passed over since one was last found to be good.
    passed_over: usize,
}

impl RecordClient {
    /// Makes the client of instance `own` of the given control instances; `neighbours` are asked as
    /// well while the configuration is not confirmed.
    pub fn new(
        own: &Instance,
        controls: impl IntoIterator<Item = Instance>,
        neighbours: Vec<Instance>,
    ) -> RecordClient {
        RecordClient {
            controls: ranking(own.as_str(), controls),
            own: own.clone(),
            neighbours,
            target: 0,
            source: 0,
            next_id: 1,
            proposals: BTreeMap::new(),
            next_pull: Millis::ZERO,
            asked: None,
            pulls: 0,
            passed_over: 0,
        }
    }

    /// Replaces the instances that are asked, going on with the same ones where they are still
    /// there.
    pub fn set_instances(
        &mut self,
        controls: impl IntoIterator<Item = Instance>,
        neighbours: Vec<Instance>,
    ) {
        let controls = ranking(self.own.as_str(), controls);
        let place = |of: usize, controls: &[Instance], known: &[Instance]| {
            let instance = known.get(of);
            let place = instance.and_then(|i| controls.iter().position(|control| control == i));
            place.unwrap_or(of % controls.len().max(1))
        };
        self.target = place(self.target, &controls, &self.controls);
        self.source = place(self.source, &controls, &self.controls);
        self.controls = controls;
        self.neighbours = neighbours;
    }

    /// Returns the control instance that is asked for the configuration.
    pub fn source(&self) -> Option<&Instance> {
        self.controls.get(self.source)
    }

    /// Starts a proposal and returns its number.
    pub fn propose(&mut self, now: Millis, command: Command, patience: Millis) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let proposal =
            Proposal { command, send_at: now, sent_once: false, deadline: now + patience };
        self.proposals.insert(id, proposal);
        id
    }

    /// Notes a state that arrived from `from`, which was the newest at `confirmed`, if that is known.
    ///
    /// One that is too old, or vouches for nothing, makes the next control instance be asked: soon,
    /// until each was asked in turn.
    pub fn on_state(&mut self, now: Millis, from: &Instance, confirmed: Option<Millis>) {
        if self.asked.as_ref().is_none_or(|(instance, _)| instance != from) {
            return;
        }
        self.asked = None;
        if confirmed.is_some_and(|confirmed| now.since(confirmed) <= SOURCE_FRESHNESS) {
            self.passed_over = 0;
            return;
        }
        self.pass_over();
        if self.passed_over < self.controls.len() {
            self.next_pull = self.next_pull.min(now + FIRST_PULL_INTERVAL);
        } else {
            self.passed_over = 0;
        }
    }

    fn pass_over(&mut self) {
        self.passed_over += 1;
        self.source = (self.source + 1) % self.controls.len().max(1);
    }

    /// Handles the answer to a proposal; returns it if the proposal was still open.
    pub fn on_answer(&mut self, now: Millis, id: u64, reply: Reply) -> Option<Reply> {
        // A leader that has lost the lead, or its disk, says nothing about the change itself.
        let elsewhere =
            |err: &CodedError| matches!(err.code, Code::NotLeader | Code::StorageFailed);
        if matches!(&reply, Reply::Refused(err) if elsewhere(err)) {
            self.on_redirect(now, id, None);
            return None;
        }
        self.proposals.remove(&id).map(|_| reply)
    }

    /// Handles the word that another instance leads.
    pub fn on_redirect(&mut self, now: Millis, id: u64, leader: Option<&Instance>) {
        let place = leader.and_then(|l| self.controls.iter().position(|control| control == l));
        let pause = match place {
            Some(place) if place != self.target => {
                self.target = place;
                Millis::ZERO
            }
            Some(_) => NO_LEADER_PAUSE,
            None => {
                self.rotate_target();
                NO_LEADER_PAUSE
            }
        };
        if let Some(proposal) = self.proposals.get_mut(&id) {
            proposal.send_at = now + pause;
            proposal.sent_once = false;
        }
    }

    fn rotate_target(&mut self) {
        self.target = (self.target + 1) % self.controls.len().max(1);
    }

    /// Asks for the configuration when it is time to.
    ///
    /// What is not confirmed may be old, however new it was to this instance: after a restart
    /// beside nobody but an isolated control instance it has that one's word only. A neighbour may
    /// know better, and one question could be lost, so neighbours are asked until it is confirmed.
    pub fn pull(
        &mut self,
        now: Millis,
        have: u64,
        is_confirmed: bool,
        out: &mut Vec<(Instance, RecordMessage)>,
    ) {
        let (interval, patience) = match have {
            0 => (FIRST_PULL_INTERVAL, FIRST_PULL_TIMEOUT),
            _ => (PULL_INTERVAL, PULL_TIMEOUT),
        };
        if let Some((_, asked)) = &self.asked
            && now.since(*asked) > patience
        {
            self.asked = None;
            self.pass_over();
            self.next_pull = now;
        }
        if now < self.next_pull || self.asked.is_some() {
            return;
        }
        self.next_pull = now + interval;
        self.pulls += 1;
        if let Some(control) = self.source().cloned() {
            self.asked = Some((control.clone(), now));
            out.push((control, RecordMessage::Pull { have, asked: now }));
        }
        if !is_confirmed && !self.neighbours.is_empty() {
            let neighbour = &self.neighbours[self.pulls % self.neighbours.len()];
            out.push((neighbour.clone(), RecordMessage::Pull { have, asked: now }));
        }
    }

    /// Sends the proposals that are new or unanswered for long.
    pub fn send_proposals(&mut self, now: Millis, out: &mut Vec<(Instance, RecordMessage)>) {
        let due = |proposal: &Proposal| now >= proposal.send_at;
        let unanswered = self.proposals.values().any(|p| p.sent_once && due(p));
        if unanswered {
            self.rotate_target();
        }
        let Some(control) = self.controls.get(self.target).cloned() else { return };
        for (id, proposal) in self.proposals.iter_mut().filter(|(_, p)| due(p)) {
            proposal.send_at = now + RESEND_AFTER;
            proposal.sent_once = true;
            let command = proposal.command.clone();
            out.push((control.clone(), RecordMessage::Propose { id: *id, command }));
        }
    }

    /// Gives up proposals whose time is over.
    pub fn give_up_overdue(&mut self, now: Millis) -> Vec<(u64, Reply)> {
        let overdue: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| now >= proposal.deadline)
            .map(|(id, _)| *id)
            .collect();
        let give_up = |id: u64| {
            self.proposals.remove(&id);
            let detail = "no answer from a leader of the control instances";
            (id, Reply::Refused(CodedError::new(Code::CommitUnknown, detail)))
        };
        overdue.into_iter().map(give_up).collect()
    }
}
