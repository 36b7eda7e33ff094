//! Raft consensus among the replicas of the durable record.
//!
//! A leader appends entries; an entry is committed once a majority of the voters has it on disk.
//! The state machine emits what must be on disk ([`ConsensusOutput::Persist`]) before the messages
//! that rely on it. The caller must carry out outputs in order, and sync the writes before it sends
//! the first message that follows them.
//!
//! A replica holds a pre-vote before it starts an election, so that one that returns from a network
//! partition does not depose a working leader. A leader that can't reach a majority steps down, so
//! that it does not serve stale state.

mod election;
mod members;
mod repair;
mod replication;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};

use self::{election::ElectionCause, replication::Progress};
use crate::{
    core::{Code, Millis, code::CodedError},
    protocol::consensus::{
        ConsensusBody, ConsensusMessage, LogEntry, Member, Payload, Position, ReplicaId, Snapshot,
    },
    state::log::{HardState, Log, Persist, Stored},
};

/// The interval between a leader's heartbeats.
pub const HEARTBEAT: Millis = Millis(150);
/// The minimum time without a heartbeat after which a follower starts an election.
pub const ELECTION_MIN: Millis = Millis(1_000);
/// The range of the random delay added to [`ELECTION_MIN`], in milliseconds.
const ELECTION_SPREAD: u64 = 1_000;
/// The minimum election timeout of a replica that has not heard from a leader since it started:
/// long enough for a leader's next heartbeat to arrive. When all replicas restart at once there is
/// no leader, and callers wait for an election. If there is a leader, the pre-vote fails and does
/// not disrupt it.
const FIRST_ELECTION_MIN: Millis = Millis(2 * HEARTBEAT.0);
/// The range of the random delay added to [`FIRST_ELECTION_MIN`], in milliseconds.
const FIRST_ELECTION_SPREAD: u64 = 2 * HEARTBEAT.0;
/// A leader not confirmed by a majority for this long steps down.
const QUORUM_LOSS: Millis = Millis(1_500);

/// A longer gap between two ticks means that this process was stalled. Messages from the other
/// replicas may then be waiting unread, so the lack of them does not show that they are down.
const STALL: Millis = Millis(300);
/// How long after a stall the lack of messages is disregarded: time for a heartbeat and its reply.
const STALL_GRACE: Millis = Millis(2 * HEARTBEAT.0);

/// An action the caller must carry out; outputs are ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusOutput {
    /// Write to disk and sync before any later message is sent.
    Persist(Persist),
    /// Send a message.
    Send(ConsensusMessage),
    /// Apply a committed entry.
    Apply(LogEntry),
    /// Replace the applied state by the one in the snapshot.
    Restore(Snapshot),
}

#[derive(Clone, Debug)]
enum Role {
    Follower { leader: Option<ReplicaId> },
    Candidate { pre: bool, votes: BTreeSet<ReplicaId> },
    Leader { progress: BTreeMap<ReplicaId, Progress>, first_index: u64 },
}

/// The consensus state machine of one replica.
#[derive(Clone, Debug)]
pub struct Consensus {
    id: ReplicaId,
    hard_state: HardState,
    log: Log,
    commit: u64,
    applied: u64,
    role: Role,
    election_at: Millis,
    /// When this process started, or was last stalled.
    running_since: Millis,
    /// Whether this replica stops, and hands over the leadership if it has it.
    is_transferring: bool,
    /// The leader that was last heard from, and when.
    last_leader: Option<ReplicaId>,
    last_leader_contact: Option<Millis>,
    /// The latest time, by this replica's clock, at which a follower's applied state is known to
    /// have been current.
    confirmed: Option<Millis>,
    next_heartbeat: Millis,
    /// The time of the last tick.
    ticked: Millis,
    /// The end of the last stall after which [`STALL_GRACE`] was granted.
    stalled: Option<Millis>,
    /// The position and the bytes received so far of a snapshot being transferred.
    incoming: Option<(Position, Vec<u8>)>,
    /// Replicas that announced that they belong to no record, and when.
    announced: BTreeMap<ReplicaId, Millis>,
    /// The replicas in `announced` that have become members since their announcement.
    joined: BTreeSet<ReplicaId>,
    random: u64,
    /// The number of voters to which learners are promoted; `None` for no limit.
    voter_target: Option<usize>,
}

