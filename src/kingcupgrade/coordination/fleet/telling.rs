//! What an instance tells of its dependence on the record, for whoever reads the logs later.
//!
//! An entry that goes by an old configuration looks healthy. Only whom it asked, and how old that
//! one's word was, explain it afterwards.

use super::{ConfigurationSource, FleetNode, FleetOutput, RecordStanding};
use crate::core::Millis;

impl FleetNode {
    /// Tells whom this instance asks and whether its configuration is confirmed, on a change.
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

    /// Tells the part of this control instance in the record, on a change.
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
