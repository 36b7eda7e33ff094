//! The capability of an upstream: how long work takes there compared with the mean of its service,
//! and how much load it takes before its answers are late.
//!
//! The lasting part is learned from answers of all entries and decays within seconds. The present
//! part follows from the slowdown that upstreams state on their answers, and is valid for a few
//! hundred milliseconds. Both are logarithms, so that twice as long and half as long cancel out,
//! and sums of them, so that the observations of several entries add up.

mod decaying_mean;
mod learning;
mod limit;
mod service;

pub use self::service::{CapabilityChange, CapabilityChanges};
use self::{decaying_mean::DecayingMean, limit::LoadLimit};
pub(super) use self::{
    limit::{LimitStep, Outcome},
    service::Capabilities,
};
use crate::{core::Millis, protocol::fleet::Observed};

/// The time constant of observed durations. A difference between machines shows within seconds,
/// while a slowdown for a fraction of a second makes up less than a tenth of the sum.
const DURATION_TIME_CONSTANT: Millis = Millis(10_000);
/// The weight of the service's mean against an upstream's own answers, in answers: a few answers
/// that took unusually long say little about a machine.
const PRIOR_ANSWERS: f64 = 4.0;
/// The largest logarithm of a duration over its expectation that one answer counts with: 4 times as
/// long or as short. One answer then moves a new estimate by less than a third.
const MAX_LOG_DURATION: f64 = 1.386;
/// The time constant of stated slowdowns, which change many times a second: a statement has lost
/// nine tenths of its weight after 350 ms.
const SLOWDOWN_TIME_CONSTANT: Millis = Millis(150);
/// The longest time that one statement stands for in the mean of the usual slowdown: slowdowns end
/// within this time.
const MAX_USUAL_SPAN: Millis = Millis(1_000);
/// The weight of the usual speed against statements, in statements: one that just arrived is taken
/// almost in full.
const PRIOR_STATEMENTS: f64 = 0.25;
/// The largest factor by which work can plausibly take longer or shorter. Beyond it, a figure is no
/// slowdown but an error in the header or in the clock, or the upstream stands still, which health
/// checks judge.
const MAX_PLAUSIBLE_FACTOR: f64 = 20.0;
/// How long others may still report what they observed of the previous incarnation: the validity of
/// a report, and the time until the list of upstreams has reached everyone.
const RESTART_SETTLES: Millis = Millis(3_000);
/// The step between two levels of the lasting speed by which upstreams are ranked, as a logarithm:
/// a tenth. Moving a prompt part for less costs more in reading it again than it saves.
const LEVEL_STEP: f64 = 0.1;

/// What other entries reported last.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Millis,
    /// The age of such a report when it arrives.
    age: Millis,
}

/// An estimate of the lasting duration of work.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// The mean logarithm of duration over expectation.
    mean: f64,
    /// The weight of the answers that it follows from.
    answers: f64,
}

impl Estimate {
    /// Returns the confidence in the estimate, against the mean of the service.
    fn confidence(&self) -> f64 {
        self.answers / (self.answers + PRIOR_ANSWERS)
    }
}

/// The capability of one incarnation of an upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Capability {
    /// Logarithms of duration over expectation, without the slowdown at that moment.
    durations: DecayingMean,
    /// Logarithms of the slowdowns that the upstream stated on this entry's answers.
    statements: DecayingMean,
    /// The same over a longer time, with those of other entries: the usual slowdown.
    usual: DecayingMean,
    /// When a slowdown was last counted there.
    usual_at: Option<Millis>,
    reported: Option<Reported>,
    /// Reports before this time may be about the previous incarnation.
    reports_from: Millis,
    /// The logarithm of the lasting duration of work relative to the mean of the service.
    lasting: f64,
    /// The same in steps, by which upstreams are ranked.
    level: f64,
    limit: LoadLimit,
    is_known: bool,
}

impl Capability {
    /// Creates the state of a new incarnation of a known upstream.
    pub(super) fn after_restart(now: Millis) -> Capability {
        Capability { reports_from: now + RESTART_SETTLES, ..Capability::default() }
    }

    /// Records a slowdown that the upstream stated on an answer.
    fn on_statement(&mut self, now: Millis, log_slowdown: f64) {
        self.is_known = true;
        self.statements.add(now, log_slowdown, 1.0, SLOWDOWN_TIME_CONSTANT);
        self.count_as_usual(now, log_slowdown);
    }

    /// Records the logarithm of an answer's duration over its expectation.
    fn on_duration(&mut self, now: Millis, log_ratio: f64, weight: f64, peers: &Observed) {
        self.is_known = true;
        let lasting = log_ratio - self.present(now, peers);
        let lasting = lasting.clamp(-MAX_LOG_DURATION, MAX_LOG_DURATION);
        self.durations.add(now, lasting, weight, DURATION_TIME_CONSTANT);
    }

    /// Records what another entry, or all others together, reported; `age` is the age of reports.
    pub(super) fn on_reported(&mut self, now: Millis, age: Millis, observed: &Observed) {
        if now < self.reports_from || observed.is_empty() {
            return;
        }
        self.is_known = true;
        if let Some((mean, _)) = statements_of(observed) {
            self.reported = Some(Reported { at: now, age });
            self.count_as_usual(now, mean);
        }
    }

    /// Counts a slowdown with the time since the previous one: statements that come close together
    /// are about the same moment, and must not make a short slowdown the usual one.
    fn count_as_usual(&mut self, now: Millis, log_slowdown: f64) {
        let previous = self.usual_at.replace(now).unwrap_or(now);
        let elapsed = now.since(previous).min(MAX_USUAL_SPAN);
        let weight = elapsed.0 as f64 / MAX_USUAL_SPAN.0 as f64;
        self.usual.add(now, log_slowdown, weight, DURATION_TIME_CONSTANT);
    }

