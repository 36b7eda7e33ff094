//! Rendezvous hashing: all instances that know the same names compute the same ranking.
//!
//! It distributes leases and static shares over instances without communication. When an instance
//! is added or removed, only the keys for which it ranks first move.

use std::collections::BTreeMap;

use crate::core::{Instance, UpstreamName};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of `name` for `key`, which is the same on all hosts.
fn weight(key: &str, name: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(name.bytes());
    let hash =
        bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    // FNV alone gives similar hashes to names that differ only in the last byte.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Returns `instances` in descending order of their weight for `key`.
pub fn ranking(key: &str, instances: impl IntoIterator<Item = Instance>) -> Vec<Instance> {
    let mut ranked: Vec<Instance> = instances.into_iter().collect();
    ranked.sort_by_key(|instance| (u64::MAX - weight(key, instance.as_str()), instance.clone()));
    ranked
}

/// Returns whether an instance ranks among the first `count` of `instances` for `key`.
pub fn is_among_first(
    key: &str,
    instance: &Instance,
    instances: &[Instance],
    count: usize,
) -> bool {
    let own = (weight(key, instance.as_str()), instance);
    let others = instances.iter().map(|other| (weight(key, other.as_str()), other));
    others.filter(|other| *other > own).count() < count
}

/// Assigns each upstream to one instance, with at most the average number of upstreams per
/// instance, rounded up.
pub fn static_shares(
    upstreams: impl IntoIterator<Item = UpstreamName>,
    instances: &[Instance],
) -> BTreeMap<UpstreamName, Instance> {
    let mut names: Vec<UpstreamName> = upstreams.into_iter().collect();
    names.sort();
    let limit = names.len().div_ceil(instances.len().max(1));
    let mut loads: BTreeMap<Instance, usize> = BTreeMap::new();
    let mut shares = BTreeMap::new();
    for name in names {
        let ranked = ranking(name.as_str(), instances.iter().cloned());
        let open = ranked.into_iter().find(|i| loads.get(i).copied().unwrap_or(0) < limit);
        if let Some(instance) = open {
            *loads.entry(instance.clone()).or_default() += 1;
            shares.insert(name, instance);
        }
    }
    shares
}
