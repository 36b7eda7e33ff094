//! The adaptive limit on the requests under way at an upstream that answers late before it is full.

use serde::Serialize;

use crate::core::Millis;

/// The shortest time between two steps: longer than it takes a step to show in the reports of all
/// entries and in answers to requests that were sent after it.
const STEP_INTERVAL: Millis = Millis(500);
/// The part of the load at which answers were late that is still sent. The load has to fall by more
/// than the single requests by which it is raised, else it stays where answers are late.
const REDUCED_PART: f64 = 0.8;

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
}

impl LoadLimit {
    /// Returns the limit, if there is one.
    pub(super) fn get(&self) -> Option<u32> {
        self.limit
    }

    /// Lowers the limit after a late answer while slots were free, and raises it by one after an
    /// answer in time at the limit.
    pub(super) fn observe(&mut self, now: Millis, outcome: Outcome) -> Option<LimitStep> {
        if self.changed.is_some_and(|changed| now.since(changed) < STEP_INTERVAL) {
            return None;
        }
        let to = match outcome.is_late {
            true => self.lowered(outcome)?,
            false => self.raised(outcome)?,
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
