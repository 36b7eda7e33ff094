//! When upstreams ended, and which of them together.

use super::{CRASH_TTL, Incarnation};
use crate::core::Millis;

/// Upstreams that end within this time of each other have ended together.
const TOGETHER_SPAN: Millis = Millis(100);
/// Ends of upstreams are remembered for this long: others tell of theirs a moment later.
const ENDS_TTL: Millis = Millis(2_000);
/// The least number of upstreams that end together for a reason that is no part.
const MIN_TOGETHER: usize = 3;
/// The same as a divisor of the upstreams of a service: where requests with a part come often, some
/// of many upstreams end together by chance.
const TOGETHER_DIVISOR: usize = 6;

/// The times at which upstreams ended, and those at which some ended together.
#[derive(Clone, Debug, Default)]
pub(super) struct Ends {
    recent: Vec<(Millis, Incarnation)>,
    /// The first and the last time of each group that ended together.
    together: Vec<(Millis, Millis)>,
}

impl Ends {
    /// Records that an upstream of a service with `upstreams` of them has ended.
    pub(super) fn insert(&mut self, at: Millis, incarnation: Incarnation, upstreams: usize) {
        self.recent.retain(|(end, _)| at.since(*end) <= ENDS_TTL);
        self.together.retain(|(_, last)| at.since(*last) <= CRASH_TTL);
        if self.recent.iter().any(|(_, known)| *known == incarnation) {
            return;
        }
        self.recent.push((at, incarnation));
        let times = self.recent.iter().map(|(end, _)| *end);
        let near = times.filter(|end| at.since(*end).max(end.since(at)) <= TOGETHER_SPAN);
        let near: Vec<Millis> = near.collect();
        if near.len() >= MIN_TOGETHER.max(upstreams / TOGETHER_DIVISOR) {
            let (first, last) = (near.iter().min(), near.iter().max());
            self.together.extend(first.copied().zip(last.copied()));
        }
    }

    /// Returns whether upstreams ended together at a time.
    pub(super) fn is_together(&self, at: Millis) -> bool {
        self.together.iter().any(|(first, last)| *first <= at && at <= *last)
    }
}
