//! The rollouts of the services whose pools this instance dispatches.

use super::{Node, Output};
use crate::{
    core::{Instance, Millis, Service, settings::Role},
    protocol::{Message, record::RecordMessage},
};

/// How often what was seen of running rollouts is reported.
const REPORT_INTERVAL: Millis = Millis(300);

impl Node {
    /// Applies the rollouts of a service to its dispatcher and its static share. Nothing confirms
    /// the rollouts to the static share, so a canary gets nothing from it.
    pub(super) fn update_rollouts(&mut self, now: Millis, service: &Service) {
        let none = Default::default();
        let rollouts = self.view.rollouts().get(service).unwrap_or(&none);
        let confirmed = self.view.confirmed_age(now).map(|age| now.since(age));
        if let Some(dispatcher) = self.dispatchers.get_mut(service) {
            dispatcher.set_rollouts(now, confirmed, rollouts);
        }
        if let Some(share) = self.shares.get_mut(service) {
            share.set_rollouts(now, None, rollouts);
        }
    }

    /// Reports what the dispatchers have seen of running rollouts to the control instances.
    pub(super) fn report_rollouts(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.next_rollout_report {
            return;
        }
        self.next_rollout_report = now + REPORT_INTERVAL;
        let claimer = self.claimer;
        // A new dispatcher counts from zero, also within the same process.
        let reports = self.dispatchers.values().filter_map(|dispatcher| {
            dispatcher.rollout_report(now, claimer.wrapping_add(dispatcher.term()))
        });
        let reports: Vec<_> = reports.collect();
        let controls = self.settings.with_role(Role::Control);
        let controls: Vec<Instance> = controls.map(|peer| peer.instance.clone()).collect();
        for report in reports {
            for control in &controls {
                let message = RecordMessage::RolloutReport(report.clone());
                self.send(control.clone(), Message::Record(message), out);
            }
        }
    }
}
