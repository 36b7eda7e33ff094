//! Log replication from the leader to the other members.

use super::{Consensus, ConsensusOutput, HEARTBEAT, QUORUM_LOSS, Role, STALL_GRACE};
use crate::{
    core::Millis,
    protocol::consensus::{ConsensusBody, LogEntry, Position, ReplicaId, Snapshot},
    state::log::Persist,
};

/// The maximum number of entries in one message.
const MAX_ENTRIES: usize = 256;
/// The maximum number of snapshot bytes in one message.
const CHUNK_LEN: usize = 256 << 10;

/// The replication state of another member, as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The index of the next entry to send.
    pub(super) next: u64,
    /// The index of the last entry known to be on its disk.
    pub(super) matched: u64,
    /// The leader's clock in the newest message that the member has answered.
    pub(super) acked: Millis,
    /// Whether it has answered this leader at all; until then `acked` is when tracking began.
    pub(super) has_answered: bool,
    /// The position of the snapshot being sent, if any, and the bytes of it that were received.
    pub(super) snapshot: Option<(Position, u64)>,
}

impl Consensus {
    pub(super) fn tick_leader(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        let in_stall_grace = self.stalled.is_some_and(|at| now.since(at) < STALL_GRACE);
        if now.since(self.quorum_confirmed(now)) > QUORUM_LOSS && !in_stall_grace {
            self.step_down(now);
            return;
        }
        self.promote_learners(now, out);
        self.continue_transfer(out);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT;
            self.send_all(now, true, out);
        }
    }

    /// Sends new entries to all other members.
    pub(super) fn replicate(&mut self, now: Millis, out: &mut Vec<ConsensusOutput>) {
        self.send_all(now, false, out);
    }

    fn send_all(&mut self, now: Millis, heartbeat: bool, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader { progress, .. } = &self.role else { return };
        let peers: Vec<ReplicaId> = progress.keys().cloned().collect();
        for peer in peers {
            self.send_to(now, &peer, heartbeat, out);
        }
    }

    /// Sends a member the entries it lacks; with `heartbeat`, sends a message in any case.
    fn send_to(
        &mut self,
        now: Millis,
        peer: &ReplicaId,
        heartbeat: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let age = now.since(self.quorum_confirmed(now));
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(state) = progress.get_mut(peer) else { return };
        let previous = state.next - 1;
        let Some(term) = self.log.term(previous) else {
            // A chunk is resent with each heartbeat until it is acknowledged.
            if heartbeat || state.snapshot.is_none() {
                let position = self.log.snapshot().position;
                let known = state.snapshot.filter(|(sending, _)| *sending == position);
                let (_, offset) = *state.snapshot.insert(known.unwrap_or((position, 0)));
                self.send_chunk(now, peer, offset, out);
            }
            return;
        };
        let entries = self.log.entries_from(state.next, MAX_ENTRIES);
        if entries.is_empty() && !heartbeat {
            return;
        }
        state.next += entries.len() as u64;
        let previous = Position { term, index: previous };
        let body = ConsensusBody::Append { previous, entries, commit: self.commit, sent: now, age };
        self.send(peer, body, out);
    }

    fn send_chunk(
        &self,
        now: Millis,
        peer: &ReplicaId,
        offset: u64,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let encoded = encode_snapshot(self.log.snapshot());
        let start = (offset as usize).min(encoded.len());
        let end = (start + CHUNK_LEN).min(encoded.len());
        let body = ConsensusBody::Chunk {
            position: self.log.snapshot().position,
            offset: start as u64,
            data: encoded[start..end].to_vec(),
            last: end == encoded.len(),
            sent: now,
        };
        self.send(peer, body, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_append(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        previous: Position,
        entries: &[LogEntry],
        commit: u64,
        sent: Millis,
        age: Millis,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let base = self.log.snapshot().position.index;
        // Entries covered by the snapshot are committed and therefore match.
        let matches_log =
            previous.index < base || self.log.term(previous.index) == Some(previous.term);
        if !matches_log {
            let guess = self.log.last().index.min(previous.index.saturating_sub(1)).max(base);
            let body = ConsensusBody::AppendReply { matched: false, index: guess, sent };
            self.send(from, body, out);
            return;
        }
        self.append_entries(entries, out);
        let matched = previous.index + entries.len() as u64;
        self.commit = self.commit.max(commit.min(matched));
        self.apply(out);
        if self.applied >= commit {
            self.confirmed = Some(now.since(age));
        }
        let body = ConsensusBody::AppendReply { matched: true, index: matched, sent };
        self.send(from, body, out);
    }

    /// Appends the entries that the log lacks, and replaces uncommitted ones of an earlier leader
    /// that conflict with them.
    fn append_entries(&mut self, entries: &[LogEntry], out: &mut Vec<ConsensusOutput>) {
        let base = self.log.snapshot().position.index;
        let is_new = |entry: &&LogEntry| {
            entry.index > base && self.log.term(entry.index) != Some(entry.term)
        };
        let Some(first) = entries.iter().find(is_new).map(|entry| entry.index) else { return };
        debug_assert!(first > self.commit, "a committed entry is never replaced");
        self.log.truncate(first);
        let new: Vec<LogEntry> = entries.iter().filter(|e| e.index >= first).cloned().collect();
        for entry in &new {
            self.log.push(entry.clone());
        }
        out.push(ConsensusOutput::Persist(Persist::Entries(new)));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        matched: bool,
        index: u64,
        sent: Millis,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let last = self.log.last().index;
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(state) = progress.get_mut(from) else { return };
        state.acked = state.acked.max(sent);
        state.has_answered = true;
        if matched {
            state.matched = state.matched.max(index.min(last));
            state.next = state.next.max(state.matched + 1);
            state.snapshot = None;
        } else {
            state.next = (index + 1).clamp(state.matched + 1, last + 1);
        }
        self.advance_commit(out);
        self.send_to(now, from, false, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_chunk(
        &mut self,
        from: &ReplicaId,
        position: Position,
        offset: u64,
        data: &[u8],
        last: bool,
        sent: Millis,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if position.index <= self.commit {
            let body = ConsensusBody::AppendReply { matched: true, index: position.index, sent };
            self.send(from, body, out);
            return;
        }
        let mut received = match self.incoming.take() {
            Some((known, received)) if known == position => received,
            _ => Vec::new(),
        };
        let follows = offset == received.len() as u64;
        if follows {
            received.extend_from_slice(data);
        }
        if follows && last {
            self.install_snapshot(from, &received, sent, out);
            return;
        }
        let count = received.len() as u64;
        self.incoming = Some((position, received));
        self.send(from, ConsensusBody::ChunkReply { position, received: count, sent }, out);
    }

    fn install_snapshot(
        &mut self,
        from: &ReplicaId,
        encoded: &[u8],
        sent: Millis,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let Ok(snapshot) = ciborium::from_reader::<Snapshot, _>(encoded) else { return };
        let index = snapshot.position.index;
        self.log.compact(snapshot.clone());
        self.commit = index;
        self.applied = index;
        out.push(ConsensusOutput::Persist(Persist::Snapshot(snapshot.clone())));
        out.push(ConsensusOutput::Restore(snapshot));
        self.send(from, ConsensusBody::AppendReply { matched: true, index, sent }, out);
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        now: Millis,
        from: &ReplicaId,
        position: Position,
        received: u64,
        sent: Millis,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(state) = progress.get_mut(from) else { return };
        state.acked = state.acked.max(sent);
        state.has_answered = true;
        let Some((sending, offset)) = &mut state.snapshot else { return };
        if *sending == position {
            *offset = received;
            self.send_chunk(now, from, received, out);
        }
    }

    /// Returns the latest time at which a majority of the voters is known to have followed this
    /// leader.
    pub(super) fn quorum_confirmed(&self, now: Millis) -> Millis {
        let Role::Leader { progress, .. } = &self.role else { return Millis::ZERO };
        let heard = |voter: &ReplicaId| {
            if *voter == self.id {
                now
            } else {
                progress.get(voter).map_or(Millis::ZERO, |p| p.acked)
            }
        };
        self.quorum_value(heard)
    }

    /// Returns the largest value that a majority of the voters has reached.
    fn quorum_value<T: Ord + Default + Copy>(&self, value: impl Fn(&ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters().iter().map(value).collect();
        values.sort();
        let majority = values.len() / 2 + 1;
        values.len().checked_sub(majority).map_or(T::default(), |place| values[place])
    }

    /// Commits the entries that a majority of the voters has on disk.
    ///
    /// Only an entry of the leader's own term is committed by counting replicas. An entry of an
    /// older term may still be replaced by a later leader that lacks it, even if a majority has it.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader { progress, .. } = &self.role else { return };
        let last = self.log.last().index;
        let on_disk = |voter: &ReplicaId| {
            if *voter == self.id { last } else { progress.get(voter).map_or(0, |p| p.matched) }
        };
        let reached = self.quorum_value(on_disk);
        if reached > self.commit && self.log.term(reached) == Some(self.term()) {
            self.commit = reached;
            self.apply(out);
        }
    }
}

fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(snapshot, &mut encoded).expect("writing to a vector can't fail");
    encoded
}
