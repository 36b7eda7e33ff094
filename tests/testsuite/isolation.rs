//! Control instances isolated by a partial network partition: the isolated one still reaches the
//! entries, but not the other control instances.
//!
//! A deterministic simulation drives the state machines of entries and control instances message by
//! message. Meanwhile configuration changes are submitted through the control instances that are
//! not isolated.

use std::{net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
use kingcupgrade::{
    coordination::{
        control::ControlMachine,
        fleet::{FleetInput, FleetNode, FleetOutput},
    },
    core::{Instance, Millis, fleet::FleetSettings, settings::Role},
    protocol::{
        Message,
        consensus::{INITIAL_REPLICA, Member, ReplicaId},
        record::{Command, Reply, StoredConfiguration},
    },
    state::log::Stored,
};

/// The time that one step simulates. All times here are in milliseconds.
const STEP: u64 = 10;
/// Upper bound on the delivery time of a message.
const MAX_DELAY: u64 = 4;
const CONTROLS: usize = 3;
const ENTRIES: usize = 7;
/// How long an entry may use an older configuration after a newer one was acknowledged.
const MAX_STALENESS: u64 = 2_000;
/// The time limit of a configuration change.
const CHANGE_TIMEOUT: Millis = Millis(900);
/// The time between two configuration changes.
const CHANGE_INTERVAL: u64 = 700;
/// How long a control instance stays isolated.
const PARTITION_DURATION: u64 = 12_000;
/// The time from the end of a partition to the next one.
const PARTITION_INTERVAL: u64 = 8_000;

/// A simulated instance.
struct Host {
    settings: Arc<FleetSettings>,
    node: FleetNode,
}

struct Simulation {
    now: u64,
    random: u64,
    hosts: Vec<Host>,
    /// Messages in flight: delivery time, sender, receiver and message.
    in_flight: Vec<(u64, Instance, Instance, Message)>,
    /// The control instance that is cut off from the other control instances.
    isolated: Option<usize>,
    version: u64,
    next_change: u64,
    /// Acknowledged versions, each after the time of its acknowledgement.
    acknowledged: Vec<(u64, u64)>,
    /// The longest time for which an entry used a version older than an acknowledged one.
    max_staleness: u64,
}

fn ip(host: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, host as u8 + 1])
}

