//! The rollouts in the record, by service.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    core::{Code, Millis, Service, code::CodedError},
    protocol::rollout::{Rollout, RolloutOrder, RolloutStage},
};

/// The number of rollouts kept of each service. Their versions stay out of use, and resends of
/// their orders have no effect.
const MAX_ROLLOUTS: usize = 20;

/// The rollouts of all services, the latest of each last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rollouts(BTreeMap<Service, VecDeque<Rollout>>);

impl Rollouts {
    /// Returns the last rollout of a service.
    pub fn last(&self, service: &Service) -> Option<&Rollout> {
        self.0.get(service)?.back()
    }

    /// Returns whether an order with the same content was accepted before.
    pub fn contains(&self, order: &RolloutOrder) -> bool {
        let rollouts = self.0.get(&order.service);
        rollouts.into_iter().flatten().any(|rollout| rollout.order == *order)
    }

    /// Returns the rollouts that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.0.values().filter_map(VecDeque::back).filter(|rollout| rollout.stage.is_running())
    }

    /// Returns the rollouts that changed after the index `have`.
    pub fn since(&self, have: u64) -> Vec<Rollout> {
        let all = self.0.values().flatten();
        all.filter(|rollout| rollout.index > have).cloned().collect()
    }

    /// Begins a rollout at `index`, by the time of the record.
    ///
    /// # Errors
    ///
    /// Returns [`Code::RolloutRefused`] if another rollout of the service is running, or the version
    /// is in use or was rolled back.
    pub fn start(
        &mut self,
        index: u64,
        time: Millis,
        order: &RolloutOrder,
    ) -> Result<(), CodedError> {
        let rollouts = self.0.entry(order.service.clone()).or_default();
        if let Some(reason) = refusal(rollouts, order) {
            return Err(CodedError::new(Code::RolloutRefused, reason));
        }
        rollouts.push_back(Rollout {
            order: order.clone(),
            id: index,
            started_unix_ms: time.0,
            stage: RolloutStage::Canary(0),
            index,
        });
        if rollouts.len() > MAX_ROLLOUTS {
            rollouts.pop_front();
        }
        Ok(())
    }

    /// Changes the stage of a rollout; returns whether it was in the stage `from`.
    pub fn advance(
        &mut self,
        index: u64,
        service: &Service,
        id: u64,
        from: RolloutStage,
        to: RolloutStage,
    ) -> bool {
        let last = self.0.get_mut(service).and_then(VecDeque::back_mut);
        let Some(rollout) = last.filter(|last| last.id == id && last.stage == from) else {
            return false;
        };
        rollout.stage = to;
        rollout.index = index;
        true
    }

    /// Sets the index of all rollouts.
    pub fn restamp(&mut self, index: u64) {
        self.0.values_mut().flatten().for_each(|rollout| rollout.index = index);
    }
}

/// Returns why an order can't begin a rollout after those of its service so far.
fn refusal(rollouts: &VecDeque<Rollout>, order: &RolloutOrder) -> Option<String> {
    let to = &order.to;
    let last = rollouts.back()?;
    if last.stage.is_running() {
        return Some(format!("a rollout to {} is running", last.order.to));
    }
    let completed = rollouts.iter().rev().find(|known| known.stage == RolloutStage::Complete);
    if completed.is_some_and(|known| known.order.to == *to) {
        return Some(format!("{to} is in use"));
    }
    let was_rolled_back = |known: &Rollout| {
        known.order.to == *to && matches!(known.stage, RolloutStage::RolledBack(_))
    };
    if rollouts.iter().any(was_rolled_back) {
        return Some(format!(
            "{to} was rolled back; a version needs another name to be tried again"
        ));
    }
    None
}
