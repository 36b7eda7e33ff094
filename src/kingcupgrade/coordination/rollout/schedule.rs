//! The stages of a rollout over time.

use super::{LAST_STEP, judge::Assessment};
use crate::{
    core::Millis,
    protocol::rollout::{RollbackReason, RolloutStage},
};

/// The fraction of a rollout's duration that is kept for the load test and for moving the traffic.
const PROMOTION_FRACTION: f64 = 0.4;
/// The least time kept for that: most streams end within it.
const MIN_PROMOTION: Millis = Millis(4_500);
/// The most time kept for that.
const MAX_PROMOTION: Millis = Millis(15_000);
/// The old version is kept at least this long after all senders have moved to the new one, if time
/// allows: some faults show only after a while under load.
const MIN_WATCH: Millis = Millis(1_500);
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
    /// The new version's answers in the current stage.
    pub answers_in_stage: u32,
    /// Whether those show that it is sound as a whole.
    pub is_sound_in_stage: bool,
    /// How long all senders have known the current stage; `None` if some may not.
    pub known_for: Option<Millis>,
    /// Whether all senders have ended their parts of the load test.
    pub is_load_tested: bool,
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

/// Returns how long before its deadline the load test of a rollout of this duration begins.
pub fn promotion_time(duration: Millis) -> Millis {
    let time = Millis((duration.0 as f64 * PROMOTION_FRACTION) as u64);
    time.clamp(MIN_PROMOTION, MAX_PROMOTION).min(Millis(duration.0 * 2 / 3))
}

/// Returns the next stage if it is due.
///
/// A version is tested and promoted as late as its duration allows, since the longer it is compared the more
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
        RolloutStage::LoadTest | RolloutStage::Promoting if situation.has_lost_capacity() => {
            Some(RolloutStage::RolledBack(RollbackReason::NoCapacity))
        }
        RolloutStage::LoadTest => next_of_load_test(situation),
        RolloutStage::Promoting => next_of_promotion(situation),
        RolloutStage::Complete | RolloutStage::RolledBack(_) => None,
    }
}

/// Returns the stage of a version that can't be shown to be sound in time.
fn not_shown_sound(situation: &Situation) -> RolloutStage {
    RolloutStage::RolledBack(match situation.assessment {
        Assessment::Doubtful(reason, _) => reason,
        _ if !situation.has_capacity() => RollbackReason::NoCapacity,
        _ => RollbackReason::NoEvidence,
    })
}

fn next_of_load_test(situation: &Situation) -> Option<RolloutStage> {
    if situation.is_load_tested && situation.is_sound_in_stage {
        return Some(RolloutStage::Promoting);
    }
    let is_late = situation.time_left() < latest_promotion(situation.duration);
    is_late.then(|| not_shown_sound(situation))
}

/// A version may turn bad only under the whole load, and is taken back only until the rollout is
/// complete: its answers to the whole traffic have to be sound as well.
fn next_of_promotion(situation: &Situation) -> Option<RolloutStage> {
    let is_watched = situation.known_for.is_some_and(|time| time >= MIN_WATCH);
    if is_watched && situation.is_old_idle && situation.assessment == Assessment::Sound {
        return Some(RolloutStage::Complete);
    }
    let is_due = situation.time_left() <= END_MARGIN;
    is_due.then(|| match situation.is_sound_in_stage {
        true => RolloutStage::Complete,
        false => not_shown_sound(situation),
    })
}

fn latest_promotion(duration: Millis) -> Millis {
    LATEST_PROMOTION.min(promotion_time(duration))
}

fn is_step_done(situation: &Situation, step: u8) -> bool {
    let before_promotion = situation.duration.since(promotion_time(situation.duration));
    let end = before_promotion.0 as f64 * STEP_FRACTION * f64::from(step + 1);
    let is_late = situation.elapsed.0 as f64 >= end;
    let answers = situation.answers_in_stage;
    answers >= ANSWERS_PER_STEP || (is_late && answers > 0)
}

fn next_of_canary(situation: &Situation, step: u8) -> Option<RolloutStage> {
    let left = situation.time_left();
    if left < latest_promotion(situation.duration) {
        return Some(not_shown_sound(situation));
    }
    if step < LAST_STEP {
        return is_step_done(situation, step).then_some(RolloutStage::Canary(step + 1));
    }
    let is_sound = situation.assessment == Assessment::Sound && situation.has_capacity();
    let is_time = left <= promotion_time(situation.duration);
    (is_sound && is_time).then_some(RolloutStage::LoadTest)
}