impl Consensus {
    /// Creates a replica from its stored state; `seed` determines the random election timeouts.
    pub fn new(now: Millis, id: ReplicaId, stored: Stored, seed: u64) -> Consensus {
        let applied = stored.log.snapshot().position.index;
        let mut replica = Consensus {
            id,
            hard_state: stored.hard_state,
            log: stored.log,
            commit: applied,
            applied,
            role: Role::Follower { leader: None },
            election_at: now,
            running_since: now,
            is_transferring: false,
            last_leader: None,
            last_leader_contact: None,
            confirmed: None,
            next_heartbeat: now,
            ticked: now,
            stalled: None,
            incoming: None,
            announced: BTreeMap::new(),
            joined: BTreeSet::new(),
            random: seed | 1,
            voter_target: None,
        };
        replica.reset_election_timer(now);
        replica
    }

    /// Limits the number of voters to `target`; further learners are promoted only when a voter is
    /// removed.
    pub fn set_voter_target(&mut self, target: usize) {
        self.voter_target = Some(target);
    }

    /// Returns this replica's identifier.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns the leader this replica follows, or itself if it is the leader.
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

    /// Returns how long ago a majority confirmed that the applied state is current, or `None` if
    /// that is not known.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let confirmed = match &self.role {
            Role::Leader { first_index, .. } if self.commit < *first_index => return None,
            Role::Leader { .. } => Some(self.quorum_confirmed(now)),
            _ => self.confirmed,
        };
        confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Advances the timers to `now`.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.detect_stall(now);
        match &self.role {
            Role::Leader { .. } => self.tick_leader(now, out),
            _ if self.is_voter() && now >= self.election_at => {
                self.request_votes(now, ElectionCause::PreVote, out);
            }
            _ => {}
        }
        self.track_joined();
        self.send_hello(now, out);
    }

    /// Detects that this process was stalled, and grants the other replicas [`STALL_GRACE`] for
    /// their messages to arrive.
    ///
    /// A leader that stalls repeatedly, as with a disk that hangs, is granted it only once until a
    /// majority confirms it; otherwise it could stay leader indefinitely without a majority.
    fn detect_stall(&mut self, now: Millis) {
        let was_stalled = now.since(self.ticked) > STALL;
        self.ticked = now;
        if !was_stalled {
            return;
        }
        self.running_since = now;
        if self.last_leader_contact.is_some() {
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
            self.announced.insert(message.from.clone(), now);
            // The entry that added this replica may have been replaced before it was committed. The
            // replica is then still outside the record and sends hellos again.
            self.joined.remove(&message.from);
            return;
        }
        if message.to != self.id {
            return;
        }
        match &message.body {
            ConsensusBody::Vote { pre, last, by_leader } => {
                self.on_vote(now, &message.from, message.term, *pre, *last, *by_leader, out);
                return;
            }
            ConsensusBody::VoteReply { pre, granted } => {
                self.on_vote_reply(now, &message.from, message.term, *pre, *granted, out);
                return;
            }
            _ => {}
        }
        if message.term < self.term() {
            self.reply_with_newer_term(message, out);
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
                self.follow_leader(now, from);
                self.on_append(now, from, *previous, entries, *commit, *sent, *age, out);
            }
            ConsensusBody::Chunk { position, offset, data, last, sent } => {
                self.follow_leader(now, from);
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
                    self.request_votes(now, ElectionCause::TakeOver, out);
                }
            }
            ConsensusBody::Vote { .. } | ConsensusBody::VoteReply { .. } | ConsensusBody::Hello => {
            }
        }
    }

    /// Reports the current term to a leader of an older one. Without the reply, a leader that
    /// returns from a network partition would not step down until [`QUORUM_LOSS`] has passed.
    fn reply_with_newer_term(
        &mut self,
        message: &ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let sent = match &message.body {
            ConsensusBody::Append { sent, .. } | ConsensusBody::Chunk { sent, .. } => *sent,
            _ => return,
        };
        let body =
            ConsensusBody::AppendReply { matched: false, index: self.log.last().index, sent };
        self.send(&message.from, body, out);
    }

    /// Appends an entry to the log and sends it to the other members.
    ///
    /// Returns the index of the entry, which may still be replaced until committed.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NotLeader`] if this replica is not the leader.
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

    /// Sends appended entries to the other members.
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.replicate(now, out);
        self.advance_commit(out);
    }

    /// Appends an entry to a leader's log and returns its index.
    ///
    /// Entries appended before the next [`Consensus::flush`] share messages and one disk sync.
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

    /// Replaces the entries up to the last applied one by a snapshot; `data` is the encoded applied
    /// state.
    pub fn compact(&mut self, data: Vec<u8>, out: &mut Vec<ConsensusOutput>) {
        let index = self.applied;
        let Some(term) = self.log.term(index) else { return };
        let members = self.log.members_at(index).to_vec();
        let snapshot = Snapshot { position: Position { term, index }, members, data };
        self.log.compact(snapshot.clone());
        out.push(ConsensusOutput::Persist(Persist::Snapshot(snapshot)));
    }

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
