//! What is learned of a model engine's speed from the answers that it gives.
//!
//! Nobody tells how fast an engine reads. It shows in the time to the first event: what was
//! unread before a request, and its own prompt, over the time they took.

use crate::core::Millis;

/// Tokens read in a millisecond until answers tell more: slow enough that a slow engine's callers
/// still get their first event on time.
const FIRST_READ_RATE: f64 = 60.0;
/// The slowest and fastest rates believed, in tokens a millisecond; beyond these the time was
/// spent on something else.
const READ_RATES: (f64, f64) = (20.0, 160.0);
/// The time to a first event that doesn't depend on the prompt, in milliseconds.
const FIRST_EVENT_BASE: f64 = 80.0;
/// Answers with less to read than this say nothing about the rate, in tokens, unless they come
/// sooner than expected.
const TELLING_TOKENS: u64 = 4_000;
/// Answers with less to read than this say nothing at all.
const LEAST_TOKENS: u64 = 1_000;
/// The weight of one answer.
const GAIN: f64 = 0.05;

/// The speed of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    read_rate: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed { read_rate: FIRST_READ_RATE }
    }
}

impl EngineSpeed {
    /// Learns from the time to a first event; `tokens` were to be read until then.
    ///
    /// An engine thought slow gets little at a time. Were only large amounts to tell its rate, one
    /// overload would be believed for good.
    pub fn on_first_event(&mut self, tokens: u64, took: Millis) {
        let is_sooner = (took.0 as f64) < self.first_event_ms(tokens);
        if tokens < LEAST_TOKENS || (tokens < TELLING_TOKENS && !is_sooner) {
            return;
        }
        let reading = (took.0 as f64 - FIRST_EVENT_BASE).max(1.0);
        let rate = (tokens as f64 / reading).clamp(READ_RATES.0, READ_RATES.1);
        self.read_rate += GAIN * (rate - self.read_rate);
    }

    /// Returns how long it takes until the first event after `tokens` are read, in milliseconds.
    pub fn first_event_ms(&self, tokens: u64) -> f64 {
        FIRST_EVENT_BASE + tokens as f64 / self.read_rate
    }

    /// Returns the tokens read in a millisecond.
    pub fn read_rate(&self) -> f64 {
        self.read_rate
    }
}
