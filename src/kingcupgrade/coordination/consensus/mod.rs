//! Agreement among the replicas of the durable record on one log of entries.
//!
//! A leader appends, a majority of the voters' disks makes an entry final. The machine names what
//! must be on disk ([`ConsensusOutput::Persist`]) before what may be said; whoever drives it must
//! carry out outputs in their order and sync before the first message that follows.
//!
//! Before it stands for election a replica asks whether it would win, so that one that was cut off
//! disturbs nobody when it returns. A leader that can't reach a majority steps down, so that
//! nobody is answered from a record that has moved on without it.

mod election;
mod members;
mod repair;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use self::replication::Progress;
use crate::{
    core::{Code, Millis, code::CodedError},
    protocol::consensus::{
        ConsensusBody, ConsensusMessage, LogEntry, Member, Payload, Position, ReplicaId, Snapshot,
    },
    state::log::{HardState, Log, Persist, Stored},
};

/// How often a leader says that it lives.
pub const HEARTBEAT: Millis = Millis(150);
/// A follower waits at least this long without a heartbeat before it stands for election.
pub const ELECTION_MIN: Millis = Millis(1_000);
/// Each wait is longer by a random part of this.
const ELECTION_SPREAD: u64 = 1_000;
/// One that has heard of no leader since its start waits only for as long as a leader's next
/// heartbeat takes to reach it: after a common stop nobody leads, and callers wait. Where somebody
/// does, the others refuse it before it disturbs anyone.
const FIRST_ELECTION_MIN: Millis = Millis(2 * HEARTBEAT.0);
/// Each of these waits is longer by a random part of this.
const FIRST_ELECTION_SPREAD: u64 = 2 * HEARTBEAT.0;
/// A leader not confirmed by a majority for this long steps down.
const QUORUM_LOSS: Millis = Millis(1_500);

/// A replica not asked for so long stood still itself: what the others said meanwhile waits to be
/// read, and their silence proves nothing.
const STALL: Millis = Millis(300);
/// How long the others may take to be heard after that: a heartbeat, and its answer.
const STALL_GRACE: Millis = Millis(2 * HEARTBEAT.0);

/// What the machine wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusOutput {
    /// Write to disk, synced before any later message leaves.
    Persist(Persist),
    /// Send a message.
    Send(ConsensusMessage),
    /// Apply a committed entry.
    Apply(LogEntry),
    /// Replace the applied state by a snapshot's.
    Restore(Snapshot),
}

/// A replica's role.
#[derive(Clone, Debug)]
enum Role {
    Follower { leader: Option<ReplicaId> },
    Candidate { pre: bool, votes: BTreeSet<ReplicaId> },
    Leader { progress: BTreeMap<ReplicaId, Progress>, since: u64 },
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Consensus {
    id: ReplicaId,
    hard_state: HardState,
    log: Log,
    commit: u64,
    applied: u64,
    role: Role,
    election_at: Millis,
    /// When a leader was last heard.
    heard_leader: Option<Millis>,
    /// Until when the record was last confirmed to be the newest, by this replica's clock.
    confirmed: Option<Millis>,
    next_heartbeat: Millis,
    /// When it was last told that time passes.
    ticked: Millis,
    /// When it last stood still.
    stalled: Option<Millis>,
    /// A snapshot being received.
    incoming: Option<(Position, Vec<u8>)>,
    /// Replicas that belong to no record, and when they said so.
    blanks: BTreeMap<ReplicaId, Millis>,
    /// Blank replicas that have become members since they were heard.
    once_members: BTreeSet<ReplicaId>,
    random: u64,
    /// How many voters a record that repairs itself has; `None` where operators decide.
    voter_target: Option<usize>,
}

impl Consensus {
    /// Makes a replica from what its disk held; `seed` sets the random waits before elections.
    pub fn new(now: Millis, id: ReplicaId, stored: Stored, seed: u64) -> Consensus {
        let applied = stored.log.snapshot().position.index;
        let mut machine = Consensus {
            id,
            hard_state: stored.hard_state,
            log: stored.log,
            commit: applied,
            applied,
            role: Role::Follower { leader: None },
            election_at: now,
            heard_leader: None,
            confirmed: None,
            next_heartbeat: now,
            ticked: now,
            stalled: None,
            incoming: None,
            blanks: BTreeMap::new(),
            once_members: BTreeSet::new(),
            random: seed | 1,
            voter_target: None,
        };
        machine.put_off_election(now);
        machine
    }

