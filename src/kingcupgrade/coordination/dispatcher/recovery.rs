//! Sessions of entries that connect, fall silent or terminate, and the slots they may be using.

use std::collections::BTreeSet;

use super::{DIAL_FAILURE_GRACE, Dispatcher, OutstandingGrant, SESSION_TIMEOUT};
use crate::{
    core::{Instance, Millis},
    protocol::dispatch::{GrantId, GrantInUse, QueuedRequests, Session, SessionTag},
};

impl Dispatcher {
    pub(super) fn on_open(
        &mut self,
        now: Millis,
        entry: &Instance,
        session: Session,
        knows_term: bool,
        waiting: &[QueuedRequests],
        held: &[GrantInUse],
    ) {
        if !self.demand.open(now, entry, session, knows_term) {
            return;
        }
        self.terminated.remove(entry);
        let held_ids: BTreeSet<GrantId> = held.iter().map(|held| held.id).collect();
        for id in self.grants_of(entry) {
            if !held_ids.contains(&id) {
                self.remove_outstanding(id);
            }
        }
        for (name, slots) in &mut self.slots {
            let unknown = held
                .iter()
                .filter(|held| held.upstream == *name && !self.outstanding.contains_key(&held.id));
            slots.on_entry_reported(entry, unknown.count());
        }
        for held in held {
            self.adopt(entry, held);
        }
        self.withdraw_demand(now, entry);
        self.set_waiting(now, entry, waiting);
    }

    fn grants_of(&self, entry: &Instance) -> Vec<GrantId> {
        let of_entry = self.outstanding.iter().filter(|(_, grant)| grant.entry == *entry);
        of_entry.map(|(id, _)| *id).collect()
    }

    /// Counts a grant that an entry holds, unless it is already known.
    fn adopt(&mut self, entry: &Instance, held: &GrantInUse) {
        if self.outstanding.contains_key(&held.id) {
            return;
        }
        let estimate = self.counters.adopt_grant(&held.organisation);
        *self.in_flight.entry(held.upstream.clone()).or_default() += 1;
        let grant = OutstandingGrant {
            entry: entry.clone(),
            organisation: held.organisation.clone(),
            upstream: held.upstream.clone(),
            estimate,
            // The cost until now is already part of the earlier dispatcher's counters.
            charged: held.cost,
            granted_at: Millis::ZERO,
        };
        self.outstanding.insert(held.id, grant);
    }

    pub(super) fn on_close(&mut self, now: Millis, entry: &Instance, session: SessionTag) {
        if !self.demand.is_current(entry, session) {
            return;
        }
        // An entry closes a session only when it holds no grant. A grant that this dispatcher
        // still counts was in transit and will not be used.
        self.end_session(now, entry);
    }

    /// Ends an entry's session and removes its grants, which are returned.
    fn end_session(&mut self, now: Millis, entry: &Instance) -> Vec<OutstandingGrant> {
        self.withdraw_demand(now, entry);
        self.demand.forget(entry);
        let ids = self.grants_of(entry);
        ids.into_iter().filter_map(|id| self.remove_outstanding(id)).collect()
    }

    /// Ends the sessions of entries that have been silent for too long.
    ///
    /// Their requests may still be running, so their slots stay occupied until a load report or the
    /// deadline shows them free. Otherwise the upstream would be overcommitted by those requests.
    pub(super) fn drop_silent_entries(&mut self, now: Millis) {
        for entry in self.demand.silent(now, SESSION_TIMEOUT) {
            let until = now + self.longest_run();
            for grant in self.end_session(now, &entry) {
                if let Some(slots) = self.slots.get_mut(&grant.upstream) {
                    slots.add_unaccounted(now, Some(&entry), until);
                }
            }
        }
    }

    /// Handles a failed connection attempt to an entry.
    ///
    /// A refused connection proves that the process has terminated, and with it its connections to
    /// upstreams: its slots are free at once, and it uses no static share. A timeout proves
    /// nothing.
    pub fn on_dial_failed(&mut self, now: Millis, entry: &Instance, refused: bool) {
        if !refused {
            self.terminated.remove(entry);
            return;
        }
        if self.demand.was_heard(now, entry, DIAL_FAILURE_GRACE) {
            return;
        }
        self.terminated.insert(entry.clone());
        self.end_session(now, entry);
        for slots in self.slots.values_mut() {
            slots.on_entry_reported(entry, 0);
        }
    }

    /// Reserves the static share of every entry that may not know of this dispatcher.
    ///
    /// That applies from the start and whenever an entry has not been heard from recently. An entry
    /// partitioned from the majority may use its static share at any time. If this dispatcher
    /// granted those slots too, the combined load would make a cold upstream fail. A frozen entry
    /// looks like a partitioned one and uses no slots, so only the static part is reserved.
    pub(super) fn reserve_static_shares(&mut self, now: Millis) {
        self.reserved.clear();
        let may_use_share = |i: &Instance| {
            let is_excluded = *i == self.instance || self.terminated.contains(i);
            !is_excluded && !self.demand.was_heard(now, i, SESSION_TIMEOUT)
        };
        if !self.local_entries.iter().any(may_use_share) {
            return;
        }
        let reserved = self.static_owners.iter().filter(|(_, owner)| may_use_share(owner));
        let part = self.document.slots.static_slots();
        self.reserved = reserved.map(|(name, _)| (name.clone(), part)).collect();
    }

    /// Records that an entry knows of this dispatcher and therefore uses no static share.
    pub fn on_acknowledged(&mut self, now: Millis, entry: &Instance) {
        self.terminated.remove(entry);
        self.demand.note_heard(now, entry);
    }
}
