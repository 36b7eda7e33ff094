//! Simulates the control instances of a fleet that forms from seed addresses, under random faults.
//!
//! Instances crash, lose their disks, are partitioned and rejoin without operator intervention.
//! Meanwhile two operators submit configurations, resubmit them when no reply arrived, and read
//! them back.

mod replacements;

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

const STEP_MS: u64 = 20;
const FAULT_PERIOD_MS: u64 = 40_000;
const RECOVERY_PERIOD_MS: u64 = 25_000;
const SEEDS: usize = 3;
const COMMAND_TIMEOUT: Millis = Millis(900);
/// How long a killed instance stays down.
const DOWNTIME_MS: u64 = 700;
/// The minimum time between two disk losses. The next loss also waits until the previous one is
/// repaired, because a group of three replicas tolerates the loss of only one.
const MIN_DISK_LOSS_INTERVAL_MS: u64 = 3_000;

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
    restart_at: Option<u64>,
    partitioned_until: u64,
    is_removed: bool,
}

impl Host {
    fn new(host: usize, seeds: Vec<IpAddr>, members: Vec<Member>, replica: u64) -> Host {
        Host {
            settings: Arc::new(settings(host, seeds)),
            replica,
            disk: Stored::initial(members),
            node: None,
            restart_at: Some(0),
            partitioned_until: 0,
            is_removed: false,
        }
    }

    fn instance(&self) -> Instance {
        self.settings.instance()
    }

