//! Entries that open sessions, fall silent or are gone, and the slots they may be using.

use std::collections::BTreeSet;

use super::{Dispatcher, GONE_DELAY, Outstanding, SESSION_SILENCE};
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
        self.gone.remove(entry);
        let kept: BTreeSet<GrantId> = held.iter().map(|held| held.id).collect();
        for id in self.grants_of(entry) {
            if !kept.contains(&id) {
                self.take_outstanding(id);
            }
        }
        for (name, slots) in &mut self.slots {
            let new = held
                .iter()
                .filter(|held| held.upstream == *name && !self.outstanding.contains_key(&held.id));
            slots.on_entry_told(entry, new.count());
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

    /// Counts a grant that the entry holds, whoever gave it.
    fn adopt(&mut self, entry: &Instance, held: &GrantInUse) {
        if self.outstanding.contains_key(&held.id) {
            return;
        }
        let estimate = self.counters.adopt_grant(&held.organisation);
        *self.in_flight.entry(held.upstream.clone()).or_default() += 1;
        let grant = Outstanding {
            entry: entry.clone(),
            organisation: held.organisation.clone(),
            upstream: held.upstream.clone(),
            estimate,
            // What it cost before the take-over is already in the old counters.
            counted: held.cost,
            granted_at: Millis::ZERO,
        };
        self.outstanding.insert(held.id, grant);
    }

    pub(super) fn on_close(&mut self, now: Millis, entry: &Instance, session: SessionTag) {
        if !self.demand.is_current(entry, session) {
            return;
        }
        // An entry closes a session only when it holds nothing; a grant still counted here was
        // under way to it and will not be used.
        self.release(now, entry);
    }

    /// Ends an entry's session and frees the slots of all its grants; returns the grants.
    fn release(&mut self, now: Millis, entry: &Instance) -> Vec<Outstanding> {
        self.withdraw_demand(now, entry);
        self.demand.forget(entry);
        let ids = self.grants_of(entry);
        ids.into_iter().filter_map(|id| self.take_outstanding(id)).collect()
    }

    /// Stops counting on entries that can't be heard.
    ///
    /// Their requests may still run, so their slots stay taken until a load report shows them
    /// free; otherwise an upstream would be oversold by exactly the requests of the silent entry.
    pub(super) fn drop_silent_entries(&mut self, now: Millis) {
        for entry in self.demand.silent(now, SESSION_SILENCE) {
            let until = now + self.longest_run();
            for grant in self.release(now, &entry) {
                if let Some(slots) = self.slots.get_mut(&grant.upstream) {
                    slots.add_unaccounted(now, &entry, until);
                }
            }
        }
    }

    /// Learns that an entry could not be dialled.
    ///
    /// A refused connection proves that the process is gone, and with it its connections to
    /// upstreams: its slots are free at once, and it uses no static share. Silence proves nothing.
    pub fn on_dial_failed(&mut self, now: Millis, entry: &Instance, refused: bool) {
        if !refused {
            self.gone.remove(entry);
            return;
        }
        if self.demand.was_heard(now, entry, GONE_DELAY) {
            return;
        }
        self.gone.insert(entry.clone());
        self.release(now, entry);
        for slots in self.slots.values_mut() {
            slots.on_entry_told(entry, 0);
        }
    }

    /// Keeps back a resident's part of each upstream that is its by static share, from the start and
    /// whenever that resident is not known to know of this dispatcher.
    ///
    /// A resident cut off from the majority may use that part at any time. If this dispatcher gave
    /// those slots too, a cold upstream would fall over under both. One that is frozen looks the
    /// same and uses none, so no more than its part may wait for it.
    pub(super) fn reserve_for_silent_residents(&mut self, now: Millis) {
        self.reserved.clear();
        let silent = |i: &Instance| {
            let is_known = *i == self.instance || self.gone.contains(i);
            !is_known && !self.demand.was_heard(now, i, SESSION_SILENCE)
        };
        if !self.residents.iter().any(silent) {
            return;
        }
        let kept = self.shares.iter().filter(|(_, owner)| silent(owner));
        let part = self.document.slots.static_slots();
        self.reserved = kept.map(|(name, _)| (name.clone(), part)).collect();
    }

    /// Notes that a resident knows of this dispatcher and so uses no static share.
    pub fn on_acknowledged(&mut self, now: Millis, resident: &Instance) {
        self.gone.remove(resident);
        self.demand.note_heard(now, resident);
    }
}
