//! Who is in the fleet, as one instance knows it.
//!
//! Control instances hear everybody and tell everybody. An instance that no control instance
//! reaches keeps the last list: neighbours that it forgot would take capacity it then counts as
//! its own.
//!
//! Everybody says each second that it is there. A control instance answers with the whole list only
//! if it has changed: told each time, it would be most of what a fleet of hundreds sends.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{FailureDomain, Instance, Millis, fleet::instance_role, settings::Role},
    protocol::fleet::FleetEntry,
};

/// An instance not heard for this long is not listed any more: several joins lost in a row.
const ENTRY_TTL: Millis = Millis(4_000);
/// A control instance stays listed longer, since it is told of by others too.
const CONTROL_TTL: Millis = Millis(20_000);
/// A process is remembered for so long after it was last heard, far longer than a restart takes.
const PROCESS_TTL: Millis = Millis(600_000);

/// Who is there by the word of one control instance.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Its place among those of the control instance; 0 if there is none.
    pub number: u64,
    /// Entries that it heard of late.
    pub entries: Vec<FleetEntry>,
    /// The control instances that it knows.
    pub controls: Vec<Instance>,
}

/// What an instance says of itself.
#[derive(Clone, Debug)]
pub struct Joined {
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The wall clock at the start of its process, in milliseconds since 1970.
    pub started: u64,
}

/// The process of an instance.
#[derive(Clone, Copy, Debug)]
struct Process {
    started: u64,
    restarts: u32,
    heard: Millis,
}

/// The instances known.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<Instance, (FailureDomain, Millis)>,
    controls: BTreeMap<Instance, Millis>,
    seeds: BTreeSet<Instance>,
    /// When a control instance last listed the fleet.
    listed: Option<Millis>,
    /// What each control instance told last.
    told: BTreeMap<Instance, Told>,
    /// What this control instance tells.
    own: Told,
    /// The processes heard, also of instances that are listed no more.
    processes: BTreeMap<Instance, Process>,
}

impl Roster {
    /// Makes a roster of what the settings tell.
    pub fn new(seeds: impl IntoIterator<Item = Instance>) -> Roster {
        Roster { seeds: seeds.into_iter().collect(), ..Roster::default() }
    }

    /// Replaces the control instances that the settings tell of.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Instance>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Notes a sign of life. Returns how often the instance was seen to have restarted, if it has
    /// now.
    pub fn on_join(&mut self, now: Millis, instance: &Instance, join: &Joined) -> Option<u32> {
        match instance_role(instance) {
            Some(Role::Control) => {
                self.controls.insert(instance.clone(), now);
            }
            Some(Role::Entry) if join.leaving => {
                self.entries.remove(instance);
            }
            Some(Role::Entry) => {
                self.entries.insert(instance.clone(), (join.domain.clone(), now));
            }
            None => return None,
        }
        self.note_start(now, instance, join.started)
    }

    /// A message of an earlier process may be late, so only a later start is a restart.
    fn note_start(&mut self, now: Millis, instance: &Instance, started: u64) -> Option<u32> {
        let process = self.processes.entry(instance.clone());
        let process = process.or_insert(Process { started, restarts: 0, heard: now });
        process.heard = now;
        if started <= process.started {
            return None;
        }
        process.started = started;
        process.restarts += 1;
        Some(process.restarts)
    }

    /// Notes an entry's own word to this one; its failure domain is known from the roster.
    pub fn on_heard(&mut self, now: Millis, instance: &Instance) {
        if let Some((_, heard)) = self.entries.get_mut(instance) {
            *heard = now;
        }
    }

    /// Returns the number of what a control instance told last; 0 if it told nothing.
    pub fn number_told_by(&self, control: &Instance) -> u64 {
        self.told.get(control).map_or(0, |told| told.number)
    }

    /// Takes in what a control instance tells.
    pub fn on_told(&mut self, now: Millis, control: &Instance, told: Told) {
        self.listed = Some(now);
        self.refresh(now, &told);
        self.told.insert(control.clone(), told);
    }

    /// Takes in that a control instance would tell the same again.
    pub fn on_same(&mut self, now: Millis, control: &Instance, number: u64) {
        let Some(told) = self.told.get(control).filter(|told| told.number == number).cloned()
        else {
            return;
        };
        self.listed = Some(now);
        self.refresh(now, &told);
    }

    fn refresh(&mut self, now: Millis, told: &Told) {
        for FleetEntry(instance, domain) in &told.entries {
            self.entries.insert(instance.clone(), (domain.clone(), now));
        }
        for control in &told.controls {
            self.controls.insert(control.clone(), now);
        }
    }

    /// Returns what this control instance tells, under a new number if it has changed. Numbers are
    /// drawn from the wall clock, so that those of an earlier process are not used again.
    pub fn tell(&mut self, unix_ms: u64, controls: Vec<Instance>) -> &Told {
        let entries = self.entries();
        if self.own.number == 0 || self.own.entries != entries || self.own.controls != controls {
            let number = unix_ms.max(self.own.number + 1);
            self.own = Told { number, entries, controls };
        }
        &self.own
    }

    /// Drops who has not been heard for long, unless nobody lists the fleet.
    pub fn expire(&mut self, now: Millis, lists_itself: bool) {
        let is_listed = self.listed.is_some_and(|listed| now.since(listed) <= ENTRY_TTL);
        if lists_itself || is_listed {
            self.entries.retain(|_, (_, heard)| now.since(*heard) <= ENTRY_TTL);
            self.controls.retain(|_, heard| now.since(*heard) <= CONTROL_TTL);
            self.processes.retain(|_, process| now.since(process.heard) <= PROCESS_TTL);
            let (controls, seeds) = (&self.controls, &self.seeds);
            self.told.retain(|told, _| controls.contains_key(told) || seeds.contains(told));
        }
    }

    /// Lists the entries.
    pub fn entries(&self) -> Vec<FleetEntry> {
        self.entries.iter().map(|(i, (domain, _))| FleetEntry(i.clone(), domain.clone())).collect()
    }

    /// Lists the control instances.
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
