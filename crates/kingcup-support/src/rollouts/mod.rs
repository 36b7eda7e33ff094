//! Drawn rollouts: the decisions of control instances and entries, without network, on versions
//! that are good or bad in many ways.

mod draw;
mod random;
mod simulation;

use std::fmt;

use kingcupgrade::{
    coordination::rollout::judge::Comparison, core::Millis, protocol::rollout::RolloutStage,
};

pub use self::{
    draw::{Fault, FaultKind, Plan},
    simulation::{Ablation, run},
};

/// What became of a drawn rollout.
#[derive(Clone, Debug)]
pub struct RolloutResult {
    /// What was drawn.
    pub plan: Plan,
    /// The stage at the deadline.
    pub stage: RolloutStage,
    /// Requests sent to the service until the deadline.
    pub requests: u64,
    /// Those of them sent to the new version before it was judged good.
    pub exposed: u64,
    /// Those of them sent to the new version in all.
    pub exposed_in_all: u64,
    /// Whether the new version got as far as a load test.
    pub load_tested: bool,
    /// Bad answers of the new version before it was judged good.
    pub shown: u32,
    /// The time from the 50th bad answer to the last request sent to the new version; `None` if
    /// there were fewer.
    pub last_after_50: Option<Millis>,
    /// Requests under way at the old version at the deadline.
    pub cut_off: u32,
    /// The comparison that decided the last stage, or was open then.
    pub comparison: Option<Comparison>,
}

impl RolloutResult {
    /// Returns whether the version was judged good.
    pub fn is_promoted(&self) -> bool {
        matches!(self.stage, RolloutStage::Promoting | RolloutStage::Complete)
    }

    /// Returns the requests sent to the new version in all, as a part of those that a bad one may get.
    pub fn exposure_in_all(&self) -> f64 {
        let allowed = self.requests as f64 * draw::FRACTION + draw::SLACK;
        self.exposed_in_all as f64 / allowed
    }

    /// Returns whether the exposure before the judgement is within `fraction` and `slack`.
    pub fn is_within(&self, fraction: f64, slack: f64) -> bool {
        self.exposed as f64 <= self.requests as f64 * fraction + slack
    }
}

/// Sums over many drawn rollouts.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Good versions: all, complete, rolled back for their answers, for lack of evidence.
    pub good: [u32; 4],
    /// Bad versions: all, promoted although they gave enough bad answers to be found, promoted with
    /// fewer.
    pub bad: [u32; 3],
    /// The greatest exposure before the judgement, as a part of what is allowed.
    pub greatest_exposure: f64,
    /// The longest time from a 50th bad answer to the last request to the version.
    pub longest_after_50: Millis,
    /// Rollouts of bad versions with a 50th bad answer.
    pub with_50: u32,
    /// Bad versions that got as far as a load test, and those of them that got more requests in all
    /// than they may.
    pub load_tested: [u32; 2],
    /// The greatest exposure of a bad version in all, as a part of what is allowed.
    pub greatest_exposure_in_all: f64,
}

/// A bad version is one that could be found if it gave this many bad answers before it was judged.
const SHOWN: u32 = 15;

impl Summary {
    /// Adds a result.
    pub fn add(&mut self, result: &RolloutResult) {
        use kingcupgrade::protocol::rollout::RollbackReason::{NoCapacity, NoEvidence};
        let allowed = result.requests as f64 * draw::FRACTION + draw::SLACK;
        self.greatest_exposure = self.greatest_exposure.max(result.exposed as f64 / allowed);
        let is_promoted = result.is_promoted();
        if result.plan.fault.is_none() {
            self.good[0] += 1;
            match result.stage {
                _ if is_promoted => self.good[1] += 1,
                RolloutStage::RolledBack(NoEvidence | NoCapacity) => self.good[3] += 1,
                _ => self.good[2] += 1,
            }
            return;
        }
        self.bad[0] += 1;
        let in_all = result.exposure_in_all();
        self.greatest_exposure_in_all = self.greatest_exposure_in_all.max(in_all);
        self.load_tested[0] += u32::from(result.load_tested);
        self.load_tested[1] += u32::from(result.load_tested && in_all > 1.0);
        let is_hidden = result.shown < SHOWN;
        self.bad[1 + usize::from(is_hidden)] += u32::from(is_promoted);
        if let Some(time) = result.last_after_50 {
            self.with_50 += 1;
            self.longest_after_50 = self.longest_after_50.max(time);
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [good, complete, rejected, open] = self.good;
        writeln!(
            f,
            "good versions {good}: {complete} promoted, {rejected} rolled back for their answers, {open} for lack of evidence"
        )?;
        let [bad, promoted, hidden] = self.bad;
        writeln!(
            f,
            "bad versions {bad}: {promoted} promoted after {SHOWN} bad answers or more, {hidden} after fewer"
        )?;
        writeln!(
            f,
            "greatest exposure before the judgement: {:.2} of what is allowed",
            self.greatest_exposure
        )?;
        let [tested, beyond] = self.load_tested;
        writeln!(
            f,
            "bad versions in a load test: {tested}, {beyond} beyond their exposure in all, at most {:.2} of what is allowed",
            self.greatest_exposure_in_all
        )?;
        write!(
            f,
            "longest time from a 50th bad answer to the last request: {} (of {})",
            self.longest_after_50, self.with_50
        )
    }
}
