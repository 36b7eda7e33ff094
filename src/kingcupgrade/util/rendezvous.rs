//! Rendezvous hashing: everyone who knows the same names computes the same order.
//!
//! It spreads leases and static shares over instances without a message, and a name that comes
//! or goes moves only what it ranked first for.

use std::collections::BTreeMap;

use crate::core::{Instance, UpstreamName};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of `name` for `key`, the same on every machine.
fn weight(key: &str, name: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(name.bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // FNV alone leaves names that differ in their last byte close together.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Orders `instances` by their rank for `key`, the first first.
pub fn ranking(key: &str, instances: impl IntoIterator<Item = Instance>) -> Vec<Instance> {
    let mut ranked: Vec<Instance> = instances.into_iter().collect();
    ranked.sort_by_key(|instance| (u64::MAX - weight(key, instance.as_str()), instance.clone()));
    ranked
}

/// Tells whether an instance is among the first `most` of `instances` by their rank for `key`.
pub fn is_among_first(key: &str, instance: &Instance, instances: &[Instance], most: usize) -> bool {
    let own = (weight(key, instance.as_str()), instance);
    let others = instances.iter().map(|other| (weight(key, other.as_str()), other));
    others.filter(|other| *other > own).count() < most
}

/// Assigns each upstream to one instance, no instance more than its even part rounded up.
pub fn static_shares(
    upstreams: impl IntoIterator<Item = UpstreamName>,
    instances: &[Instance],
) -> BTreeMap<UpstreamName, Instance> {
    let mut names: Vec<UpstreamName> = upstreams.into_iter().collect();
    names.sort();
    let most = names.len().div_ceil(instances.len().max(1));
    let mut loads: BTreeMap<Instance, usize> = BTreeMap::new();
    let mut shares = BTreeMap::new();
    for name in names {
        let ranked = ranking(name.as_str(), instances.iter().cloned());
        let open = ranked.into_iter().find(|i| loads.get(i).copied().unwrap_or(0) < most);
        if let Some(instance) = open {
            *loads.entry(instance.clone()).or_default() += 1;
            shares.insert(name, instance);
        }
    }
    shares
}
