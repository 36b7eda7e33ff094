//! The retry delays of requests that an overloaded entry refuses.

use super::limits::{DETOUR_COST, PeerRoom};
use crate::core::Millis;

/// The part of the time left to its deadline that a caller waits at most before it retries.
const USABLE_FRACTION: f64 = 1.0 / 3.0;
/// The maximum retry delay: a caller that retries later gets its answer too late in any case, and
/// what is known of the load doesn't tell further ahead.
const MAX_DELAY: Millis = Millis(1_500);
/// The distance between two successive delays, as a fraction of the span. With the golden ratio,
/// any number of successive delays are spread evenly over the span.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// Chooses the retry delays of refused callers.
///
/// Where others have room, a caller is served at once there. Otherwise the delays are spread over
/// the time that callers can use: if all came back at once, the same flood would meet the same
/// entries again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySpread {
    /// The position of the last delay in its span, from 0 to 1.
    position: f64,
}

impl RetrySpread {
    /// Returns the delay for a caller that has `time_left` until its deadline.
    pub fn next(&mut self, room: PeerRoom, time_left: Millis) -> Millis {
        // What isn't known to be short is taken for available: another entry is the best guess.
        if room != PeerRoom::Short {
            return DETOUR_COST;
        }
        let usable = Millis((time_left.0 as f64 * USABLE_FRACTION) as u64).min(MAX_DELAY);
        if usable <= DETOUR_COST {
            return usable;
        }
        self.position = (self.position + SPREAD_STEP).fract();
        let span = usable.since(DETOUR_COST).0 as f64;
        DETOUR_COST + Millis((span * self.position) as u64)
    }
}