    /// Returns this entry's observations, to be reported to the others.
    pub(super) fn observed(&self, now: Millis) -> Observed {
        if !self.is_known {
            return Observed::default();
        }
        let (answers, log_duration) = self.durations.to_wire(now, DURATION_TIME_CONSTANT);
        let (statements, log_slowdown) = self.statements.to_wire(now, SLOWDOWN_TIME_CONSTANT);
        Observed { answers, log_duration, statements, log_slowdown }
    }

    /// Estimates the lasting duration of work; `peers` are the observations of other entries.
    fn estimate(&self, now: Millis, peers: &Observed) -> Estimate {
        let own = self.durations.weight(now, DURATION_TIME_CONSTANT);
        let sum = self.durations.sum(now, DURATION_TIME_CONSTANT);
        let (others, mean) = match now >= self.reports_from && peers.answers > 0 {
            true => {
                let answers = f64::from(peers.answers) / 100.0;
                let mean = f64::from(peers.log_duration) / 1000.0 / answers;
                (answers, mean.clamp(-MAX_LOG_DURATION, MAX_LOG_DURATION))
            }
            false => (0.0, 0.0),
        };
        let answers = own + others;
        Estimate { mean: (sum + mean * others) / answers.max(f64::MIN_POSITIVE), answers }
    }

    /// Sets the lasting duration of work relative to the mean of the service, a logarithm; returns
    /// the previous level if that changes.
    fn set_lasting(&mut self, lasting: f64) -> Option<f64> {
        self.lasting = lasting;
        if (lasting - self.level).abs() < LEVEL_STEP {
            return None;
        }
        let level = (lasting / LEVEL_STEP).round() * LEVEL_STEP;
        Some(std::mem::replace(&mut self.level, level))
    }

    /// Returns the mean of the slowdowns stated at present and its weight.
    fn stated(&self, now: Millis, peers: &Observed) -> (f64, f64) {
        let own = self.statements.weight(now, SLOWDOWN_TIME_CONSTANT);
        let sum = self.statements.sum(now, SLOWDOWN_TIME_CONSTANT);
        let (others, mean) = match (self.reported, statements_of(peers)) {
            (Some(Reported { at, age }), Some((mean, weight))) => {
                let age = now.since(at).max(age).0 as f64 / SLOWDOWN_TIME_CONSTANT.0 as f64;
                (weight * (-age).exp(), mean)
            }
            _ => (0.0, 0.0),
        };
        let weight = own + others;
        ((sum + mean * others) / weight.max(f64::MIN_POSITIVE), weight)
    }

    /// Returns the logarithm of the present slowdown relative to the usual one.
    fn present(&self, now: Millis, peers: &Observed) -> f64 {
        let (mean, weight) = self.stated(now, peers);
        let usual = self.usual.sum(now, DURATION_TIME_CONSTANT)
            / (self.usual.weight(now, DURATION_TIME_CONSTANT) + PRIOR_ANSWERS);
        (mean - usual) * weight / (weight + PRIOR_STATEMENTS)
    }

    /// Returns how long work takes at present, where 1 is the mean of the service.
    pub(super) fn duration_factor(&self, now: Millis, peers: &Observed) -> f64 {
        if !self.is_known {
            return 1.0;
        }
        (self.lasting + self.present(now, peers)).exp()
    }

    /// Returns the weight of the upstream in the ranking for a prompt part: its speed in steps.
    pub(super) fn rank_weight(&self) -> f64 {
        (-self.level).exp()
    }

    /// Returns the weight of the answers of all entries that the lasting part follows from.
    pub(super) fn answers(&self, now: Millis, peers: &Observed) -> f64 {
        self.estimate(now, peers).answers
    }

    /// Returns the limit on requests under way, if the upstream was found to answer late.
    pub(super) fn load_limit(&self) -> Option<u32> {
        self.limit.get()
    }

    /// Returns this entry's part of the limit, at least one request; `None` if there is no limit.
    /// The limit is divided in proportion to the answers that each entry got.
    pub(super) fn limit_share(&self, now: Millis, peers: &Observed, entries: usize) -> Option<u32> {
        let limit = self.limit.get()?;
        let own = self.durations.weight(now, DURATION_TIME_CONSTANT);
        let all = own + f64::from(peers.answers) / 100.0;
        let part = (own + PRIOR_ANSWERS / entries.max(1) as f64) / (all + PRIOR_ANSWERS);
        Some(((f64::from(limit) * part).ceil() as u32).clamp(1, limit))
    }
}

/// Returns the logarithm of a factor, or `None` if the factor is absurd.
fn plausible_log(factor: f64) -> Option<f64> {
    let range = 1.0 / MAX_PLAUSIBLE_FACTOR..=MAX_PLAUSIBLE_FACTOR;
    range.contains(&factor).then(|| factor.ln())
}

/// Returns the mean logarithm of the slowdowns that other entries reported, and its weight.
fn statements_of(observed: &Observed) -> Option<(f64, f64)> {
    if observed.statements == 0 {
        return None;
    }
    let weight = f64::from(observed.statements) / 100.0;
    let mean = f64::from(observed.log_slowdown) / 1000.0 / weight;
    let limit = MAX_PLAUSIBLE_FACTOR.ln();
    Some((mean.clamp(-limit, limit), weight))
}
