//! Finding the others: an instance says that it is there, and is told who else is.

use super::{
    FleetNode, FleetOutput,
    roster::{Joined, Told},
};
use crate::{
    core::{Instance, Millis},
    protocol::{
        Message,
        fleet::{FleetEntry, FleetMessage},
    },
};

/// How often an instance says that it is there.
const JOIN_INTERVAL: Millis = Millis(1_000);
/// How often it says so while it knows nobody: at a common start most of the others don't listen
/// yet.
const FIRST_JOIN_INTERVAL: Millis = Millis(200);

impl FleetNode {
    /// Says to all control instances that this instance is there.
    pub(super) fn join(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<FleetOutput>) {
        let started = *self.started.get_or_insert(unix_ms);
        let is_alone = self.roster.entries().is_empty();
        self.next_join = now + if is_alone { FIRST_JOIN_INTERVAL } else { JOIN_INTERVAL };
        for control in self.roster.controls() {
            if control == self.instance {
                continue;
            }
            let join = FleetMessage::Join {
                domain: self.settings.failure_domain.clone(),
                leaving: self.draining,
                known: self.roster.number_told_by(&control),
                started,
            };
            out.push(FleetOutput::Send(control, Message::Fleet(join)));
        }
    }

    /// Takes in that an instance is there; a control instance tells if it is another process.
    pub(super) fn on_join(
        &mut self,
        now: Millis,
        from: &Instance,
        join: &Joined,
        out: &mut Vec<FleetOutput>,
    ) {
        let restarts = self.roster.on_join(now, from, join);
        if let Some(restarts) = restarts.filter(|_| self.control.is_some()) {
            out.push(FleetOutput::Restarted { instance: from.clone(), restarts });
        }
    }

    /// Tells who is there, to an instance that knows the roster of a number.
    pub(super) fn answer_join(
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
        let told = self.roster.tell(unix_ms, controls);
        let answer = match told.number == known {
            true => FleetMessage::RosterUnchanged(known),
            false => {
                let Told { number, entries, controls } = told.clone();
                FleetMessage::Roster { number, entries, controls }
            }
        };
        out.push(FleetOutput::Send(from.clone(), Message::Fleet(answer)));
    }

    pub(super) fn tell_entries(&mut self, out: &mut Vec<FleetOutput>) {
        let digest = self.roster.digest();
        if digest == self.told_digest {
            return;
        }
        self.told_digest = digest;
        let controls = self.roster.controls();
        self.client.set_instances(controls, self.neighbours());
        let residents = self.roster.entries();
        self.totals.set_residents(&self.instance, &self.settings.failure_domain, &residents);
        out.push(FleetOutput::Entries(self.roster.entries()));
    }

    pub(super) fn neighbours(&self) -> Vec<Instance> {
        let entries = self.roster.entries().into_iter().map(|FleetEntry(entry, _)| entry);
        entries.filter(|entry| *entry != self.instance).collect()
    }
}
