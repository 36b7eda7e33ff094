//! Control instances of a fleet that finds itself, driven message by message under random faults.
//!
//! Instances are killed, lose their disks, are cut off and come back with nobody at the keyboard,
//! while two operators send configurations, resend them after lost answers and read them back.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use crate::support::fleet_settings;
use kingcupgrade::{
    coordination::{
        control::ControlMachine,
        fleet::{FleetInput, FleetNode, FleetOutput, Ticket},
    },
    core::{
        Instance, Millis,
        fleet::{FleetSettings, instance_name},
        settings::Role,
    },
    protocol::{
        Message,
        consensus::{INITIAL_REPLICA, Member, ReplicaId},
        record::{Command, Reply, StoredConfiguration},
    },
    state::log::{HardState, Log, Persist, Stored},
};

const STEP: u64 = 20;
const FAULTY: u64 = 40_000;
const SETTLING: u64 = 25_000;
const SEEDS: usize = 3;
const PATIENCE: Millis = Millis(900);
/// How long a killed instance stays away.
const AWAY: u64 = 700;
/// A disk is lost at least this long after the one before, and not before that one is replaced:
/// a record of three bears the loss of one.
const BETWEEN: u64 = 3_000;

fn ip(host: usize) -> IpAddr {
    IpAddr::from([127, 0, 0, host as u8 + 1])
}

fn settings(host: usize, seeds: Vec<IpAddr>) -> FleetSettings {
    FleetSettings { ip: ip(host), role: Role::Control, seeds, ..fleet_settings() }
}

struct Host {
    settings: Arc<FleetSettings>,
    replica: u64,
    disk: Stored,
    node: Option<FleetNode>,
    back_at: Option<u64>,
    cut_until: u64,
    is_removed: bool,
}

impl Host {
    fn new(host: usize, seeds: Vec<IpAddr>, members: Vec<Member>, replica: u64) -> Host {
        Host {
            settings: Arc::new(settings(host, seeds)),
            replica,
            disk: Stored::initial(members),
            node: None,
            back_at: Some(0),
            cut_until: 0,
            is_removed: false,
        }
    }

    fn instance(&self) -> Instance {
        self.settings.instance()
    }

    fn start(&mut self, now: u64, seed: u64) {
        let id = ReplicaId(self.instance(), self.replica);
        let mut control = ControlMachine::new(Millis(now), id, self.disk.clone(), seed)
            .expect("a state that was written can be read");
        control.set_voter_target(SEEDS);
        self.node = Some(FleetNode::new(self.settings.clone(), Some(control)));
        self.back_at = None;
    }

    fn write(&mut self, persist: Persist) {
        match persist {
            Persist::HardState(state) => self.disk.hard_state = state,
            Persist::Entries(entries) => {
                for entry in entries {
                    self.disk.log.truncate(entry.index);
                    self.disk.log.push(entry);
                }
            }
            Persist::Snapshot(snapshot) => self.disk.log.compact(snapshot),
        }
    }

    fn lose_disk(&mut self, replica: u64) {
        self.replica = replica;
        self.disk = Stored {
            hard_state: HardState::default(),
            log: Log::new(Stored::initial(Vec::new()).log.snapshot().clone(), []),
        };
    }
}

/// What an operator waits for.
enum Asked {
    Change(u64),
    Read { acknowledged: u64 },
}

struct World {
    now: u64,
    random: u64,
    hosts: Vec<Host>,
    wire: Vec<(u64, Instance, Instance, Message)>,
    asked: BTreeMap<Ticket, Asked>,
    next_ticket: Ticket,
    version: u64,
    acknowledged: u64,
    acknowledgements: usize,
    reads: usize,
    faulty: bool,
    next_wipe: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let seeds: Vec<IpAddr> = (0..SEEDS).map(ip).collect();
        let instances = seeds.iter().map(|ip| instance_name(Role::Control, *ip));
        let members: Vec<Member> = instances
            .map(|instance| Member { id: ReplicaId(instance, INITIAL_REPLICA), voter: true })
            .collect();
        World {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            hosts: (0..SEEDS)
                .map(|h| Host::new(h, seeds.clone(), members.clone(), INITIAL_REPLICA))
                .collect(),
            wire: Vec::new(),
            asked: BTreeMap::new(),
            next_ticket: 1,
            version: 0,
            acknowledged: 0,
            acknowledgements: 0,
            reads: 0,
            faulty: true,
            next_wipe: 3_000,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faulty {
            self.hurt();
        }
        self.restart();
        let due = |(at, ..): &(u64, Instance, Instance, Message)| *at <= self.now;
        let due: Vec<_> = self.wire.extract_if(.., |sent| due(sent)).collect();
        for (_, from, to, message) in due {
            if let Some(host) = self.hosts.iter().position(|host| host.instance() == to) {
                self.handle(host, FleetInput::Received(from, message));
            }
        }
        self.operate();
        for host in 0..self.hosts.len() {
            self.handle(host, FleetInput::Tick);
        }
    }