    fn start(&mut self, now: u64, seed: u64) {
        let id = ReplicaId(self.instance(), self.replica);
        let mut control = ControlMachine::new(Millis(now), id, self.disk.clone(), seed)
            .expect("readable stored state");
        control.set_voter_target(SEEDS);
        self.node = Some(FleetNode::new(self.settings.clone(), seed, Some(control)));
        self.restart_at = None;
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

/// An operator command that awaits its reply.
enum PendingCommand {
    Change(u64),
    Read { acknowledged: u64 },
}

struct Simulation {
    now: u64,
    random: u64,
    hosts: Vec<Host>,
    in_flight: Vec<(u64, Instance, Instance, Message)>,
    pending: BTreeMap<Ticket, PendingCommand>,
    next_ticket: Ticket,
    version: u64,
    acknowledged: u64,
    acknowledgements: usize,
    reads: usize,
    faults_enabled: bool,
    next_disk_loss: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let seeds: Vec<IpAddr> = (0..SEEDS).map(ip).collect();
        let instances = seeds.iter().map(|ip| instance_name(Role::Control, *ip));
        let members: Vec<Member> = instances
            .map(|instance| Member { id: ReplicaId(instance, INITIAL_REPLICA), voter: true })
            .collect();
        Simulation {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            hosts: (0..SEEDS)
                .map(|h| Host::new(h, seeds.clone(), members.clone(), INITIAL_REPLICA))
                .collect(),
            in_flight: Vec::new(),
            pending: BTreeMap::new(),
            next_ticket: 1,
            version: 0,
            acknowledged: 0,
            acknowledgements: 0,
            reads: 0,
            faults_enabled: true,
            next_disk_loss: 3_000,
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
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
        self.now += STEP_MS;
        if self.faults_enabled {
            self.inject_faults();
        }
        self.restart();
        let due = |(at, ..): &(u64, Instance, Instance, Message)| *at <= self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |sent| due(sent)).collect();
        for (_, from, to, message) in due {
            if let Some(host) = self.hosts.iter().position(|host| host.instance() == to) {
                self.handle(host, FleetInput::Received(from, message));
            }
        }
        self.issue_operator_command();
        for host in 0..self.hosts.len() {
            self.handle(host, FleetInput::Tick);
        }
    }

    fn inject_faults(&mut self) {
        let host = self.random_below(self.hosts.len() as u64) as usize;
        if self.hosts[host].is_removed {
            return;
        }
        if self.random_below(250) == 0 {
            self.kill(host, DOWNTIME_MS);
        }
        if self.random_below(250) == 0 {
            self.hosts[host].partitioned_until = self.now + 500 + self.random_below(3_000);
        }
        let all_reachable = self
            .hosts
            .iter()
            .filter(|h| !h.is_removed)
            .all(|h| h.node.is_some() && h.partitioned_until <= self.now);
        if self.now >= self.next_disk_loss && all_reachable && self.membership_is_complete() {
            self.next_disk_loss = self.now + MIN_DISK_LOSS_INTERVAL_MS + self.random_below(4_000);
            if self.hosts.len() < 6 && self.random_below(3) == 0 {
                self.replace(host);
            } else {
                self.kill(host, DOWNTIME_MS);
                let replica = 1_000 + self.random_below(1 << 40);
                self.hosts[host].lose_disk(replica);
            }
        }
    }

    fn kill(&mut self, host: usize, downtime: u64) {
        self.hosts[host].node = None;
        self.hosts[host].restart_at = Some(self.now + downtime);
    }

    /// Removes an instance permanently and adds an empty one at a new address.
    fn replace(&mut self, host: usize) {
        self.kill(host, u64::MAX / 2);
        self.hosts[host].is_removed = true;
        let replica = 1_000 + self.random_below(1 << 40);
        // The seeds in a new instance's settings are the instances present when it is created.
        let present = self.hosts.iter().filter(|host| !host.is_removed);
        let seeds: Vec<IpAddr> = present.map(|host| host.settings.ip).collect();
        let mut successor = Host::new(self.hosts.len(), seeds, Vec::new(), replica);
        successor.restart_at = Some(self.now + 1_000);
        self.hosts.push(successor);
    }

    fn restart(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].restart_at.is_some_and(|at| at <= self.now) {
                let (now, seed) = (self.now, self.random_below(u64::MAX >> 12));
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
                FleetOutput::Answer(ticket, reply) => self.on_reply(ticket, &reply),
                _ => {}
            }
        }
    }

    fn send(&mut self, host: usize, to: Instance, message: Message) {
        let is_partitioned = |h: &Host| h.partitioned_until > self.now;
        let target = self.hosts.iter().find(|h| h.instance() == to);
        if is_partitioned(&self.hosts[host]) || target.is_none_or(is_partitioned) {
            return;
        }
        if self.faults_enabled && self.random_below(100) == 0 {
            return;
        }
        let from = self.hosts[host].instance();
        let at = self.now + 1 + self.random_below(STEP_MS);
        self.in_flight.push((at, from, to, message));
    }

    /// Issues a command as one of two operators: one submits the next version or resubmits the
    /// last one, the other reads.
    fn issue_operator_command(&mut self) {
        if self.random_below(10) != 0 {
            return;
        }
        let host = self.random_below(self.hosts.len() as u64) as usize;
        if self.hosts[host].node.is_none() || self.hosts[host].partitioned_until > self.now {
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let command = match self.random_below(3) {
            0 => {
                self.pending
                    .insert(ticket, PendingCommand::Read { acknowledged: self.acknowledged });
                Command::Read
            }
            kind => {
                self.version += kind - 1;
                let version = self.version.max(1);
                self.pending.insert(ticket, PendingCommand::Change(version));
                let text = format!("configuration {version}").into();
                Command::Replace(StoredConfiguration {
                    version,
                    text,
                    index: 0,
                    services: Vec::new(),
                })
            }
        };
        self.handle(host, FleetInput::Command(ticket, command, COMMAND_TIMEOUT));
    }

    fn on_reply(&mut self, ticket: Ticket, reply: &Reply) {
        match (self.pending.remove(&ticket), reply) {
            (Some(PendingCommand::Change(version)), Reply::Accepted { .. }) => {
                self.acknowledged = self.acknowledged.max(version);
                self.acknowledgements += 1;
            }
            (Some(PendingCommand::Read { acknowledged }), Reply::Configuration(configuration)) => {
                let version =
                    configuration.as_ref().map_or(0, |configuration| configuration.version);
                assert!(version >= acknowledged, "read {version} after {acknowledged}");
                if let Some(configuration) = configuration {
                    assert_eq!(*configuration.text, format!("configuration {version}"));
                }
                self.reads += 1;
            }
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.faults_enabled = false;
        self.hosts.iter_mut().for_each(|host| host.partitioned_until = 0);
        self.run(FAULT_PERIOD_MS + RECOVERY_PERIOD_MS);
    }

    /// Returns whether the members on every present instance's disk have exactly the present
    /// instances as voters.
    fn membership_is_complete(&self) -> bool {
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
        let members = leader.expect("a running instance").consensus().members().to_vec();
        members.into_iter().filter(|member| member.voter).map(|member| member.id).collect()
    }
}

fn run_seed(seed: u64) {
    let mut simulation = Simulation::new(seed);
    simulation.run(FAULT_PERIOD_MS);
    simulation.heal();
    let before = (simulation.acknowledgements, simulation.reads);
    simulation.run(FAULT_PERIOD_MS + RECOVERY_PERIOD_MS + 20_000);
    assert!(simulation.acknowledgements > before.0, "seed {seed}: no further change is accepted");
    assert!(simulation.reads > before.1, "seed {seed}: no further read succeeds");
    let voters = simulation.voters();
    assert_eq!(voters.len(), SEEDS, "seed {seed}: {voters:?}");
    assert!(simulation.membership_is_complete(), "seed {seed}: {voters:?}");
    for host in simulation.hosts.iter().filter(|host| !host.is_removed) {
        let id = ReplicaId(host.instance(), host.replica);
        assert!(voters.contains(&id), "seed {seed}: {id} has no vote among {voters:?}");
    }
}

/// Guards against configurations lost, or a fleet left without a quorum, when disks are lost and
/// instances replaced one after another without operator intervention, amid crashes, partitions and
/// dropped messages. A read must never return an older version than one already acknowledged; at
/// the end every present instance must be a voter and changes must be accepted.
#[test]
fn acknowledged_configurations_survive_lost_disks_and_replaced_instances() {
    for seed in 1..=30 {
        run_seed(seed);
    }
}

/// Guards against losing an acknowledged configuration when the leader's disk is lost right after
/// the acknowledgement and the leader returns empty at its old address. The others must hold the
/// configuration, and the empty instance must not vote under its old replica identity.
#[test]
fn a_configuration_survives_the_loss_of_the_disk_that_acknowledged_it() {
    for seed in 100..110 {
        let mut simulation = Simulation::new(seed);
        simulation.faults_enabled = false;
        simulation.run(4_000);
        while simulation.acknowledged == 0 {
            simulation.step();
        }
        let is_leader = |host: &Host| {
            host.node
                .as_ref()
                .and_then(FleetNode::control)
                .is_some_and(|c| c.consensus().is_leader())
        };
        let leader = simulation.hosts.iter().position(is_leader).expect("a leader");
        let acknowledged = simulation.acknowledged;
        simulation.kill(leader, DOWNTIME_MS);
        simulation.hosts[leader].lose_disk(7_777);
        simulation.run(simulation.now + 10_000);
        assert!(simulation.acknowledged >= acknowledged);
        assert!(simulation.reads > 0, "seed {seed}");
        let id = ReplicaId(simulation.hosts[leader].instance(), 7_777);
        assert!(
            simulation.voters().contains(&id),
            "seed {seed}: the empty replica has no vote yet"
        );
    }
}
