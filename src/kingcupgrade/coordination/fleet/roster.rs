//! The members of the fleet, as one instance knows them.
//!
//! All instances announce themselves to the control instances, which send out the roster. An
//! instance that no control instance reaches keeps its last roster: if it forgot the other entries,
//! it would count the capacity that they use as its own.
//!
//! Every instance announces itself each second. A control instance answers with the whole roster
//! only if it has changed: sent each time, rosters would be most of the traffic between the
//! instances of a fleet of hundreds.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Instance, Millis, fleet::instance_role, settings::Role},
    protocol::fleet::FleetEntry,
};

/// An entry that was not heard from for this long is dropped: several announcements in a row were
/// lost.
const ENTRY_TTL: Millis = Millis(4_000);
/// A control instance is dropped only after this long, since others report it as well.
const CONTROL_TTL: Millis = Millis(20_000);
/// A process is remembered for this long after it was last heard from, far longer than a restart
/// takes.
const PROCESS_TTL: Millis = Millis(600_000);

/// The roster that one control instance sends.
#[derive(Clone, Debug, Default)]
pub struct RosterUpdate {
    /// Its number among the rosters of the control instance; 0 if there is none.
    pub number: u64,
    /// The entries that the control instance recently heard from.
    pub entries: Vec<FleetEntry>,
    /// The control instances that the control instance knows.
    pub controls: Vec<Instance>,
}

/// What an instance announces of itself.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The wall clock at the start of its process, in milliseconds since 1970.
    pub started: u64,
}

/// The last known process of an instance.
#[derive(Clone, Copy, Debug)]
struct Process {
    started: u64,
    restarts: u32,
    last_heard: Millis,
}

/// The known instances of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<Instance, (FailureDomain, Millis)>,
    controls: BTreeMap<Instance, Millis>,
    seeds: BTreeSet<Instance>,
    /// When a control instance last sent or confirmed a roster.
    last_update: Option<Millis>,
    /// The last roster that each control instance sent.
    received: BTreeMap<Instance, RosterUpdate>,
    /// The last roster that this control instance sent.
    published: RosterUpdate,
    /// The last known processes, also of instances that were dropped from the roster.
    processes: BTreeMap<Instance, Process>,
}

impl Roster {
    /// Creates a roster of the control instances that the settings name.
    pub fn new(seeds: impl IntoIterator<Item = Instance>) -> Roster {
        Roster { seeds: seeds.into_iter().collect(), ..Roster::default() }
    }

    /// Replaces the control instances that the settings name.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Instance>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Records an announcement. Returns the number of restarts of the instance that were seen, if
    /// this is a new one.
    pub fn on_announcement(
        &mut self,
        now: Millis,
        instance: &Instance,
        announcement: &Announcement,
    ) -> Option<u32> {
        match instance_role(instance) {
            Some(Role::Control) => {
                self.controls.insert(instance.clone(), now);
            }
            Some(Role::Entry) if announcement.leaving => {
                self.entries.remove(instance);
            }
            Some(Role::Entry) => {
                self.entries.insert(instance.clone(), (announcement.domain.clone(), now));
            }
            None => return None,
        }
        self.record_start(now, instance, announcement.started)
    }

    /// Records the start of an instance's process; returns the number of restarts if this is a new
    /// one. A message of an earlier process may arrive late, so only a later start counts as a
    /// restart.
    fn record_start(&mut self, now: Millis, instance: &Instance, started: u64) -> Option<u32> {
        let process = self.processes.entry(instance.clone());
        let process = process.or_insert(Process { started, restarts: 0, last_heard: now });
        process.last_heard = now;
        if started <= process.started {
            return None;
        }
        process.started = started;
        process.restarts += 1;
        Some(process.restarts)
    }

    /// Records a message that an entry sent to this one; its failure domain is known from the
    /// roster.
    pub fn on_message_from(&mut self, now: Millis, instance: &Instance) {
        if let Some((_, last_heard)) = self.entries.get_mut(instance) {
            *last_heard = now;
        }
    }

    /// Returns the number of the last roster that a control instance sent; 0 if there is none.
    pub fn number_from(&self, control: &Instance) -> u64 {
        self.received.get(control).map_or(0, |update| update.number)
    }

    /// Applies a roster that a control instance sent.
    pub fn on_update(&mut self, now: Millis, control: &Instance, update: RosterUpdate) {
        self.last_update = Some(now);
        self.apply(now, &update);
        self.received.insert(control.clone(), update);
    }

    /// Applies a control instance's confirmation that its last roster is unchanged.
    pub fn on_unchanged(&mut self, now: Millis, control: &Instance, number: u64) {
        let Some(update) =
            self.received.get(control).filter(|update| update.number == number).cloned()
        else {
            return;
        };
        self.last_update = Some(now);
        self.apply(now, &update);
    }

    fn apply(&mut self, now: Millis, update: &RosterUpdate) {
        for FleetEntry(instance, domain) in &update.entries {
            self.entries.insert(instance.clone(), (domain.clone(), now));
        }
        for control in &update.controls {
            self.controls.insert(control.clone(), now);
        }
    }

    /// Returns the roster that this control instance sends, under a new number if it has changed.
    /// Numbers are at least the wall clock, so that those of an earlier process are not used again.
    pub fn next_update(&mut self, unix_ms: u64, controls: Vec<Instance>) -> &RosterUpdate {
        let entries = self.entries();
        if self.published.number == 0
            || self.published.entries != entries
            || self.published.controls != controls
        {
            let number = unix_ms.max(self.published.number + 1);
            self.published = RosterUpdate { number, entries, controls };
        }
        &self.published
    }

    /// Drops the instances that were not heard from for long, unless no control instance reaches
    /// this one.
    pub fn expire(&mut self, now: Millis, is_control: bool) {
        let has_recent_update =
            self.last_update.is_some_and(|last_update| now.since(last_update) <= ENTRY_TTL);
        if is_control || has_recent_update {
            self.entries.retain(|_, (_, last_heard)| now.since(*last_heard) <= ENTRY_TTL);
            self.controls.retain(|_, last_heard| now.since(*last_heard) <= CONTROL_TTL);
            self.processes.retain(|_, process| now.since(process.last_heard) <= PROCESS_TTL);
            let (controls, seeds) = (&self.controls, &self.seeds);
            self.received
                .retain(|control, _| controls.contains_key(control) || seeds.contains(control));
        }
    }

    /// Returns the entries.
    pub fn entries(&self) -> Vec<FleetEntry> {
        self.entries.iter().map(|(i, (domain, _))| FleetEntry(i.clone(), domain.clone())).collect()
    }

    /// Returns the control instances, including those that the settings name.
    pub fn controls(&self) -> Vec<Instance> {
        let known = self.controls.keys().chain(&self.seeds);
        known.cloned().collect::<BTreeSet<Instance>>().into_iter().collect()
    }

    /// Returns a digest of the entries and control instances.
    pub fn digest(&self) -> u64 {
        let mut hasher = crc32fast::Hasher::new();
        for (instance, (domain, _)) in &self.entries {
            hasher.update(instance.as_str().as_bytes());
            hasher.update(domain.as_str().as_bytes());
        }
        for control in self.controls() {
            hasher.update(control.as_str().as_bytes());
        }
        u64::from(hasher.finalize())
    }
}
