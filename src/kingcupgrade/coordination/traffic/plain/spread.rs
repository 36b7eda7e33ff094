//! The cost of an upstream without an engine in a fleet whose load reports are outdated.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{
    coordination::traffic::{
        RequestNo, Upstream,
        placement::{PLAIN_LIMIT_FACTOR, REMOTE_DOMAIN_COST},
    },
    core::{FailureDomain, Instance, Millis},
};

/// The spread of the costs among entries if all that is known of others' requests is outdated, in
/// requests for each slot. Requests that arrive at random make loads differ by about as much, and
/// an entry's own requests still count.
const MAX_SPREAD: f64 = 0.3;
/// The spread if nothing is outdated; it only separates upstreams with equal costs.
const MIN_SPREAD: f64 = 0.01;
/// The fraction of a service's slots from which on failure domains make no difference if the loads
/// of single upstreams are unknown. A domain with most of the callers would otherwise fill its own
/// upstreams while others have free slots.
const MAX_LOCAL_OCCUPANCY: f64 = 0.5;
/// The maximum failure rate by which an upstream's expected time is extended.
const MAX_FAILURE_RATE: f64 = 0.9;

/// How a request chooses among plain upstreams, given the age of what is known of their loads.
#[derive(Debug)]
pub(in crate::coordination::traffic) struct PlainSpread {
    pub(super) no: RequestNo,
    pub(super) entry: Instance,
    /// The fraction of the other entries' requests that have ended since they were reported.
    pub(super) staleness: f64,
    /// The requests under way for each slot of the service.
    pub(super) mean_load: f64,
    /// Whether the service is short of capacity.
    pub(super) is_short: bool,
}

impl PlainSpread {
    /// Returns the cost of an upstream: the expected time of the request, where 1 is that of one
    /// request for each slot; `None` if the upstream is full.
    pub(in crate::coordination::traffic) fn cost(
        &self,
        now: Millis,
        upstream: &Upstream,
        domain: &FailureDomain,
    ) -> Option<f64> {
        let slots = f64::from(upstream.listed.slots.max(1));
        let under_way = self.expected_load(now, upstream, slots);
        if under_way >= f64::from(PLAIN_LIMIT_FACTOR) {
            return None;
        }
        let load = under_way + 1.0 / slots;
        let success_rate = 1.0 - upstream.health.failure_rate().min(MAX_FAILURE_RATE);
        let expected = load / success_rate;
        let spread = (MAX_SPREAD * self.staleness).max(MIN_SPREAD);
        let place_in_spread =
            unit_hash((self.no, self.entry.as_str(), upstream.listed.name.as_str()));
        let domain_cost = match upstream.listed.domain == *domain {
            true => 0.0,
            false => (spread + REMOTE_DOMAIN_COST / slots) * self.locality(),
        };
        Some(expected + place_in_spread * spread + domain_cost)
    }

    /// Returns the expected requests under way for each slot. Those of other entries that have
    /// ended since the reports are assumed to have been replaced evenly over the upstreams: if
    /// entries went by the reported ones, all of them would send to the same upstream until the
    /// next report.
    fn expected_load(&self, now: Millis, upstream: &Upstream, slots: f64) -> f64 {
        let known = upstream.running(now);
        let others = upstream.peers.running.min(known);
        let own = f64::from(known - others) / slots;
        let others = f64::from(others) / slots;
        own + others + self.staleness * (self.mean_load - others)
    }

    /// Returns how much failure domains count, from 0 to 1.
    fn locality(&self) -> f64 {
        let busy = if self.is_short { 1.0 } else { self.mean_load / MAX_LOCAL_OCCUPANCY };
        1.0 - self.staleness * busy.min(1.0)
    }
}

/// Returns a number from 0 up to 1 that is different for each key.
pub(super) fn unit_hash(key: impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
