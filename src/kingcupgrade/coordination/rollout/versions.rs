//! Which versions of a service an entry may use.
//!
//! Upstreams of a new version are listed soon after the order of a rollout, and an entry may see
//! them before it hears of the order. It would send them as many requests as all others. So a
//! version that appears beside others gets nothing until the entry has confirmed, some time later,
//! that no rollout to it was ordered. Such a version belongs to a plain release.

use std::collections::BTreeMap;

use crate::{
    core::{Millis, Version},
    protocol::rollout::{Rollout, RolloutStage},
};

/// How long after a version appeared it must be confirmed that no rollout to it was ordered.
const HOLD: Millis = Millis(6_000);

/// How the upstreams of a version are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// They get requests like all others.
    Serving,
    /// They get the requests that an exposure limit allows.
    Canary,
    /// They get no new requests.
    Unused,
}

/// What an entry knows of a version by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// It appeared at this time, and a rollout to it may have been ordered.
    New(Millis),
    /// It was in use before any rollout to it.
    InUse,
    /// Another version has replaced it.
    Replaced,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    known: BTreeMap<Version, Knowledge>,
    /// The rollouts of the service, the latest last.
    rollouts: BTreeMap<u64, Rollout>,
}

impl ServiceVersions {
    /// Applies the rollouts of the service. The same ones again have no effect.
    pub fn set_rollouts(&mut self, rollouts: &BTreeMap<u64, Rollout>) {
        if self.rollouts == *rollouts {
            return;
        }
        self.rollouts.clone_from(rollouts);
        let is_complete = |rollout: &&Rollout| rollout.stage == RolloutStage::Complete;
        let Some(complete) = self.rollouts.values().rev().find(is_complete) else { return };
        let to = &complete.order.to;
        let others = self.known.iter_mut().filter(|(version, _)| *version != to);
        for (_, knowledge) in others.filter(|(_, knowledge)| **knowledge == Knowledge::InUse) {
            *knowledge = Knowledge::Replaced;
        }
    }

    /// Returns the rollout that has not ended.
    pub fn running(&self) -> Option<&Rollout> {
        self.rollouts.values().next_back().filter(|rollout| rollout.stage.is_running())
    }

    /// Returns whether the version that a running rollout moves to was in use before.
    pub fn is_known_version(&self) -> bool {
        let to = self.running().and_then(|rollout| self.known.get(&rollout.order.to));
        to == Some(&Knowledge::InUse)
    }

    /// Records a listed version, and the start of an upstream that runs it.
    ///
    /// Of the versions that the entry finds when it starts, the one whose upstreams have run the
    /// longest was in use before.
    pub fn on_listed(&mut self, now: Millis, listed: &BTreeMap<&Version, u64>) {
        let oldest = match self.known.is_empty() {
            true => self.oldest(listed),
            false => None,
        };
        for version in listed.keys() {
            if !self.known.contains_key(*version) {
                let is_in_use = oldest.as_ref() == Some(*version);
                let knowledge = if is_in_use { Knowledge::InUse } else { Knowledge::New(now) };
                self.known.insert((*version).clone(), knowledge);
            }
        }
    }

    fn oldest(&self, listed: &BTreeMap<&Version, u64>) -> Option<Version> {
        let named = |version: &Version| self.named(version).is_some();
        let unnamed = listed.iter().filter(|(version, _)| !named(version));
        unnamed.min_by_key(|(_, started)| **started).map(|(version, _)| (*version).clone())
    }

    /// Records that all rollouts ordered until `at` are known.
    pub fn on_confirmed(&mut self, at: Millis) {
        let rollouts = &self.rollouts;
        for (version, knowledge) in &mut self.known {
            let is_ordered = rollouts.values().any(|rollout| rollout.order.to == *version);
            if let Knowledge::New(since) = *knowledge
                && at.since(since) >= HOLD
                && !is_ordered
            {
                *knowledge = Knowledge::InUse;
            }
        }
    }

    /// Returns how upstreams of a version are used; those of an unknown version as all others.
    pub fn use_of(&self, version: Option<&Version>) -> Use {
        let Some(version) = version else { return Use::Serving };
        let knowledge = self.known.get(version);
        let Some(rollout) = self.named(version) else {
            let is_in_use = knowledge.is_none_or(|knowledge| *knowledge == Knowledge::InUse);
            let is_serving = is_in_use && !self.is_promoting();
            return if is_serving { Use::Serving } else { Use::Unused };
        };
        match rollout.stage {
            RolloutStage::Canary(_) if knowledge == Some(&Knowledge::InUse) => Use::Serving,
            RolloutStage::Canary(_) | RolloutStage::LoadTest => Use::Canary,
            RolloutStage::Promoting | RolloutStage::Complete => match self.is_replaced(rollout) {
                true => Use::Unused,
                false => Use::Serving,
            },
            RolloutStage::RolledBack(_) => Use::Unused,
        }
    }

    /// Returns whether a version was found bad: it gets nothing, not even the rest of a stream.
    pub fn is_rolled_back(&self, version: Option<&Version>) -> bool {
        let rollout = version.and_then(|version| self.named(version));
        rollout.is_some_and(|rollout| matches!(rollout.stage, RolloutStage::RolledBack(_)))
    }

    fn is_promoting(&self) -> bool {
        self.running().is_some_and(|rollout| rollout.stage == RolloutStage::Promoting)
    }

    /// Returns whether a later rollout has moved the traffic elsewhere.
    fn is_replaced(&self, rollout: &Rollout) -> bool {
        let later = self.rollouts.range(rollout.id + 1..).map(|(_, later)| later.stage);
        later
            .into_iter()
            .any(|stage| matches!(stage, RolloutStage::Promoting | RolloutStage::Complete))
    }

    /// Returns the last rollout to a version.
    fn named(&self, version: &Version) -> Option<&Rollout> {
        self.rollouts.values().rev().find(|rollout| rollout.order.to == *version)
    }
}
