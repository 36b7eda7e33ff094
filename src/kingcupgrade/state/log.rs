//! A replica's log in memory, and what of it must be on disk.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::protocol::consensus::{LogEntry, Member, Payload, Position, ReplicaId, Snapshot};

/// What must survive a crash besides log and snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    #[serde(rename = "t")]
    pub term: u64,
    /// Whom the vote of that term went to.
    #[serde(rename = "v")]
    pub vote: Option<ReplicaId>,
}

/// What is to be written to disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Term and vote.
    HardState(HardState),
    /// Entries; those on disk from the first one's index on are replaced.
    Entries(Vec<LogEntry>),
    /// A snapshot that replaces all entries up to its position.
    Snapshot(Snapshot),
}

/// What a replica starts from.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Term and vote.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
}

impl Stored {
    /// Returns the beginning of a record with the given members, empty for a replica that waits
    /// to be added to one.
    pub fn founding(members: Vec<Member>) -> Stored {
        let snapshot = Snapshot { position: Position::default(), members, data: Vec::new() };
        Stored { hard_state: HardState::default(), log: Log::new(snapshot, []) }
    }
}

/// Entries after a snapshot.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<LogEntry>,
    /// The indexes of the entries that set members; looked up with every message.
    member_changes: Vec<u64>,
}

impl Log {
    /// Makes a log from what the disk held.
    pub fn new(snapshot: Snapshot, entries: impl IntoIterator<Item = LogEntry>) -> Log {
        let mut log = Log { snapshot, entries: VecDeque::new(), member_changes: Vec::new() };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns how many entries follow the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no entry follows the snapshot.
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

    /// Returns the term of the entry at `index`, if the log reaches from there.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let place = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Returns up to `most` entries from `index` on.
    pub fn from(&self, index: u64, most: usize) -> Vec<LogEntry> {
        let skipped = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries.iter().skip(skipped as usize).take(most).cloned().collect()
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1, "entries follow each other");
        if matches!(entry.payload, Payload::Members(_)) {
            self.member_changes.push(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries.truncate(kept as usize);
        self.member_changes.retain(|change| *change < index);
    }

    /// Replaces the entries up to the snapshot's position by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let fits = self.term(snapshot.position.index) == Some(snapshot.position.term);
        if !fits {
            self.entries.clear();
            self.member_changes.clear();
        }
        self.member_changes.retain(|change| *change > snapshot.position.index);
        while self.entries.front().is_some_and(|entry| entry.index <= snapshot.position.index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Returns the members as of the end of the log, and the index that set them.
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
