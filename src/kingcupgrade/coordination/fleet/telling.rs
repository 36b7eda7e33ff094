//! Reports how an instance depends on the record, for the log.
//!
//! An entry that runs on an outdated configuration looks healthy. Which control instance it asked,
//! and when the configuration was last confirmed, explain its behaviour afterwards.

use super::{ConfigurationSource, FleetNode, FleetOutput, RecordStanding};
use crate::core::Millis;

impl FleetNode {
    /// Reports the source of the configuration and whether it is confirmed, if either changed.
    pub(super) fn tell_source(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        let source = ConfigurationSource {
            asks: self.client.source().cloned(),
            is_fresh: self.view.is_fresh(now),
            index: self.view.index(),
            confirmed_ms: self.view.confirmed_age(now),
        };
        let is_same = |told: &ConfigurationSource| {
            told.asks == source.asks && told.is_fresh == source.is_fresh
        };
        if !self.told_source.as_ref().is_some_and(is_same) {
            self.told_source = Some(source.clone());
            out.push(FleetOutput::SourceChanged(source));
        }
    }

    /// Reports this control instance's state in the consensus, if it changed.
    pub(super) fn tell_standing(&mut self, now: Millis, out: &mut Vec<FleetOutput>) {
        let Some(control) = &self.control else { return };
        let consensus = control.consensus();
        let standing = RecordStanding {
            term: consensus.term(),
            leader: consensus.leader().map(|leader| leader.0.clone()),
            confirms: control.age(now).is_some(),
            commit: consensus.commit(),
        };
        let is_same = |told: &RecordStanding| {
            (told.term, &told.leader, told.confirms)
                == (standing.term, &standing.leader, standing.confirms)
        };
        if !self.told_standing.as_ref().is_some_and(is_same) {
            self.told_standing = Some(standing.clone());
            out.push(FleetOutput::StandingChanged(standing));
        }
    }
}