    fn hurt(&mut self) {
        let host = self.draw(self.hosts.len() as u64) as usize;
        if self.hosts[host].is_removed {
            return;
        }
        if self.draw(250) == 0 {
            self.kill(host, AWAY);
        }
        if self.draw(250) == 0 {
            self.hosts[host].cut_until = self.now + 500 + self.draw(3_000);
        }
        let all_are_there = self
            .hosts
            .iter()
            .filter(|h| !h.is_removed)
            .all(|h| h.node.is_some() && h.cut_until <= self.now);
        if self.now >= self.next_wipe && all_are_there && self.is_whole() {
            self.next_wipe = self.now + BETWEEN + self.draw(4_000);
            if self.hosts.len() < 6 && self.draw(3) == 0 {
                self.replace(host);
            } else {
                self.kill(host, AWAY);
                let replica = 1_000 + self.draw(1 << 40);
                self.hosts[host].lose_disk(replica);
            }
        }
    }

    fn kill(&mut self, host: usize, away: u64) {
        self.hosts[host].node = None;
        self.hosts[host].back_at = Some(self.now + away);
    }

    /// Takes an instance away for good; an empty one comes at another address.
    fn replace(&mut self, host: usize) {
        self.kill(host, u64::MAX / 2);
        self.hosts[host].is_removed = true;
        let replica = 1_000 + self.draw(1 << 40);
        // The settings of a new instance name those that are there when it is made.
        let present = self.hosts.iter().filter(|host| !host.is_removed);
        let seeds: Vec<IpAddr> = present.map(|host| host.settings.ip).collect();
        let mut successor = Host::new(self.hosts.len(), seeds, Vec::new(), replica);
        successor.back_at = Some(self.now + 1_000);
        self.hosts.push(successor);
    }

    fn restart(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].back_at.is_some_and(|at| at <= self.now) {
                let (now, seed) = (self.now, self.draw(u64::MAX >> 12));
                self.hosts[host].start(now, seed);
            }
        }
    }

    fn handle(&mut self, host: usize, input: FleetInput) {
        let now = Millis(self.now);
        let Some(node) = &mut self.hosts[host].node else { return };
        let mut out = Vec::new();
        node.handle(now, self.now, input, &mut out);
        node.flush(now, self.now, &mut out);
        let (writes, rest): (Vec<_>, Vec<_>) =
            out.into_iter().partition(|output| matches!(output, FleetOutput::Persist(_)));
        for output in writes {
            if let FleetOutput::Persist(persist) = output {
                self.hosts[host].write(persist);
            }
        }
        for output in rest {
            match output {
                FleetOutput::Send(to, message) => self.send(host, to, message),
                FleetOutput::Answer(ticket, reply) => self.on_answer(ticket, &reply),
                _ => {}
            }
        }
    }

    fn send(&mut self, host: usize, to: Instance, message: Message) {
        let is_cut = |h: &Host| h.cut_until > self.now;
        let target = self.hosts.iter().find(|h| h.instance() == to);
        if is_cut(&self.hosts[host]) || target.is_none_or(is_cut) {
            return;
        }
        if self.faulty && self.draw(100) == 0 {
            return;
        }
        let from = self.hosts[host].instance();
        let at = self.now + 1 + self.draw(STEP);
        self.wire.push((at, from, to, message));
    }

    /// Two operators: one sends the next version or the last one again, the other reads.
    fn operate(&mut self) {
        if self.draw(10) != 0 {
            return;
        }
        let host = self.draw(self.hosts.len() as u64) as usize;
        if self.hosts[host].node.is_none() || self.hosts[host].cut_until > self.now {
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let command = match self.draw(3) {
            0 => {
                self.asked.insert(ticket, Asked::Read { acknowledged: self.acknowledged });
                Command::Read
            }
            kind => {
                self.version += kind - 1;
                let version = self.version.max(1);
                self.asked.insert(ticket, Asked::Change(version));
                let text = format!("configuration {version}").into();
                Command::Replace(StoredConfiguration { version, text, index: 0 })
            }
        };
        self.handle(host, FleetInput::Command(ticket, command, PATIENCE));
    }

    fn on_answer(&mut self, ticket: Ticket, reply: &Reply) {
        match (self.asked.remove(&ticket), reply) {
            (Some(Asked::Change(version)), Reply::Accepted { .. }) => {
                self.acknowledged = self.acknowledged.max(version);
                self.acknowledgements += 1;
            }
            (Some(Asked::Read { acknowledged }), Reply::Configuration(whole)) => {
                let version = whole.as_ref().map_or(0, |whole| whole.version);
                assert!(version >= acknowledged, "read {version} after {acknowledged}");
                if let Some(whole) = whole {
                    assert_eq!(*whole.text, format!("configuration {version}"));
                }
                self.reads += 1;
            }
            _ => {}
        }
    }

    fn settle(&mut self) {
        self.faulty = false;
        self.hosts.iter_mut().for_each(|host| host.cut_until = 0);
        self.run(FAULTY + SETTLING);
    }

    /// Tells whether the voters are just the instances that are there, on a majority's disks.
    fn is_whole(&self) -> bool {
        let present = self.hosts.iter().filter(|host| !host.is_removed);
        let ids: Vec<ReplicaId> =
            present.clone().map(|h| ReplicaId(h.instance(), h.replica)).collect();
        let agrees = |host: &Host| {
            let members = host.disk.log.members().0;
            members.iter().filter(|m| m.voter).count() == ids.len()
                && ids.iter().all(|id| members.iter().any(|m| m.voter && m.id == *id))
        };
        present.filter(|host| agrees(host)).count() == ids.len()
    }

    fn voters(&self) -> Vec<ReplicaId> {
        let leader = self.hosts.iter().filter_map(|host| host.node.as_ref()?.control());
        let leader = leader.max_by_key(|control| control.consensus().commit());
        let members = leader.expect("an instance runs").consensus().members().to_vec();
        members.into_iter().filter(|member| member.voter).map(|member| member.id).collect()
    }
}

