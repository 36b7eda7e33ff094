//! Each entry's part of the requests that a cold upstream bears.
//!
//! The sum over all entries must stay within what the upstream bears, also while entries can't
//! reach each other, so each keeps to a fixed part. In a large fleet an even part is less than one
//! request in the whole cold span, and what all entries save up comes at once: the upstream falls
//! over. So only a few entries send to it, the same for all by rank, each with a part of use.

use crate::{
    core::{Instance, UpstreamName},
    util::rendezvous,
};

/// The least part that is of use, in requests a second. An entry may save up one request, so the
/// upstream gets at most a third more in any second than it bears.
const LEAST_PART: f64 = 3.0;

/// Returns the requests a second that one of `entries` may send to a cold upstream that bears
/// `rate` in all.
pub fn cold_share(
    rate: f64,
    upstream: &UpstreamName,
    entry: &Instance,
    entries: &[Instance],
) -> f64 {
    let senders = ((rate / LEAST_PART) as usize).max(1);
    if entries.len() <= senders {
        return rate / entries.len().max(1) as f64;
    }
    match rendezvous::is_among_first(upstream.as_str(), entry, entries, senders) {
        true => rate / senders as f64,
        false => 0.0,
    }
}
