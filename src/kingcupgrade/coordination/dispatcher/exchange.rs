//! Exchange of service totals and idle slots with the dispatchers of other failure domains.

use super::{
    Dispatcher, DispatcherOutput, EXCHANGE_BATCH, FULL_EXCHANGE_EVERY, OFFER_MARGIN,
    RemoteDispatcher,
};
use crate::{
    coordination::rollout::Use,
    core::{FailureDomain, Instance, Millis},
    protocol::dispatch::{DispatchBody, Offer, ServiceReceived},
};

impl Dispatcher {
    pub(super) fn fresh_remotes(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&FailureDomain, &RemoteDispatcher)> {
        self.remote_dispatchers.iter().filter(move |(_, remote)| remote.is_fresh(now))
    }

    /// Lists the remote dispatchers to which entries should report their demand too.
    ///
    /// These are the ones with idle slots, and the ones whose backlogged organisations have all had
    /// much more service than the least served organisation of this pool. If this pool can't serve
    /// at all, they are all listed, but for those whose upstreams have all asked for no requests.
    pub(super) fn offers(&self, now: Millis) -> Vec<Offer> {
        let Some(own_min) = self.counters.min_counter() else { return Vec::new() };
        let cannot_serve =
            !self.serving || self.slots.is_empty() || self.pool_backoff_left(now).is_some();
        let margin = OFFER_MARGIN * self.average_charge;
        let takes = |remote: &RemoteDispatcher| {
            let better_off = remote.min_counter.is_some_and(|min| min > own_min + margin);
            let can_take = cannot_serve || remote.free > 0 || better_off;
            can_take && remote.backoff_left(now).is_none()
        };
        let fresh = self.fresh_remotes(now).filter(|(_, remote)| takes(remote));
        fresh.map(|(domain, remote)| Offer(domain.clone(), remote.holder.clone())).collect()
    }

    /// Returns the number of free slots, or zero while any request waits for one.
    pub fn idle_slots(&self, now: Millis) -> u32 {
        if !self.can_grant(now) || self.counters.backlogged() > 0 {
            return 0;
        }
        let serving = self.slots.iter().filter(|(name, _)| self.use_of(name) == Use::Serving);
        serving.map(|(name, slots)| self.free_slots(now, name, slots)).sum()
    }

    pub(super) fn exchange(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        self.exchange_count += 1;
        let is_full = self.exchange_count.is_multiple_of(FULL_EXCHANGE_EVERY);
        if is_full {
            self.counters.mark_backlogged_changed();
        }
        let served = self.counters.take_changed(EXCHANGE_BATCH, is_full);
        // A pool that can't serve reports no counter: demand sent to it would not be served sooner.
        let least = if self.serving { self.counters.min_counter() } else { None };
        let (free, backoff_left) = (self.idle_slots(now), self.pool_backoff_left(now));
        let body = DispatchBody::Exchange { free, least, served, backoff_left };
        out.push(DispatcherOutput::SendToRemoteDispatchers(self.message(body)));
    }

    /// Returns the lease holder of the service's pool in `domain`, if it was heard from recently.
    pub fn known_holder(&self, now: Millis, domain: &FailureDomain) -> Option<&Instance> {
        let remote = self.remote_dispatchers.get(domain)?;
        remote.is_fresh(now).then_some(&remote.holder)
    }

    pub(super) fn on_exchange(
        &mut self,
        now: Millis,
        remote: RemoteDispatcher,
        served: &[ServiceReceived],
        out: &mut Vec<DispatcherOutput>,
    ) {
        let Some(domain) = self.demand.domain_of(&remote.holder) else { return };
        let (from, term) = (remote.holder.clone(), remote.term);
        let outranks = |known: &RemoteDispatcher| known.term > term && known.is_fresh(now);
        if self.remote_dispatchers.get(&domain).is_some_and(outranks) {
            return;
        }
        let is_new = self.remote_dispatchers.get(&domain).is_none_or(|known| known.term != term);
        self.remote_dispatchers.insert(domain.clone(), remote);
        let is_behind = self.counters.merge_remote(&domain, served);
        // A new holder's counters start at zero. Unless it learns what its failure domain has
        // already served, its organisations would receive the same service twice.
        if is_new || is_behind {
            let served = self.counters.remote(&domain);
            self.send(&from, DispatchBody::Recall { served }, out);
        }
    }
}
