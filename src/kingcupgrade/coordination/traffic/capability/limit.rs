//! The adaptive limit on the requests under way at an upstream that answers late before it is full.

use serde::Serialize;

use super::{PRIOR_ANSWERS, decaying_mean::DecayingMean};
use crate::core::Millis;

/// The shortest time between two steps: longer than it takes a step to show in the reports of all
/// entries and in answers to requests that were sent after it.
const STEP_INTERVAL: Millis = Millis(500);
/// The part of the load at which answers were late that is still sent. The load has to fall by more
/// than the single requests by which it is raised, else it stays where answers are late.
const REDUCED_PART: f64 = 0.8;
/// By how much the share of late answers has to exceed that of the other upstreams of the service
/// until the load is lowered. Below it, lowering the load would cost more answers than are late.
const MAX_EXCESS_LATE_SHARE: f64 = 1.0 - REDUCED_PART;
/// The time constant of that share: the answers since the step before the last one.
const LATE_TIME_CONSTANT: Millis = Millis(1_000);

/// The answers of one upstream or of all of a service, 0 if in time and 1 if late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LateAnswers(DecayingMean);

impl LateAnswers {
    fn add(&mut self, now: Millis, is_late: bool) {
        self.0.add(now, f64::from(u8::from(is_late)), 1.0, LATE_TIME_CONSTANT);
    }

    /// Returns the share of late answers without those of `part`, counting a few in time in
    /// addition: a single late one says little.
    fn share_without(&self, now: Millis, part: &LateAnswers) -> f64 {
        let of = |mean: &DecayingMean| {
            (mean.sum(now, LATE_TIME_CONSTANT), mean.weight(now, LATE_TIME_CONSTANT))
        };
        let ((late, all), (late_part, part)) = (of(&self.0), of(&part.0));
        (late - late_part).max(0.0) / ((all - part).max(0.0) + PRIOR_ANSWERS)
    }
}

/// Whether an answer came in time, and the load under which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the answer missed its target, though its upstream should have met it.
    pub is_late: bool,
    /// The requests of all entries under way at the upstream.
    pub running: u32,
    /// The slots of the upstream.
    pub slots: u32,
}

/// A change of the limit; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LimitStep {
    /// The previous limit.
    pub from: Option<u32>,
    /// The present limit.
    pub to: Option<u32>,
}

/// The limit on the requests of all entries under way at one upstream; at least one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadLimit {
    limit: Option<u32>,
    changed: Option<Millis>,
    late: LateAnswers,
    answered: Option<Millis>,
}

impl LoadLimit {
    /// Returns the limit, if there is one.
    pub(super) fn get(&self) -> Option<u32> {
        self.limit
    }

    /// Records an answer of the upstream, and changes the limit if that is due; `service` are the
    /// answers of all upstreams of its service.
    pub(super) fn on_answer(
        &mut self,
        now: Millis,
        outcome: Outcome,
        service: &mut LateAnswers,
    ) -> Option<LimitStep> {
        self.answered = Some(now);
        self.observe(now, outcome, service)
    }

    /// Records what the present slowdown of the upstream lets expect of its answers. While answers
    /// come in, they tell better whether the upstream is in time.
    pub(super) fn on_slowdown(
        &mut self,
        now: Millis,
        outcome: Outcome,
        service: &mut LateAnswers,
    ) -> Option<LimitStep> {
        let has_answers = self.answered.is_some_and(|at| now.since(at) < STEP_INTERVAL);
        if has_answers && !outcome.is_late {
            return None;
        }
        self.observe(now, outcome, service)
    }

    /// Lowers the limit if more answers than elsewhere were late while slots were free, and raises
    /// it by one after an answer in time at the limit. What makes answers late from everywhere is
    /// no fault of one upstream: this entry's processor may be short.
    fn observe(
        &mut self,
        now: Millis,
        outcome: Outcome,
        service: &mut LateAnswers,
    ) -> Option<LimitStep> {
        if outcome.running <= outcome.slots {
            self.late.add(now, outcome.is_late);
            service.add(now, outcome.is_late);
        }
        if self.changed.is_some_and(|changed| now.since(changed) < STEP_INTERVAL) {
            return None;
        }
        let own_share = self.late.share_without(now, &LateAnswers::default());
        let others_share = service.share_without(now, &self.late);
        let is_over = own_share > others_share + MAX_EXCESS_LATE_SHARE;
        let to = match (is_over, outcome.is_late) {
            (true, true) => self.lowered(outcome)?,
            (false, false) => self.raised(outcome)?,
            _ => return None,
        };
        let from = std::mem::replace(&mut self.limit, to);
        self.changed = Some(now);
        Some(LimitStep { from, to })
    }

    fn lowered(&self, outcome: Outcome) -> Option<Option<u32>> {
        let Outcome { running, slots, .. } = outcome;
        if running > slots {
            return None;
        }
        let before = self.limit.unwrap_or(slots);
        let reduced = (f64::from(running.min(before)) * REDUCED_PART) as u32;
        let limit = reduced.max(1);
        (limit < before).then_some(Some(limit))
    }

    fn raised(&self, outcome: Outcome) -> Option<Option<u32>> {
        let limit = self.limit.filter(|limit| outcome.running >= *limit)?;
        let raised = limit + 1;
        Some((raised < outcome.slots).then_some(raised))
    }
}
