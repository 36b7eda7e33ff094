//! Reports how an instance depends on the record, for the log.
//!
//! An entry that runs on an outdated configuration looks healthy. Which control instance it asked,
//! and when the configuration was last confirmed, explain its behaviour afterwards.

use super::{ConfigurationSource, FleetNode, FleetOutput, RecordStatus};
use crate::core::Millis;

impl FleetNode {
    /// Reports the source of the configuration and whether it is confirmed, if either changed.
    pub(super) fn report_source(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        let source = ConfigurationSource {
            asks: self.client.source().cloned(),
            is_fresh: self.view.is_fresh(now),
            index: self.view.index(),
            confirmed_ms: self.view.confirmed_age(now),
        };
        let is_unchanged = |last: &ConfigurationSource| {
            last.asks == source.asks && last.is_fresh == source.is_fresh
        };
        if !self.reported_source.as_ref().is_some_and(is_unchanged) {
            self.reported_source = Some(source.clone());
            out.push(FleetOutput::SourceChanged(source));
        }
    }

    /// Reports this control instance's state in the consensus, if it changed.
    pub(super) fn report_status(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        let Some(control) = &self.control else { return };
        let consensus = control.consensus();
        let status = RecordStatus {
            term: consensus.term(),
            leader: consensus.leader().map(|leader| leader.0.clone()),
            confirms: control.age(now).is_some(),
            commit: consensus.commit(),
        };
        let is_unchanged = |last: &RecordStatus| {
            (last.term, &last.leader, last.confirms)
                == (status.term, &status.leader, status.confirms)
        };
        if !self.reported_status.as_ref().is_some_and(is_unchanged) {
            self.reported_status = Some(status.clone());
            out.push(FleetOutput::RecordStatusChanged(status));
        }
    }
}
