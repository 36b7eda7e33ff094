//! The dispatchers of the same service in other failure domains.

use super::{
    Dispatcher, DispatcherOutput, EXCHANGE_BATCH, FULL_EXCHANGE_EVERY, Neighbour, OFFER_MARGIN,
};
use crate::{
    core::{FailureDomain, Instance, Millis},
    protocol::dispatch::{DispatchBody, Offer, ServiceReceived},
};

impl Dispatcher {
    pub(super) fn fresh_neighbours(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&FailureDomain, &Neighbour)> {
        self.neighbours.iter().filter(move |(_, neighbour)| neighbour.is_fresh(now))
    }

    /// Lists the dispatchers elsewhere that should see this pool's demand: those with idle slots,
    /// and those that serve organisations much better off than the ones waiting here.
    pub(super) fn offers(&self, now: Millis) -> Vec<Offer> {
        let Some(own_least) = self.counters.least() else { return Vec::new() };
        let unable = !self.serving || self.slots.is_empty();
        let margin = OFFER_MARGIN * self.average_charge;
        let takes = |neighbour: &Neighbour| {
            let better_off = neighbour.least.is_some_and(|least| least > own_least + margin);
            unable || neighbour.free > 0 || better_off
        };
        let fresh = self.fresh_neighbours(now).filter(|(_, neighbour)| takes(neighbour));
        fresh.map(|(domain, neighbour)| Offer(domain.clone(), neighbour.holder.clone())).collect()
    }

    /// Returns the slots that nothing waits for.
    pub fn idle_slots(&self, now: Millis) -> u32 {
        if !self.can_grant(now) || self.counters.backlogged() > 0 {
            return 0;
        }
        self.slots.iter().map(|(name, slots)| self.free_slots(now, name, slots)).sum()
    }

    pub(super) fn exchange(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        self.exchanges += 1;
        let is_full = self.exchanges.is_multiple_of(FULL_EXCHANGE_EVERY);
        if is_full {
            self.counters.mark_backlogged_changed();
        }
        let served = self.counters.take_changed(EXCHANGE_BATCH, is_full);
        // A pool that can't serve says nothing of its level: nobody's demand is better off here.
        let least = if self.serving { self.counters.least() } else { None };
        let body = DispatchBody::Exchange { free: self.idle_slots(now), least, served };
        out.push(DispatcherOutput::SendToNeighbours(self.message(body)));
    }

    /// Returns the holder of another pool of the service, if it was heard of late.
    pub fn known_holder(&self, now: Millis, domain: &FailureDomain) -> Option<&Instance> {
        let neighbour = self.neighbours.get(domain)?;
        neighbour.is_fresh(now).then_some(&neighbour.holder)
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_exchange(
        &mut self,
        now: Millis,
        from: &Instance,
        term: u64,
        free: u32,
        least: Option<i64>,
        served: &[ServiceReceived],
        out: &mut Vec<DispatcherOutput>,
    ) {
        let Some(domain) = self.demand.domain_of(from) else { return };
        let outranks = |known: &Neighbour| known.term > term && known.is_fresh(now);
        if self.neighbours.get(&domain).is_some_and(outranks) {
            return;
        }
        let is_new = self.neighbours.get(&domain).is_none_or(|known| known.term != term);
        let neighbour = Neighbour { holder: from.clone(), term, free, least, heard: now };
        self.neighbours.insert(domain.clone(), neighbour);
        let behind = self.counters.merge_remote(&domain, served);
        // A new holder starts at zero. Unless it is told what its failure domain already served,
        // its organisations would be served twice for the same claim.
        if is_new || behind {
            let served = self.counters.remote(&domain);
            self.send(from, DispatchBody::Recall { served }, out);
        }
    }
}