impl Host {
    fn new(host: usize, seed: u64) -> Host {
        let seeds: Vec<IpAddr> = (0..CONTROLS).map(ip).collect();
        let role = if host < CONTROLS { Role::Control } else { Role::Entry };
        let settings = FleetSettings { ip: ip(host), role, seeds, ..fleet_settings() };
        let settings = Arc::new(settings);
        let control = (role == Role::Control).then(|| {
            let instances = settings.seed_instances().into_iter();
            let members = instances
                .map(|instance| Member { id: ReplicaId(instance, INITIAL_REPLICA), voter: true });
            let id = ReplicaId(settings.instance(), INITIAL_REPLICA);
            let stored = Stored::initial(members.collect());
            let mut control = ControlMachine::new(Millis(0), id, stored, seed)
                .expect("an empty state can be read");
            control.set_voter_target(CONTROLS);
            control
        });
        Host { node: FleetNode::new(settings.clone(), 1, control), settings }
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            hosts: Vec::new(),
            in_flight: Vec::new(),
            isolated: None,
            version: 0,
            next_change: 2_000,
            acknowledged: Vec::new(),
            max_staleness: 0,
        };
        for host in 0..CONTROLS + ENTRIES {
            let seed = simulation.random_below(u64::MAX >> 12);
            simulation.hosts.push(Host::new(host, seed));
        }
        simulation
    }

    /// Returns the next pseudo-random number below `below`.
    fn random_below(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due = |(at, ..): &(u64, Instance, Instance, Message)| *at <= self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |sent| due(sent)).collect();
        for (_, from, to, message) in due {
            if let Some(host) = self.index_of(&to) {
                self.handle(host, FleetInput::Received(from, message));
            }
        }
        if self.now >= self.next_change {
            self.next_change = self.now + CHANGE_INTERVAL;
            self.submit_change();
        }
        for host in 0..self.hosts.len() {
            self.handle(host, FleetInput::Tick);
        }
        self.record_staleness();
    }

    fn index_of(&self, instance: &Instance) -> Option<usize> {
        self.hosts.iter().position(|host| host.settings.instance() == *instance)
    }

    /// Submits the next configuration to a random control instance, unless that is isolated.
    fn submit_change(&mut self) {
        let host = self.random_below(CONTROLS as u64) as usize;
        if self.isolated == Some(host) {
            return;
        }
        self.version += 1;
        let (version, text) = (self.version, format!("configuration {}", self.version).into());
        let command =
            Command::Replace(StoredConfiguration { version, text, index: 0, services: Vec::new() });
        self.handle(host, FleetInput::Command(version, command, CHANGE_TIMEOUT));
    }

    fn handle(&mut self, host: usize, input: FleetInput) {
        let mut out = Vec::new();
        let node = &mut self.hosts[host].node;
        node.handle(Millis(self.now), self.now, input, &mut out);
        node.flush(Millis(self.now), self.now, &mut out);
        for output in out {
            match output {
                FleetOutput::Send(to, message) => self.send(host, to, message),
                FleetOutput::SendToAll(to, message) => {
                    to.into_iter().for_each(|to| self.send(host, to, message.clone()));
                }
                FleetOutput::Answer(version, Reply::Accepted { .. }) => {
                    self.acknowledged.push((self.now, version));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: Instance, message: Message) {
        let Some(target) = self.index_of(&to) else { return };
        let is_blocked = |a: usize, b: usize| self.isolated == Some(a) && a != b && b < CONTROLS;
        if is_blocked(from, target) || is_blocked(target, from) {
            return;
        }
        let at = self.now + 1 + self.random_below(MAX_DELAY);
        self.in_flight.push((at, self.hosts[from].settings.instance(), to, message));
    }

    /// Records for how long each entry has used an older version than an acknowledged one.
    fn record_staleness(&mut self) {
        for host in &self.hosts[CONTROLS..] {
            let version = host.node.view().configuration().map_or(0, |view| view.version);
            let newer = self.acknowledged.iter().find(|(_, newer)| *newer > version);
            let staleness = newer.map_or(0, |(at, _)| self.now - at);
            self.max_staleness = self.max_staleness.max(staleness);
        }
    }

    fn isolate(&mut self, host: usize) {
        self.isolated = Some(host);
        self.run(PARTITION_DURATION);
        self.isolated = None;
        self.run(PARTITION_INTERVAL);
    }

    fn leader(&self) -> usize {
        let leads = |host: &Host| {
            host.node.control().is_some_and(|control| control.consensus().is_leader())
        };
        self.hosts.iter().position(leads).expect("a leader")
    }
}

/// Isolates control instances one after the other; returns the maximum staleness of an entry.
fn simulate(seed: u64, partitions: impl Fn(&mut Simulation) -> Vec<usize>) -> u64 {
    let mut simulation = Simulation::new(seed);
    simulation.run(8_000);
    for host in partitions(&mut simulation) {
        simulation.isolate(host);
    }
    assert!(simulation.acknowledged.len() > 20, "seed {seed}: too few changes were accepted");
    simulation.max_staleness
}

/// Runs the simulation with ten seeds, and checks the staleness in each.
fn check(partitions: impl Fn(&mut Simulation) -> Vec<usize>) {
    let runs = (1..=10).map(|seed| (seed, simulate(seed, &partitions)));
    let stale: Vec<(u64, u64)> = runs.filter(|(_, staleness)| *staleness > MAX_STALENESS).collect();
    assert!(stale.is_empty(), "seeds, and staleness in ms: {stale:?}");
}

/// Guards against entries that keep an old configuration because the control instance that they
/// query is isolated from the leader and has not detected that yet.
#[test]
fn entries_leave_a_follower_that_is_cut_off() {
    check(|simulation| {
        let leader = simulation.leader();
        (0..CONTROLS).filter(|host| *host != leader).collect()
    });
}

/// Guards against entries that keep an old configuration because they query a leader that is
/// isolated and has not stepped down yet.
#[test]
fn entries_leave_a_leader_that_is_cut_off() {
    check(|simulation| vec![simulation.leader()]);
}

/// Guards against entries that keep an old configuration after a series of partitions has made them
/// switch from one control instance to another.
#[test]
fn entries_that_left_one_control_instance_after_the_other_stay_near_the_newest() {
    check(|simulation| (0..6).map(|_| simulation.random_below(CONTROLS as u64) as usize).collect());
}
