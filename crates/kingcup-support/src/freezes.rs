//! Freezes of processes at drawn moments, for tests of processes that are suspended while they serve.

use std::{env, ops::Range, time::Duration};

/// The variable that names another number of freezes than a test's own.
const COUNT_VARIABLE: &str = "KINGCUP_FREEZES";
/// The longest time between a thaw and the next freeze, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;
/// From a hiccup to more than the time in which a lease is lost and won by another instance.
const LENGTH_MS: Range<u64> = 30..2_500;

/// One freeze of a process.
#[derive(Clone, Copy, Debug)]
pub struct Freeze {
    /// Its number, from zero on.
    pub number: u64,
    /// The process, by its number.
    pub process: usize,
    /// How long to wait before it.
    pub pause: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// Draws `count` freezes of `processes` processes, the same for the same seed. The environment
/// variable `KINGCUP_FREEZES` overrides the count.
pub fn draw(seed: u64, count: u64, processes: usize) -> impl Iterator<Item = Freeze> {
    let named = env::var(COUNT_VARIABLE).ok().and_then(|text| text.parse().ok());
    (0..named.unwrap_or(count)).map(move |number| {
        let drawn = |part: u64, limit: u64| {
            let mixed = (seed ^ (3 * number + part).wrapping_mul(0x9e37_79b9_7f4a_7c15))
                .wrapping_mul(0xbf58_476d_1ce4_e5b9);
            (mixed >> 33) % limit
        };
        let length = LENGTH_MS.start + drawn(2, LENGTH_MS.end - LENGTH_MS.start);
        Freeze {
            number,
            process: drawn(0, processes as u64) as usize,
            pause: Duration::from_millis(drawn(1, MAX_PAUSE_MS)),
            length: Duration::from_millis(length),
        }
    })
}
