//! The listed upstreams of the pool and their limits.

use std::{collections::BTreeSet, net::SocketAddr};

use super::{
    Dispatcher, DispatcherOutput, OutstandingGrant, RECOVERY_PERIOD,
    slots::{LimitReset, Listed, Slots},
};
use crate::{
    coordination::decision::Decision,
    core::{Millis, UpstreamName},
    util::rendezvous::static_shares,
};

impl Dispatcher {
    /// Returns the address of a listed upstream and whether it is idle: no grant is in use and no
    /// request can be running without one.
    ///
    /// Only the upstream's own load reports can show whether an unreachable entry uses its static
    /// share of the upstream.
    pub fn upstream_state(&self, now: Millis, name: &UpstreamName) -> Option<(SocketAddr, bool)> {
        let slots = self.slots.get(name)?;
        let is_reserved = self.reserved.get(name).is_some_and(|count| *count > 0);
        let is_share_unused = !is_reserved || slots.is_reported_idle(now);
        let is_idle = self.in_flight(name) == 0 && slots.has_no_unaccounted(now) && is_share_unused;
        Some((slots.address, is_idle))
    }

    /// Treats an upstream as cold after an order changed its setup.
    pub fn on_reconfigured(
        &mut self,
        now: Millis,
        name: &UpstreamName,
        out: &mut Vec<DispatcherOutput>,
    ) {
        if let Some(slots) = self.slots.get_mut(name) {
            slots.on_reconfigured(now);
            self.log_limit_reset(name, Some(LimitReset::Changed), out);
        }
    }

    /// Applies the platform's list of the pool's upstreams.
    pub fn on_listing(&mut self, now: Millis, listing: &[Listed], out: &mut Vec<DispatcherOutput>) {
        let noted = listing.iter().map(|l| (&l.upstream, l.incarnation, l.leaving));
        self.notices.on_listing(now, noted);
        let listed: BTreeSet<&UpstreamName> = listing.iter().map(|l| &l.upstream).collect();
        self.slots.retain(|name, _| listed.contains(name));
        if !self.static_owners.keys().eq(listed.iter().copied()) {
            let names = listed.iter().map(|name| (*name).clone());
            self.static_owners = static_shares(names, &self.local_entries);
        }
        for item in listing {
            self.on_listed(now, item, out);
        }
        self.on_listed_versions(now, listing);
        self.reserve_static_shares(now);
        self.dispatch(now, out);
    }

    fn on_listed(&mut self, now: Millis, item: &Listed, out: &mut Vec<DispatcherOutput>) {
        let limits = self.document.slots;
        let longest_run = self.longest_run();
        let slots = self
            .slots
            .entry(item.upstream.clone())
            .or_insert_with(|| Slots::new(now, item, limits));
        let outstanding = &self.outstanding;
        let granted_before = |made_at: Millis| {
            let is_counted = |grant: &&OutstandingGrant| {
                grant.upstream == item.upstream && grant.granted_at <= made_at
            };
            u32::try_from(outstanding.values().filter(is_counted).count()).unwrap_or(u32::MAX)
        };
        let reset = slots.on_listed(
            now,
            self.started_at + RECOVERY_PERIOD,
            longest_run,
            item,
            granted_before,
        );
        self.log_limit_reset(&item.upstream, reset, out);
    }

    pub(super) fn log_limit_reset(
        &self,
        upstream: &UpstreamName,
        reset: Option<LimitReset>,
        out: &mut Vec<DispatcherOutput>,
    ) {
        let reason = match reset {
            None => return,
            Some(LimitReset::Refused) => "refused a request",
            Some(LimitReset::Failed) => "failed a request",
            Some(LimitReset::Slow) => "first byte far later than usual",
            Some(LimitReset::Restarted) => "new incarnation",
            Some(LimitReset::Changed) => "changed by order",
        };
        out.push(DispatcherOutput::Decided(Decision::Collapse {
            service: self.pool.0.clone(),
            upstream: upstream.clone(),
            reason,
        }));
    }
}