fn play(seed: u64) {
    let mut world = World::new(seed);
    world.run(FAULTY);
    world.settle();
    let before = (world.acknowledgements, world.reads);
    world.run(FAULTY + SETTLING + 20_000);
    assert!(world.acknowledgements > before.0, "seed {seed}: no change is accepted any more");
    assert!(world.reads > before.1, "seed {seed}: nothing can be read any more");
    let voters = world.voters();
    assert_eq!(voters.len(), SEEDS, "seed {seed}: {voters:?}");
    assert!(world.is_whole(), "seed {seed}: {voters:?}");
    for host in world.hosts.iter().filter(|host| !host.is_removed) {
        let id = ReplicaId(host.instance(), host.replica);
        assert!(voters.contains(&id), "seed {seed}: {id} has no vote among {voters:?}");
    }
}

/// Disks are lost and instances replaced with nobody at the keyboard, one after the other, under
/// kills, cuts and lost messages. An operator must never read less than what was acknowledged, and
/// in the end all instances that are there vote and changes are accepted.
#[test]
fn acknowledged_configurations_survive_lost_disks_and_replaced_instances() {
    for seed in 1..=30 {
        play(seed);
    }
}

/// The leader's disk is lost right after it acknowledged a configuration, and it comes back empty at
/// its old address. The others must hold the configuration, and the empty one must not vote as the
/// replica that it was.
#[test]
fn a_configuration_survives_the_loss_of_the_disk_that_acknowledged_it() {
    for seed in 100..110 {
        let mut world = World::new(seed);
        world.faulty = false;
        world.run(4_000);
        while world.acknowledged == 0 {
            world.step();
        }
        let is_leader = |host: &Host| {
            host.node
                .as_ref()
                .and_then(FleetNode::control)
                .is_some_and(|c| c.consensus().is_leader())
        };
        let leader = world.hosts.iter().position(is_leader).expect("somebody leads");
        let acknowledged = world.acknowledged;
        world.kill(leader, AWAY);
        world.hosts[leader].lose_disk(7_777);
        world.run(world.now + 10_000);
        assert!(world.acknowledged >= acknowledged);
        assert!(world.reads > 0, "seed {seed}");
        let id = ReplicaId(world.hosts[leader].instance(), 7_777);
        assert!(world.voters().contains(&id), "seed {seed}: the empty replica has no vote yet");
    }
}
