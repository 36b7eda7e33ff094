//! The order in which the entries at which an organisation's requests wait get slots.
//!
//! Were the longest queue always first, a shorter one would get nothing for as long as the
//! organisation keeps the longer ones full, and its callers would wait until their deadline.

use std::collections::BTreeMap;

use crate::core::Instance;

/// The distance between two turns of an entry with a single waiting request.
const TURN: u64 = 1 << 20;

/// The turns of the entries at which an organisation's requests wait.
///
/// Each grant moves the entry's next turn on, the less the more requests wait there, so that a
/// request waits about as long at any entry.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryTurns {
    /// The turn of the last grant.
    last: u64,
    /// The next turn of each entry with a non-zero reported count.
    next: BTreeMap<Instance, u64>,
}

impl EntryTurns {
    /// Records how many requests wait at an entry.
    pub(super) fn set_waiting(&mut self, entry: &Instance, count: u32) {
        let turn = self.last + distance(count);
        let next = self.next.entry(entry.clone()).or_insert(turn);
        *next = turn.min(*next);
    }

    /// Records a grant to an entry, at which `count` requests wait after it.
    pub(super) fn on_granted(&mut self, entry: &Instance, count: u32) {
        if let Some(next) = self.next.get_mut(entry) {
            self.last = self.last.max(*next);
            *next = self.last + distance(count);
        }
    }

    /// Removes an entry at which no request waits.
    pub(super) fn remove(&mut self, entry: &Instance) {
        self.next.remove(entry);
    }

    /// Returns whether no request waits at any entry.
    pub(super) fn is_empty(&self) -> bool {
        self.next.is_empty()
    }

    /// Lists the entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.next.keys()
    }

    /// Returns the entry whose turn comes first, of those that `waits` holds for.
    pub(super) fn first(&self, waits: impl Fn(&Instance) -> bool) -> Option<&Instance> {
        let waiting = self.next.iter().filter(|(entry, _)| waits(entry));
        waiting.min_by_key(|(_, turn)| **turn).map(|(entry, _)| entry)
    }
}

fn distance(waiting: u32) -> u64 {
    TURN / u64::from(waiting.max(1))
}
