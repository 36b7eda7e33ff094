//! What one entry may send to a service without engines, and how long requests wait for that.

use super::shortage::PlainSums;
use crate::{coordination::traffic::DecayingSum, core::Millis};

/// The time constant of the sums that entries exchange. A sum is the rate per second of what it
/// counts.
const SUM_TIME_CONSTANT: Millis = Millis(1_000);
/// The limit of requests that may be sent at once after a pause. With less than two, an entry that
/// may send a fraction of its requests would lose what remains of each one.
const MAX_SAVED: f64 = 2.0;
/// The requests that are sent after a shortage while some still wait, as a fraction of those that
/// callers make. If all that wait at all entries were sent at once, the service would be short
/// again.
const DRAIN_FRACTION: f64 = 1.5;
/// Requests are assumed to wait if one was held back within this time. Waiting requests are tried
/// several times within it.
const DRAIN_TTL: Millis = Millis(50);
/// The weight of one answer in the moving averages of the duration and its deviation.
const DURATION_SAMPLE_WEIGHT: f64 = 0.1;

/// The duration of a service's requests, from sending to the end of the answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DurationEstimate {
    /// Zero until the first answer.
    pub(super) mean_ms: f64,
    deviation_ms: f64,
}

impl DurationEstimate {
    fn add(&mut self, duration: Millis) {
        let duration = duration.0 as f64;
        if self.mean_ms == 0.0 {
            *self = DurationEstimate { mean_ms: duration, deviation_ms: 0.0 };
        }
        let difference = duration - self.mean_ms;
        self.mean_ms += DURATION_SAMPLE_WEIGHT * difference;
        self.deviation_ms += DURATION_SAMPLE_WEIGHT * (difference.abs() - self.deviation_ms);
    }

    /// Returns a duration that most requests don't exceed; 0 until the first answer.
    pub(super) fn usual_ms(&self) -> f64 {
        self.mean_ms + self.deviation_ms
    }
}

/// The requests that an entry may send while a service is short.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ration {
    /// The fraction of the requests that may be sent.
    pub(super) fraction: f64,
    /// The requests that may be sent at once.
    saved: f64,
    /// The sum of requests up to which `saved` has been updated.
    counted: f64,
}

/// The state of one service without engines at this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct PlainService {
    requested: DecayingSum,
    completed: DecayingSum,
    turned_away: DecayingSum,
    /// The sums of the other entries, as last reported.
    pub(super) others: PlainSums,
    /// When an upstream last reported that requests wait there.
    pub(super) waiting_at: Option<Millis>,
    pub(super) duration: DurationEstimate,
    pub(super) decided_at: Option<Millis>,
    /// When a request was last held back.
    denied_at: Option<Millis>,
    /// The requests of all entries under way for each slot at the last decision; 0 if unknown.
    pub(super) mean_load: f64,
    /// Whether the service was short of capacity at the last decision.
    pub(super) is_short: bool,
    /// `None` while nothing is limited.
    pub(super) ration: Option<Ration>,
}

impl PlainService {
    /// Returns the sums of this entry's requests.
    pub(super) fn own(&self, now: Millis) -> PlainSums {
        PlainSums {
            requested: self.requested.get(now, SUM_TIME_CONSTANT),
            completed: self.completed.get(now, SUM_TIME_CONSTANT),
            turned_away: self.turned_away.get(now, SUM_TIME_CONSTANT),
        }
    }

    /// Counts a caller's request.
    pub(super) fn on_requested(&mut self, now: Millis) {
        self.update_saved(now);
        self.requested.add(now, 1.0, SUM_TIME_CONSTANT);
        if let Some(ration) = &mut self.ration {
            ration.counted += 1.0;
        }
    }

    /// Counts an answer to a request that took `duration`.
    pub(super) fn on_answered(&mut self, now: Millis, duration: Millis) {
        self.completed.add(now, 1.0, SUM_TIME_CONSTANT);
        self.duration.add(duration);
    }

    /// Counts a request that ran and failed. It has occupied a slot, and has left it.
    pub(super) fn on_failed(&mut self, now: Millis) {
        self.completed.add(now, 1.0, SUM_TIME_CONSTANT);
    }

    /// Counts a request that an upstream turned away.
    pub(super) fn on_turned_away(&mut self, now: Millis) {
        self.turned_away.add(now, 1.0, SUM_TIME_CONSTANT);
    }

    /// Adds what may be sent since the last update.
    ///
    /// The rate is the fraction times the decaying sum of the requests, and the integral of that
    /// sum over a time is what it has decayed by. So each request adds the fraction in the second
    /// after it, and an entry without requests saves up nothing.
    fn update_saved(&mut self, now: Millis) {
        let requested = self.requested.get(now, SUM_TIME_CONSTANT);
        if let Some(ration) = &mut self.ration {
            let decayed = (ration.counted - requested).max(0.0);
            ration.saved = (ration.saved + ration.fraction * decayed).min(MAX_SAVED);
            ration.counted = requested;
        }
    }

    /// Applies a decision; `phase`, from 0 up to 1, differs among entries. When the service becomes
    /// short, the entries at which one more request may be sent at once are the fraction that is
    /// decided, so that the service gets neither nothing nor everything at that moment.
    pub(super) fn decide(&mut self, now: Millis, fraction: Option<f64>, phase: f64) {
        self.decided_at = Some(now);
        self.update_saved(now);
        let is_draining = self.denied_at.is_some_and(|at| now.since(at) <= DRAIN_TTL);
        let fraction =
            fraction.or((self.ration.is_some() && is_draining).then_some(DRAIN_FRACTION));
        let Some(fraction) = fraction else {
            self.ration = None;
            return;
        };
        let counted = self.requested.get(now, SUM_TIME_CONSTANT);
        let start = Ration { fraction, saved: phase + fraction, counted };
        self.ration.get_or_insert(start).fraction = fraction;
    }

    /// Takes one request from what may be sent, if it suffices for it and the `ahead` requests that
    /// go before it; returns whether it did.
    pub(super) fn take(&mut self, now: Millis, ahead: usize) -> bool {
        self.update_saved(now);
        let Some(ration) = &mut self.ration else { return true };
        if ration.saved < ahead as f64 + 1.0 {
            self.denied_at = Some(now);
            return false;
        }
        ration.saved -= 1.0;
        true
    }

    /// Returns the rate at which this entry may send, in requests per second.
    pub(super) fn rate(&self, now: Millis) -> Option<f64> {
        let requested = self.requested.get(now, SUM_TIME_CONSTANT);
        self.ration.map(|ration| ration.fraction * requested)
    }

    /// Returns the time until a request can be sent before which `ahead` others go.
    pub(super) fn time_to_room(&self, now: Millis, ahead: usize) -> Millis {
        let (Some(ration), Some(rate)) = (self.ration, self.rate(now)) else {
            return Millis::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - ration.saved).max(0.0);
        Millis((missing / rate.max(f64::MIN_POSITIVE) * 1_000.0) as u64)
    }
}
