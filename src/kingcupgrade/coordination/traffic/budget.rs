//! The retry budget.
//!
//! When upstreams fail, every retry adds load to those that are left. The fleet as a whole may
//! retry a fixed fraction of its requests. Each entry spends its own share of that without
//! coordination, so the limit also holds while entries can't reach each other.

use std::collections::VecDeque;

use crate::core::Millis;

/// The number of slices of the window. Each is counted and dropped as a whole, so more slices drop
/// old counts sooner.
const SLICES: u64 = 10;
/// The fraction of the allowance that is spent. Upstreams count a request a little after this entry
/// has sent it, and so in windows whose bounds this entry doesn't know exactly.
const SAFETY_FRACTION: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

/// How many retries the whole fleet may make in a window.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, by the whole fleet.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

impl RetryBudget {
    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Millis, allowance: Allowance) {
        self.current_slice(now, allowance).requests += 1;
    }

    /// Spends a retry if this entry, one of `entries`, has one left; returns whether it had.
    pub fn try_retry(&mut self, now: Millis, allowance: Allowance, entries: usize) -> bool {
        let has_retry = self.has_retry(now, allowance, entries);
        if has_retry {
            self.current_slice(now, allowance).retries += 1;
        }
        has_retry
    }

    /// Returns whether this entry, one of `entries`, has a retry left.
    pub fn has_retry(&mut self, now: Millis, allowance: Allowance, entries: usize) -> bool {
        self.current_slice(now, allowance);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let slack = allowance.slack / entries.max(1) as f64;
        let allowed = SAFETY_FRACTION * (allowance.ratio * f64::from(requests) + slack);
        f64::from(retries) + 1.0 <= allowed
    }

    fn current_slice(&mut self, now: Millis, allowance: Allowance) -> &mut Slice {
        let length = (allowance.window.0 / SLICES).max(1);
        let index = now.0 / length;
        self.slices.retain(|slice| slice.index + SLICES > index);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        self.slices.back_mut().expect("the current slice exists")
    }
}