    /// Limits the voters to `target`, so that learners beyond wait for one to be lost.
    pub fn set_voter_target(&mut self, target: usize) {
        self.voter_target = Some(target);
    }

    /// Asks the voter that has most of the log to take over, before this leader stops.
    pub fn hand_over(&mut self, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader { progress, .. } = &self.role else { return };
        let voters = self.other_voters();
        let next = voters.iter().max_by_key(|id| progress.get(id).map(|p| (p.matched, p.acked)));
        if let Some(next) = next {
            self.send(next, ConsensusBody::TakeOver, out);
        }
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the index up to which entries are final.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index up to which entries are applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Tells whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns the leader this replica follows, itself if it leads.
    pub fn leader(&self) -> Option<&ReplicaId> {
        match &self.role {
            Role::Leader { .. } => Some(&self.id),
            Role::Follower { leader } => leader.as_ref(),
            Role::Candidate { .. } => None,
        }
    }

    /// Returns the members as of the end of the log.
    pub fn members(&self) -> &[Member] {
        self.log.members().0
    }

    /// Returns how long ago a majority confirmed that the applied state is the newest, or `None`
    /// if that is not known.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let confirmed = match &self.role {
            Role::Leader { since, .. } if self.commit < *since => return None,
            Role::Leader { .. } => Some(self.quorum_confirmed(now)),
            _ => self.confirmed,
        };
        confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.note_stall(now);
        match &self.role {
            Role::Leader { .. } => self.tick_leader(now, out),
            _ if self.is_voter() && now >= self.election_at => self.ask_for_votes(now, true, out),
            _ => {}
        }
        self.note_added();
        self.say_hello(now, out);
    }

    /// Gives the others time to be heard after this replica stood still.
    ///
    /// One that stands still again and again, as with a disk that hangs, gets that time once until
    /// a majority was heard: it must not lead without one for good.
    fn note_stall(&mut self, now: Millis) {
        let stood_still = now.since(self.ticked) > STALL;
        self.ticked = now;
        if !stood_still {
            return;
        }
        if self.heard_leader.is_some() {
            self.election_at = self.election_at.max(now + STALL_GRACE);
        }
        if self.stalled.is_none_or(|stalled| self.quorum_confirmed(now) > stalled) {
            self.stalled = Some(now);
        }
    }

    /// Handles a message from another replica.
    pub fn on_message(
        &mut self,
        now: Millis,
        message: &ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if matches!(message.body, ConsensusBody::Hello) {
            self.blanks.insert(message.from.clone(), now);
            // One that was a member by an entry that was never final is blank still, and says so.
            self.once_members.remove(&message.from);
            return;
        }
        if message.to != self.id {
            return;
        }
        match &message.body {
            ConsensusBody::Vote { pre, last } => {
                self.on_vote(now, &message.from, message.term, *pre, *last, out);
                return;
            }
            ConsensusBody::VoteReply { pre, granted } => {
                self.on_vote_reply(now, &message.from, message.term, *pre, *granted, out);
                return;
            }
            _ => {}
        }
        if message.term < self.term() {
            self.tell_newer_term(message, out);
            return;
        }
        if message.term > self.term() {
            self.enter_term(now, message.term, None, out);
        }
        self.on_current(now, message, out);
    }

