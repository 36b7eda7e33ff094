//! Which upstreams fail, found from their own answers.
//!
//! A health check can pass while requests fail. What callers meet is what counts, so an upstream
//! is judged by the requests sent to it, and against the others of its service: some services fail
//! a part of their requests on every upstream, and setting all of them aside would serve nobody.

use crate::core::Millis;

/// The weight of one answer in the share of failures.
const GAIN: f64 = 0.12;
/// A share of failures this much over the service's own sets an upstream aside.
const EXCESS: f64 = 0.3;
/// Answers that must have been seen before a share of failures is believed.
const MIN_ANSWERS: u32 = 6;
/// The first time aside after a failure to connect; doubled with each further one.
const FIRST_PAUSE: Millis = Millis(300);
/// The longest time aside.
const LONGEST_PAUSE: Millis = Millis(3_000);
/// The time aside for failing requests.
const FAILING_PAUSE: Millis = Millis(2_500);

/// What is known of an upstream's health.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    answers: u32,
    unreachable: u32,
    aside_until: Millis,
}

impl Health {
    /// Returns the share of requests that failed of late.
    pub fn failure_share(&self) -> f64 {
        self.failures
    }

    /// Tells whether the upstream is set aside.
    pub fn is_aside(&self, now: Millis) -> bool {
        now < self.aside_until
    }

    /// Notes an answer.
    pub fn on_answer(&mut self) {
        self.unreachable = 0;
        self.answers = self.answers.saturating_add(1);
        self.failures -= GAIN * self.failures;
    }

    /// Notes a request that was sent and failed; `usual` is the service's share of failures.
    pub fn on_failure(&mut self, now: Millis, usual: f64) {
        self.answers = self.answers.saturating_add(1);
        self.failures += GAIN * (1.0 - self.failures);
        if self.answers >= MIN_ANSWERS && self.failures > usual + EXCESS {
            self.aside_until = now + FAILING_PAUSE;
            // After the pause a few answers decide anew.
            self.failures = usual + EXCESS * 0.7;
            self.answers = MIN_ANSWERS - 2;
        }
    }

    /// Notes that no connection could be made, or that one broke.
    pub fn on_unreachable(&mut self, now: Millis) {
        let doubled = FIRST_PAUSE.0 << self.unreachable.min(6);
        self.unreachable = self.unreachable.saturating_add(1);
        self.aside_until = self.aside_until.max(now + Millis(doubled.min(LONGEST_PAUSE.0)));
    }
}
