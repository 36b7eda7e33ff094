//! Passive health checks: which upstreams fail, judged by the requests sent to them.
//!
//! An active health check can pass while requests fail, so what callers get is what counts. An
//! upstream is compared with the others of its service: some services fail a fraction of their
//! requests on every upstream, and ejecting all of them would leave none to serve callers.

use crate::core::Millis;

/// The weight of one answer in the moving average of failures.
const GAIN: f64 = 0.12;
/// An upstream is ejected if its failure rate exceeds that of its service by this much.
const EXCESS: f64 = 0.3;
/// The number of answers before a failure rate is acted on.
const MIN_ANSWERS: u32 = 6;
/// How long the first failure to connect ejects an upstream; doubled with each further one.
const FIRST_PAUSE: Millis = Millis(300);
/// The longest time for which failures to connect eject an upstream.
const LONGEST_PAUSE: Millis = Millis(3_000);
/// How long an excessive failure rate ejects an upstream.
const FAILING_PAUSE: Millis = Millis(2_500);

/// The health of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    answers: u32,
    unreachable: u32,
    aside_until: Millis,
}

impl Health {
    /// Returns the failure rate, a moving average between 0 and 1.
    pub fn failure_share(&self) -> f64 {
        self.failures
    }

    /// Returns whether the upstream is ejected.
    pub fn is_aside(&self, now: Millis) -> bool {
        now < self.aside_until
    }

    /// Records a successful answer.
    pub fn on_answer(&mut self) {
        self.unreachable = 0;
        self.answers = self.answers.saturating_add(1);
        self.failures -= GAIN * self.failures;
    }

    /// Records a request that was sent and failed; `usual` is the failure rate of the service.
    pub fn on_failure(&mut self, now: Millis, usual: f64) {
        self.answers = self.answers.saturating_add(1);
        self.failures += GAIN * (1.0 - self.failures);
        if self.answers >= MIN_ANSWERS && self.failures > usual + EXCESS {
            self.aside_until = now + FAILING_PAUSE;
            // A few answers after the ejection suffice to decide again.
            self.failures = usual + EXCESS * 0.7;
            self.answers = MIN_ANSWERS - 2;
        }
    }

    /// Records that no connection could be made, or that connections kept closing before the
    /// request could be sent.
    pub fn on_unreachable(&mut self, now: Millis) {
        let doubled = FIRST_PAUSE.0 << self.unreachable.min(6);
        self.unreachable = self.unreachable.saturating_add(1);
        self.aside_until = self.aside_until.max(now + Millis(doubled.min(LONGEST_PAUSE.0)));
    }
}
