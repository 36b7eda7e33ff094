//! The in-memory log of a replica, and the writes that make it durable.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::protocol::consensus::{LogEntry, Member, Payload, Position, ReplicaId, Snapshot};

/// The state besides the log and snapshot that must survive a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    #[serde(rename = "t")]
    pub term: u64,
    /// The candidate that this replica voted for in that term.
    #[serde(rename = "v")]
    pub vote: Option<ReplicaId>,
}

/// A write to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Term and vote.
    HardState(HardState),
    /// Log entries, which replace those on disk from the index of the first one on.
    Entries(Vec<LogEntry>),
    /// A snapshot that replaces all entries up to its position.
    Snapshot(Snapshot),
}

/// The stored state from which a replica starts.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Term and vote.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
}

impl Stored {
    /// Returns the initial state of a record with the given members; without members, of a replica
    /// that waits to be added to a record.
    pub fn initial(members: Vec<Member>) -> Stored {
        let snapshot = Snapshot { position: Position::default(), members, data: Vec::new() };
        Stored { hard_state: HardState::default(), log: Log::new(snapshot, []) }
    }
}

/// A snapshot and the entries that follow it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<LogEntry>,
    /// The indexes of the entries that change the members, cached because the members are looked up
    /// for every message.
    member_changes: Vec<u64>,
}

impl Log {
    /// Creates a log from a snapshot and the entries that follow it.
    pub fn new(snapshot: Snapshot, entries: impl IntoIterator<Item = LogEntry>) -> Log {
        let mut log = Log { snapshot, entries: VecDeque::new(), member_changes: Vec::new() };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        match self.entries.back() {
            Some(entry) => Position { term: entry.term, index: entry.index },
            None => self.snapshot.position,
        }
    }

    /// Returns the term of the entry at `index`, if the log contains it or the snapshot ends there.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is in the log.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries from `index` on.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<LogEntry> {
        let skipped = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries.iter().skip(skipped as usize).take(limit).cloned().collect()
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1, "entries have consecutive indexes");
        if matches!(entry.payload, Payload::Members(_)) {
            self.member_changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let retained = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries.truncate(retained as usize);
        self.member_changes.retain(|change| *change < index);
    }

    /// Replaces the entries up to the snapshot's position by the snapshot; removes all entries if
    /// the log does not match the snapshot at that position.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let matches_snapshot = self.term(snapshot.position.index) == Some(snapshot.position.term);
        if !matches_snapshot {
            self.entries.clear();
            self.member_changes.clear();
        }
        self.member_changes.retain(|change| *change > snapshot.position.index);
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.position.index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Returns the members as of the end of the log, and the index of the entry or snapshot that
    /// set them.
    pub fn members(&self) -> (&[Member], u64) {
        let index = self.member_changes.last().copied();
        (self.members_at(u64::MAX), index.unwrap_or(self.snapshot.position.index))
    }

    /// Returns the members as of the entry at `index`.
    pub fn members_at(&self, index: u64) -> &[Member] {
        let change = self.member_changes.iter().rev().find(|change| **change <= index);
        match change.and_then(|change| self.entry(*change)).map(|entry| &entry.payload) {
            Some(Payload::Members(members)) => members,
            _ => &self.snapshot.members,
        }
    }
}
