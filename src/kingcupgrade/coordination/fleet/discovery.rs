//! Discovery: an instance announces itself to the control instances, and they answer with the
//! roster of the fleet.

use super::{
    FleetNode, FleetOutput,
    roster::{Announcement, RosterUpdate},
};
use crate::{
    core::{Instance, Millis},
    protocol::{
        Message,
        fleet::{FleetEntry, FleetMessage},
    },
};

/// The interval at which an instance announces itself.
const ANNOUNCE_INTERVAL: Millis = Millis(1_000);
/// The same interval while it knows no entry: when a whole fleet starts, most instances don't
/// accept connections yet.
const FIRST_ANNOUNCE_INTERVAL: Millis = Millis(200);

impl FleetNode {
    /// Announces this instance to all control instances.
    pub(super) fn announce(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        let started = *self.started.get_or_insert(unix_ms);
        let knows_nobody = self.roster.entries().is_empty();
        self.next_announcement =
            now + if knows_nobody { FIRST_ANNOUNCE_INTERVAL } else { ANNOUNCE_INTERVAL };
        for control in self.roster.controls() {
            if control == self.instance {
                continue;
            }
            let join = FleetMessage::Join {
                domain: self.settings.failure_domain.clone(),
                leaving: self.draining,
                known: self.roster.number_from(&control),
                started,
            };
            out.push(FleetOutput::Send(control, Message::Fleet(join)));
        }
    }

    /// Records the announcement of an instance. A control instance reports if it runs in a new
    /// process.
    pub(super) fn on_announcement(
        &mut self,
        now: Millis,
        from: &Instance,
        announcement: &Announcement,
        out: &mut Vec<FleetOutput>,
    ) {
        let restarts = self.roster.on_announcement(now, from, announcement);
        if let Some(restarts) = restarts.filter(|_| self.control.is_some()) {
            out.push(FleetOutput::Restarted { instance: from.clone(), restarts });
        }
    }

    /// Answers an announcement with the roster, or with its number alone if the instance knows it
    /// already.
    pub(super) fn answer_announcement(
        &mut self,
        unix_ms: u64,
        from: &Instance,
        known: u64,
        out: &mut Vec<FleetOutput>,
    ) {
        let mut controls = self.roster.controls();
        if let Some(control) = &self.control {
            let members = control.consensus().members().iter();
            controls.extend(members.map(|member| member.id.0.clone()));
        }
        controls.push(self.instance.clone());
        controls.sort();
        controls.dedup();
        let update = self.roster.next_update(unix_ms, controls);
        let answer = match update.number == known {
            true => FleetMessage::RosterUnchanged(known),
            false => {
                let RosterUpdate { number, entries, controls } = update.clone();
                FleetMessage::Roster { number, entries, controls }
            }
        };
        out.push(FleetOutput::Send(from.clone(), Message::Fleet(answer)));
    }

    pub(super) fn publish_entries(&mut self, out: &mut Vec<FleetOutput>) {
        let digest = self.roster.digest();
        if digest == self.published_digest {
            return;
        }
        self.published_digest = digest;
        let controls = self.roster.controls();
        self.client.set_instances(controls, self.neighbours());
        let fleet_entries = self.roster.entries();
        self.load_exchange.set_entries(
            &self.instance,
            &self.settings.failure_domain,
            &fleet_entries,
        );
        out.push(FleetOutput::Entries(self.roster.entries()));
    }

    pub(super) fn neighbours(&self) -> Vec<Instance> {
        let entries = self.roster.entries().into_iter().map(|FleetEntry(entry, _)| entry);
        entries.filter(|entry| *entry != self.instance).collect()
    }
}
