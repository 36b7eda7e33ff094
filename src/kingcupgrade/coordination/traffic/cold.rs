//! Each entry's share of the request rate that a cold upstream can take.
//!
//! The rate over all entries must stay within what the upstream can take, also while entries can't
//! reach each other, so each entry keeps to a fixed share. In a large fleet an even share is less
//! than one request in the whole time that an upstream is cold. Each entry would save up one
//! request, all of these would arrive at once, and the upstream would crash. So only a few entries
//! send to it, chosen by rendezvous hashing so that all entries agree on them, each with a share
//! large enough to be useful.

use crate::{
    core::{Instance, UpstreamName},
    util::rendezvous,
};

/// The smallest useful share, in requests per second. An entry may save up one request, so in any
/// second the upstream gets at most a third more than it can take.
const MIN_SHARE: f64 = 3.0;

/// Returns the requests per second that `entry`, one of `entries`, may send to a cold upstream that
/// can take `rate` in all.
pub fn cold_rate_share(
    rate: f64,
    upstream: &UpstreamName,
    entry: &Instance,
    entries: &[Instance],
) -> f64 {
    let senders = ((rate / MIN_SHARE) as usize).max(1);
    if entries.len() <= senders {
        return rate / entries.len().max(1) as f64;
    }
    match rendezvous::is_among_first(upstream.as_str(), entry, entries, senders) {
        true => rate / senders as f64,
        false => 0.0,
    }
}
