//! The stages of a rollout over time.

use super::{LAST_STEP, judge::Assessment};
use crate::{
    core::Millis,
    protocol::rollout::{RollbackReason, RolloutStage},
};

/// The fraction of a rollout's duration that is kept for moving the traffic.
const PROMOTION_FRACTION: f64 = 0.35;
/// The least time kept for that: most streams end within it.
const MIN_PROMOTION: Millis = Millis(3_000);
/// The most time kept for that.
const MAX_PROMOTION: Millis = Millis(15_000);
/// A promotion begins at least this long before the deadline, or not at all.
const LATEST_PROMOTION: Millis = Millis(1_500);
/// A rollout ends this long before its deadline: the record has to commit it, and operators to read
/// it.
const END_MARGIN: Millis = Millis(800);
/// The answers of the new version after which a step is left.
const ANSWERS_PER_STEP: u32 = 20;
/// The fraction of the time before the promotion after which each step is left with fewer answers:
/// where requests are few, the last step is needed to have enough of them.
const STEP_FRACTION: f64 = 0.2;
/// The fraction of the old version's slots that the new one needs before it gets all requests.
const MIN_CAPACITY: f64 = 0.8;
/// With less than this fraction while it is promoted, it is rolled back.
const LOST_CAPACITY: f64 = 0.5;

/// What is known of a rollout when its stage is decided.
#[derive(Clone, Debug)]
pub struct Situation {
    /// The current stage.
    pub stage: RolloutStage,
    /// The time since the order.
    pub elapsed: Millis,
    /// The time within which the rollout is to end.
    pub duration: Millis,
    /// The judgement of the new version.
    pub assessment: Assessment,
    /// The new version's answers in the current step.
    pub answers_in_step: u32,
    /// The slots of ready upstreams of the old version.
    pub old_slots: u32,
    /// The slots of ready upstreams of the new version.
    pub new_slots: u32,
    /// Whether the new version was in use before the order.
    pub is_known_version: bool,
    /// Whether no request is under way at upstreams of the old version, at any entry.
    pub is_old_idle: bool,
}

impl Situation {
    fn time_left(&self) -> Millis {
        self.duration.since(self.elapsed)
    }

    fn has_lost_capacity(&self) -> bool {
        f64::from(self.new_slots) < LOST_CAPACITY * f64::from(self.old_slots)
    }

    fn has_capacity(&self) -> bool {
        self.new_slots > 0 && f64::from(self.new_slots) >= MIN_CAPACITY * f64::from(self.old_slots)
    }
}

/// Returns how long before its deadline a rollout of this duration is promoted.
pub fn promotion_time(duration: Millis) -> Millis {
    let time = Millis((duration.0 as f64 * PROMOTION_FRACTION) as u64);
    time.clamp(MIN_PROMOTION, MAX_PROMOTION).min(Millis(duration.0 * 2 / 3))
}

/// Returns the next stage if it is due.
///
/// A version is promoted as late as its duration allows, since the longer it is compared the more
/// of those that turn bad later are found.
pub fn next_stage(situation: &Situation) -> Option<RolloutStage> {
    if !situation.stage.is_running() {
        return None;
    }
    if situation.is_known_version {
        return Some(RolloutStage::Complete);
    }
    if let Assessment::Degraded(reason, _) = &situation.assessment {
        return Some(RolloutStage::RolledBack(*reason));
    }
    match situation.stage {
        RolloutStage::Canary(step) => next_of_canary(situation, step),
        // Once the rollout is complete, the old version can't take the traffic back.
        RolloutStage::Promoting if situation.has_lost_capacity() => {
            Some(RolloutStage::RolledBack(RollbackReason::NoCapacity))
        }
        RolloutStage::Promoting => {
            // A version may turn bad just before it is promoted, and is taken back only until the
            // rollout is complete: its answers to the whole traffic have to be sound as well.
            let is_done = situation.is_old_idle && situation.assessment == Assessment::Sound;
            let is_due = is_done || situation.time_left() <= END_MARGIN;
            let stage = match situation.assessment {
                Assessment::Doubtful(reason, _) => RolloutStage::RolledBack(reason),
                _ => RolloutStage::Complete,
            };
            is_due.then_some(stage)
        }
        RolloutStage::Complete | RolloutStage::RolledBack(_) => None,
    }
}

fn is_step_done(situation: &Situation, step: u8) -> bool {
    let before_promotion = situation.duration.since(promotion_time(situation.duration));
    let end = before_promotion.0 as f64 * STEP_FRACTION * f64::from(step + 1);
    let is_late = situation.elapsed.0 as f64 >= end;
    let answers = situation.answers_in_step;
    answers >= ANSWERS_PER_STEP || (is_late && answers > 0)
}

fn next_of_canary(situation: &Situation, step: u8) -> Option<RolloutStage> {
    let left = situation.time_left();
    if left < LATEST_PROMOTION.min(promotion_time(situation.duration)) {
        let reason = match situation.has_capacity() {
            true => RollbackReason::NoEvidence,
            false => RollbackReason::NoCapacity,
        };
        return Some(RolloutStage::RolledBack(reason));
    }
    if step < LAST_STEP {
        return is_step_done(situation, step).then_some(RolloutStage::Canary(step + 1));
    }
    let is_sound = situation.assessment == Assessment::Sound && situation.has_capacity();
    let is_time = left <= promotion_time(situation.duration);
    (is_sound && is_time).then_some(RolloutStage::Promoting)
}