    fn on_current(
        &mut self,
        now: Millis,
        message: &ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let from = &message.from;
        match &message.body {
            ConsensusBody::Append { previous, entries, commit, sent, age } => {
                self.follow(now, from);
                self.on_append(now, from, *previous, entries, *commit, *sent, *age, out);
            }
            ConsensusBody::Chunk { position, offset, data, last, sent } => {
                self.follow(now, from);
                self.on_chunk(from, *position, *offset, data, *last, *sent, out);
            }
            ConsensusBody::AppendReply { matched, index, sent } => {
                self.on_append_reply(now, from, *matched, *index, *sent, out);
            }
            ConsensusBody::ChunkReply { position, received, sent } => {
                self.on_chunk_reply(now, from, *position, *received, *sent, out);
            }
            ConsensusBody::TakeOver => {
                if self.is_voter() {
                    self.ask_for_votes(now, false, out);
                }
            }
            ConsensusBody::Vote { .. } | ConsensusBody::VoteReply { .. } | ConsensusBody::Hello => {
            }
        }
    }

    /// Lets a sender of an older term know the newer one; without it, a leader that was cut off
    /// would go on believing in itself until its quorum check.
    fn tell_newer_term(&mut self, message: &ConsensusMessage, out: &mut Vec<ConsensusOutput>) {
        let sent = match &message.body {
            ConsensusBody::Append { sent, .. } | ConsensusBody::Chunk { sent, .. } => *sent,
            _ => return,
        };
        let body =
            ConsensusBody::AppendReply { matched: false, index: self.log.last().index, sent };
        self.send(&message.from, body, out);
    }

    /// Proposes a change of the record.
    ///
    /// Returns the index the change gets if it becomes final.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NotLeader`] if this replica does not lead.
    pub fn propose(
        &mut self,
        now: Millis,
        unix_ms: u64,
        payload: Payload,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, CodedError> {
        if !self.is_leader() {
            return Err(CodedError::new(Code::NotLeader, "this instance does not lead the record"));
        }
        let index = self.append(now, unix_ms, payload, out);
        self.flush(now, out);
        Ok(index)
    }

    /// Sends what was appended to the other members.
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.replicate(now, out);
        self.advance_commit(out);
    }

    /// Appends a change to a leader's log and returns its index.
    ///
    /// Changes appended before the next [`Consensus::flush`] share messages and one sync.
    pub fn append(
        &mut self,
        now: Millis,
        unix_ms: u64,
        payload: Payload,
        out: &mut Vec<ConsensusOutput>,
    ) -> u64 {
        let index = self.log.last().index + 1;
        let entry = LogEntry { index, term: self.term(), unix_ms, payload };
        self.log.push(entry.clone());
        out.push(ConsensusOutput::Persist(Persist::Entries(vec![entry])));
        self.track_members(now);
        index
    }

    /// Replaces the entries up to the last applied one by a snapshot of the applied state.
    pub fn compact(&mut self, data: Vec<u8>, out: &mut Vec<ConsensusOutput>) {
        let index = self.applied;
        let Some(term) = self.log.term(index) else { return };
        let members = self.log.members_at(index).to_vec();
        let snapshot = Snapshot { position: Position { term, index }, members, data };
        self.log.compact(snapshot.clone());
        out.push(ConsensusOutput::Persist(Persist::Snapshot(snapshot)));
    }

    /// Applies what is final and not yet applied.
    fn apply(&mut self, out: &mut Vec<ConsensusOutput>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else { break };
            self.applied += 1;
            out.push(ConsensusOutput::Apply(entry.clone()));
        }
    }

    fn send(&self, to: &ReplicaId, body: ConsensusBody, out: &mut Vec<ConsensusOutput>) {
        let message =
            ConsensusMessage { from: self.id.clone(), to: to.clone(), term: self.term(), body };
        out.push(ConsensusOutput::Send(message));
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}
