//! The budget of repeats.
//!
//! When upstreams fail, every request that is sent again is load on those that are left. The fleet
//! as a whole may send a fixed part of its requests again; an entry spends its own part of that
//! without asking anyone, so the sum holds also while entries can't reach each other.

use std::collections::VecDeque;

use crate::core::Millis;

/// Parts of the window that are counted by themselves; a finer count is dropped sooner.
const SLICES: u64 = 10;
/// The part of the allowance that is spent. Arrivals are counted at the upstreams a little later
/// than they are sent here, and so fall into windows that this entry can't see exactly.
const SAFE_PART: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

/// What the fleet may repeat.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, by the whole fleet.
    pub slack: f64,
    /// The window.
    pub window: Millis,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Millis, allowance: Allowance) {
        self.slice(now, allowance).requests += 1;
    }

    /// Spends a repeat if there is one left for this entry, one of `entries`.
    pub fn try_repeat(&mut self, now: Millis, allowance: Allowance, entries: usize) -> bool {
        self.slice(now, allowance);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let slack = allowance.slack / entries.max(1) as f64;
        let allowed = SAFE_PART * (allowance.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(now, allowance).repeats += 1;
        true
    }

    fn slice(&mut self, now: Millis, allowance: Allowance) -> &mut Slice {
        let length = (allowance.window.0 / SLICES).max(1);
        let index = now.0 / length;
        self.slices.retain(|slice| slice.index + SLICES > index);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was pushed")
    }
}
