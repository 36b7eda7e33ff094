//! The prompt read rate of model engines, estimated from their answers.
//!
//! Engines don't report how fast they read prompts. The rate follows from the time to the first
//! event: the tokens that were unread before a request plus its own prompt, divided by that time.

use crate::core::Millis;

/// The read rate assumed before any answer, in tokens per millisecond: low enough that callers of a
/// slow engine still get their first event on time.
const INITIAL_READ_RATE: f64 = 60.0;
/// The lowest and highest read rates that are accepted, in tokens per millisecond. A measurement
/// outside of them is clamped, since the time was spent on something else.
const READ_RATE_RANGE: (f64, f64) = (20.0, 160.0);
/// The part of the time to a first event that doesn't depend on the prompt, in milliseconds.
const FIRST_EVENT_BASE_MS: f64 = 80.0;
/// Answers with fewer tokens to read than this are ignored, unless they come sooner than expected:
/// they say too little about the rate.
const RELIABLE_TOKENS: u64 = 4_000;
/// Answers with fewer tokens to read than this are always ignored.
const MIN_TOKENS: u64 = 1_000;
/// The weight of one answer in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The estimated speed of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    read_rate: f64,
    /// How long work takes on the engine in question, where 1 is the mean of the service.
    duration_factor: f64,
}

impl Default for EngineSpeed {
    fn default() -> EngineSpeed {
        EngineSpeed { read_rate: INITIAL_READ_RATE, duration_factor: 1.0 }
    }
}

impl EngineSpeed {
    /// Updates the estimate from the time to a first event, before which `tokens` had to be read.
    ///
    /// An engine that is thought slow gets few tokens at a time. If only large amounts counted as
    /// evidence, the estimate could never rise again after one overload. So smaller amounts also
    /// count when they are read sooner than expected.
    pub fn on_first_event(&mut self, tokens: u64, took: Millis) {
        let is_early = (took.0 as f64) < self.first_event_ms(tokens);
        if tokens < MIN_TOKENS || (tokens < RELIABLE_TOKENS && !is_early) {
            return;
        }
        let reading_ms = (took.0 as f64 - FIRST_EVENT_BASE_MS).max(1.0);
        let rate = (tokens as f64 / reading_ms).clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
        self.read_rate += SAMPLE_WEIGHT * (rate - self.read_rate);
    }

    /// Returns the expected time to a first event before which `tokens` have to be read, in
    /// milliseconds.
    pub fn first_event_ms(&self, tokens: u64) -> f64 {
        (FIRST_EVENT_BASE_MS + tokens as f64 / self.read_rate) * self.duration_factor
    }

    /// Returns the estimated read rate, in tokens per millisecond.
    pub fn read_rate(&self) -> f64 {
        self.read_rate / self.duration_factor
    }

    /// Returns the speed of an engine on which work takes `factor` times as long as the mean of the
    /// service.
    pub fn slowed_by(self, factor: f64) -> EngineSpeed {
        EngineSpeed { duration_factor: self.duration_factor * factor, ..self }
    }
}
