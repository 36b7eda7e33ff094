//! Passive health checks: which upstreams fail, judged by the requests sent to them.
//!
//! An active health check can pass while requests fail, so what callers get is what counts. An
//! upstream is compared with the others of its service: some services fail a fraction of their
//! requests on every upstream, and ejecting all of them would leave none to serve callers.

use crate::core::Millis;

/// The weight of one answer in the moving average of failures.
const SAMPLE_WEIGHT: f64 = 0.12;
/// An upstream is ejected if its failure rate exceeds that of its service by this much.
const EXCESS_FAILURE_RATE: f64 = 0.3;
/// The number of answers before a failure rate is acted on.
const MIN_ANSWERS: u32 = 6;
/// How long the first failure to connect ejects an upstream; doubled with each further one.
const MIN_EJECTION: Millis = Millis(300);
/// The longest time for which failures to connect eject an upstream.
const MAX_EJECTION: Millis = Millis(3_000);
/// How long an excessive failure rate ejects an upstream.
const FAILURE_EJECTION: Millis = Millis(2_500);

/// The health of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    answers: u32,
    connect_failures: u32,
    ejected_until: Millis,
}

impl Health {
    /// Returns the failure rate, a moving average between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a successful answer.
    pub fn on_answer(&mut self) {
        self.connect_failures = 0;
        self.answers = self.answers.saturating_add(1);
        self.failure_rate -= SAMPLE_WEIGHT * self.failure_rate;
    }

    /// Records a request that was sent and failed; `service_rate` is the failure rate of its
    /// service.
    pub fn on_failure(&mut self, now: Millis, service_rate: f64) {
        self.answers = self.answers.saturating_add(1);
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
        if self.answers >= MIN_ANSWERS && self.failure_rate > service_rate + EXCESS_FAILURE_RATE {
            self.ejected_until = now + FAILURE_EJECTION;
            // A few answers after the ejection suffice to decide again.
            self.failure_rate = service_rate + EXCESS_FAILURE_RATE * 0.7;
            self.answers = MIN_ANSWERS - 2;
        }
    }

    /// Records that no connection could be made, or that connections kept closing before the
    /// request could be sent.
    pub fn on_unreachable(&mut self, now: Millis) {
        let backoff_ms = MIN_EJECTION.0 << self.connect_failures.min(6);
        self.connect_failures = self.connect_failures.saturating_add(1);
        self.ejected_until = self.ejected_until.max(now + Millis(backoff_ms.min(MAX_EJECTION.0)));
    }
}
