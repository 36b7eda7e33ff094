//! Assignment of free slots to waiting requests.
//!
//! A slot goes to the backlogged organisation with the lowest counter, at the upstream with the
//! largest free part of its limit. Each grant is counted before the next one is chosen, so one pass
//! can't grant the same slot twice.

use std::collections::BTreeMap;

use super::{
    DEADLINE_SLACK, Dispatcher, DispatcherOutput, OutstandingGrant, RECOVERY_PERIOD, counters,
    slots::Slots,
};
use crate::{
    coordination::{decision::Decision, rollout::Use},
    core::{Instance, Millis, Organisation, UpstreamName},
    protocol::dispatch::{BegunAnswer, DispatchBody, Grant, GrantId},
};

impl Dispatcher {
    /// Returns the longest time that a request can run at an upstream, as bounded by its deadline.
    pub(super) fn longest_run(&self) -> Millis {
        Millis(self.document.limits.deadline_ms) + DEADLINE_SLACK
    }

    pub(super) fn in_flight(&self, upstream: &UpstreamName) -> u32 {
        self.in_flight.get(upstream).copied().unwrap_or(0)
    }

    pub(super) fn free_slots(&self, now: Millis, name: &UpstreamName, slots: &Slots) -> u32 {
        if self.leaving.contains(name) || !self.notices_of(name).takes_requests(now) {
            return 0;
        }
        let reserved = self.reserved.get(name).copied().unwrap_or(0);
        slots.free(now, self.in_flight(name), reserved)
    }

    pub(super) fn can_grant(&self, now: Millis) -> bool {
        self.serving && now >= self.started_at + RECOVERY_PERIOD
    }

    /// Returns the upstream with the largest free part of its limit. A canary comes
    /// first if its exposure allows a grant.
    pub(super) fn least_loaded_upstream(&self, now: Millis) -> Option<&UpstreamName> {
        let canary = match self.allows_canary(now) {
            true => self.least_loaded_of(now, Use::Canary),
            false => None,
        };
        canary.or_else(|| self.least_loaded_of(now, Use::Serving))
    }

    fn least_loaded_of(&self, now: Millis, version_use: Use) -> Option<&UpstreamName> {
        self.least_loaded_among(now, |name| self.use_of(name) == version_use)
    }

    /// Returns the upstream for a request whose answer has begun: one of its version, if one has a
    /// free slot. Otherwise the slot is for the requests behind it.
    fn least_loaded_for(&self, now: Millis, begun: &BegunAnswer) -> Option<&UpstreamName> {
        let version = begun.1.as_ref();
        self.least_loaded_among(now, |name| {
            self.version_of(name) == version && !self.rollout.is_rolled_back(version)
        })
    }

    fn least_loaded_among(
        &self,
        now: Millis,
        is_eligible: impl Fn(&UpstreamName) -> bool,
    ) -> Option<&UpstreamName> {
        let with_free_slots = self.slots.iter().filter_map(|(name, slots)| {
            if !is_eligible(name) {
                return None;
            }
            let free = self.free_slots(now, name, slots);
            (free > 0).then(|| (name, u64::from(free) * 1_000 / u64::from(slots.limit().max(1))))
        });
        with_free_slots.max_by_key(|(_, free_part)| *free_part).map(|(name, _)| name)
    }

    /// Grants free slots, one at a time, to the backlogged organisation with the lowest counter.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        if !self.can_grant(now) {
            return;
        }
        let mut batches: BTreeMap<Instance, Vec<Grant>> = BTreeMap::new();
        while let Some(organisation) = self.counters.next_organisation().cloned() {
            let Some(upstream) = self.least_loaded_upstream(now).cloned() else { break };
            let Some(entry) = self.demand.next_entry(&organisation).cloned() else { break };
            let begun = self.demand.take_begun(&entry, &organisation);
            let required = begun.and_then(|begun| self.least_loaded_for(now, &begun).cloned());
            let upstream = required.unwrap_or(upstream);
            let grant = self.grant(now, organisation, upstream, &entry, out);
            batches.entry(entry).or_default().push(grant);
        }
        for (entry, grants) in batches {
            let Some(session) = self.demand.session(&entry) else { continue };
            let last_report = self.demand.last_report(&entry);
            self.send(&entry, DispatchBody::Grants { session, last_report, grants }, out);
        }
    }

    fn grant(
        &mut self,
        now: Millis,
        organisation: Organisation,
        upstream: UpstreamName,
        entry: &Instance,
        out: &mut Vec<DispatcherOutput>,
    ) -> Grant {
        let counter = self.counters.counter(&organisation);
        let estimate = self.counters.charge_estimate(&organisation);
        let charge = counters::charge(estimate, self.document.share(&organisation));
        self.average_charge += (charge - self.average_charge) / 8;
        self.demand.on_granted(entry, &organisation);
        self.refresh_waiting(now, &organisation);
        self.on_rollout_grant(&upstream);
        *self.in_flight.entry(upstream.clone()).or_default() += 1;
        let id = GrantId(self.term, self.next_grant);
        self.next_grant += 1;
        let outstanding = OutstandingGrant {
            entry: entry.clone(),
            organisation: organisation.clone(),
            upstream: upstream.clone(),
            estimate,
            charged: 0,
            granted_at: now,
        };
        self.outstanding.insert(id, outstanding);
        let slots = &self.slots[&upstream];
        out.push(DispatcherOutput::Decided(Decision::Grant {
            service: self.pool.0.clone(),
            failure_domain: self.pool.1.clone(),
            term: self.term,
            grant: id.1,
            organisation: organisation.clone(),
            counter,
            entry: entry.clone(),
            upstream: upstream.clone(),
            in_flight: self.in_flight(&upstream),
            limit: slots.limit(),
        }));
        let (address, incarnation) = (slots.address, slots.incarnation());
        let version = slots.version.clone();
        Grant { id, organisation, upstream, address, incarnation, version }
    }
}
