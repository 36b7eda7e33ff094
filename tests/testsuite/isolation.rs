//! Entries beside a control instance that reaches the entries but not the other control instances.
//!
//! Whole machines of entries and control instances, driven message by message. An operator changes
//! the configuration all the while through those that have a majority.

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

/// The step of time.
const STEP: u64 = 10;
/// How long a message is under way at most.
const DELAY: u64 = 4;
const CONTROLS: usize = 3;
const ENTRIES: usize = 7;
/// How long an entry may go by an older configuration after a newer one was acknowledged.
const IN_FORCE_WITHIN: u64 = 2_000;
const PATIENCE: Millis = Millis(900);
/// The pause between two changes.
const CHANGE_INTERVAL: u64 = 700;
/// How long a control instance stays cut off.
const CUT: u64 = 12_000;
/// The pause between two cuts.
const PAUSE: u64 = 8_000;

struct Host {
    settings: Arc<FleetSettings>,
    node: FleetNode,
}

struct World {
    now: u64,
    random: u64,
    hosts: Vec<Host>,
    wire: Vec<(u64, Instance, Instance, Message)>,
    /// The control instance that the others don't reach.
    isolated: Option<usize>,
    version: u64,
    next_change: u64,
    /// Versions acknowledged, and when.
    acknowledged: Vec<(u64, u64)>,
    /// The longest time for which an entry went by an older version than an acknowledged one.
    furthest_behind: u64,
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
        Host { node: FleetNode::new(settings.clone(), control), settings }
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            hosts: Vec::new(),
            wire: Vec::new(),
            isolated: None,
            version: 0,
            next_change: 2_000,
            acknowledged: Vec::new(),
            furthest_behind: 0,
        };
        for host in 0..CONTROLS + ENTRIES {
            let seed = world.draw(u64::MAX >> 12);
            world.hosts.push(Host::new(host, seed));
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
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
        let due: Vec<_> = self.wire.extract_if(.., |sent| due(sent)).collect();
        for (_, from, to, message) in due {
            if let Some(host) = self.place(&to) {
                self.handle(host, FleetInput::Received(from, message));
            }
        }
        if self.now >= self.next_change {
            self.next_change = self.now + CHANGE_INTERVAL;
            self.change();
        }
        for host in 0..self.hosts.len() {
            self.handle(host, FleetInput::Tick);
        }
        self.look();
    }

    fn place(&self, instance: &Instance) -> Option<usize> {
        self.hosts.iter().position(|host| host.settings.instance() == *instance)
    }

    fn change(&mut self) {
        let host = self.draw(CONTROLS as u64) as usize;
        if self.isolated == Some(host) {
            return;
        }
        self.version += 1;
        let (version, text) = (self.version, format!("configuration {}", self.version).into());
        let command = Command::Replace(StoredConfiguration { version, text, index: 0 });
        self.handle(host, FleetInput::Command(version, command, PATIENCE));
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
        let Some(target) = self.place(&to) else { return };
        let is_cut = |a: usize, b: usize| self.isolated == Some(a) && a != b && b < CONTROLS;
        if is_cut(from, target) || is_cut(target, from) {
            return;
        }
        let at = self.now + 1 + self.draw(DELAY);
        self.wire.push((at, self.hosts[from].settings.instance(), to, message));
    }

    /// Notes how far the entries are behind.
    fn look(&mut self) {
        for host in &self.hosts[CONTROLS..] {
            let version = host.node.view().whole().map_or(0, |whole| whole.version);
            let newer = self.acknowledged.iter().find(|(_, newer)| *newer > version);
            let behind = newer.map_or(0, |(at, _)| self.now - at);
            self.furthest_behind = self.furthest_behind.max(behind);
        }
    }

    fn isolate(&mut self, host: usize) {
        self.isolated = Some(host);
        self.run(CUT);
        self.isolated = None;
        self.run(PAUSE);
    }

    fn leader(&self) -> usize {
        let leads = |host: &Host| {
            host.node.control().is_some_and(|control| control.consensus().is_leader())
        };
        self.hosts.iter().position(leads).expect("somebody leads")
    }
}

/// Plays cuts of control instances; returns how far an entry was behind at most.
fn play(seed: u64, cuts: impl Fn(&mut World) -> Vec<usize>) -> u64 {
    let mut world = World::new(seed);
    world.run(8_000);
    for host in cuts(&mut world) {
        world.isolate(host);
    }
    assert!(world.acknowledged.len() > 20, "seed {seed}: hardly a change is accepted");
    world.furthest_behind
}

/// Plays the same with several seeds, and checks each.
fn check(cuts: impl Fn(&mut World) -> Vec<usize>) {
    let behind = (1..=10).map(|seed| (seed, play(seed, &cuts)));
    let late: Vec<(u64, u64)> = behind.filter(|(_, behind)| *behind > IN_FORCE_WITHIN).collect();
    assert!(late.is_empty(), "seeds, and ms behind: {late:?}");
}

/// Guards against entries that go by an old configuration because the control instance that they
/// ask follows nobody and has not heard so yet.
#[test]
fn entries_leave_a_follower_that_is_cut_off() {
    check(|world| {
        let leader = world.leader();
        (0..CONTROLS).filter(|host| *host != leader).collect()
    });
}

/// The same, where the one that is cut off leads.
#[test]
fn entries_leave_a_leader_that_is_cut_off() {
    check(|world| vec![world.leader()]);
}

/// The same, where cuts before have driven entries from one control instance to the next.
#[test]
fn entries_that_left_one_control_instance_after_the_other_stay_near_the_newest() {
    check(|world| (0..6).map(|_| world.draw(CONTROLS as u64) as usize).collect());
}
