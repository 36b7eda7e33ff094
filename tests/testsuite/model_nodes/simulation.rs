//! The simulated instances, the network between them, and upstreams that count running requests.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_support::fleet::{FLEET_KEY, document};
use kingcupgrade::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        entry::{Arrival, AttemptEnd},
        node::{Input, Node, Output},
    },
    core::{
        Instance, Millis, Organisation, OrganisationTag, RequestDigest, Service, Settings,
        UpstreamName,
        settings::{Peer, Role},
    },
    protocol::{
        Message,
        dispatch::ServiceReceived,
        record::{RecordMessage, StoredDocument},
    },
};
use proptest::{prelude::*, prop_assert};

/// The age of load reports.
const REPORT_LAG_MS: u64 = 300;
const ORGANISATIONS: [&str; 2] = ["alder", "birch"];
/// The length of a simulation step.
const STEP_MS: u64 = 10;
/// How long faults are injected.
pub(super) const FAULT_PERIOD_MS: u64 = 15_000;
/// How long the instances may take to recover before the last checks begin.
pub(super) const RECOVERY_PERIOD_MS: u64 = 12_000;
/// How long a request may wait while a slot is free, once the instances have recovered.
const IDLE_LIMIT_MS: u64 = 1_500;
pub(super) const DOMAINS: [&str; 2] = ["north", "south"];
pub(super) const ENTRIES_PER_DOMAIN: usize = 3;

#[derive(Default)]
struct Upstream {
    /// The end time of each running request, by instance and request.
    running: BTreeMap<(usize, u64), u64>,
    /// The number of running requests at each step, from which delayed reports are made.
    history: Vec<u32>,
}

struct Host {
    node: Option<Node>,
    frozen: bool,
    /// Messages that arrived while the instance was frozen.
    inbox: Vec<(Instance, Message)>,
    /// Requests whose answers arrived while the instance was frozen.
    ended: Vec<u64>,
    waiting: BTreeSet<u64>,
}

pub(super) struct Simulation {
    pub(super) now: u64,
    random: u64,
    /// The slots of each upstream. No upstream warms up, so any further request oversells it.
    slot_limit: u32,
    /// The revision of the document in force.
    pub(super) document_revision: u64,
    /// The upstream name of each failure domain.
    upstream_names: [UpstreamName; 2],
    hosts: Vec<Host>,
    network: BTreeMap<(u64, u64), (Instance, Instance, Message)>,
    sent: u64,
    upstreams: Vec<Upstream>,
    pub(super) is_partitioned: bool,
    /// The instance that is cut off from all others, if any.
    pub(super) isolated: Option<usize>,
    /// Whether the injected faults include isolating single instances.
    pub(super) isolates_instances: bool,
    pub(super) faults_enabled: bool,
    /// Whether requests arrive only in the north.
    pub(super) only_north: bool,
    next_request: u64,
    incarnation: u64,
    idle_since: Option<u64>,
    /// The service that each lease holder last counted for each organisation, by the holder's
    /// instance and term and by the failure domain that gave the service.
    served: BTreeMap<(usize, u64, usize, OrganisationTag), i64>,
    pub(super) answered: u64,
    /// The number of requests started at upstreams, by entry.
    pub(super) started: BTreeMap<usize, u64>,
}

pub(super) fn name(host: usize) -> Instance {
    Instance::from(format!("entry-{host}").as_str())
}

fn domain_of(host: usize) -> usize {
    host / ENTRIES_PER_DOMAIN
}

fn settings(host: usize) -> Settings {
    let address = "127.0.0.1:1".parse().expect("an address");
    let mut peers: Vec<Peer> = (0..DOMAINS.len() * ENTRIES_PER_DOMAIN)
        .map(|n| Peer {
            instance: name(n),
            address,
            failure_domain: DOMAINS[domain_of(n)].into(),
            roles: vec![Role::Entry],
        })
        .collect();
    peers.push(Peer {
        instance: "control".into(),
        address,
        failure_domain: "north".into(),
        roles: vec![Role::Control],
    });
    Settings {
        instance: name(host),
        peers,
        caller_address: Some(address),
        operator_address: address,
        data: None,
        fleet_key: FLEET_KEY.to_owned(),
        platform_list: "http://127.0.0.1:1/".to_owned(),
        max_requests: 100,
        max_connections: 4_000,
        body_memory_mb: 64,
        static_shares: false,
    }
}

fn state(asked: Millis, slot_limit: u32, revision: u64) -> Message {
    let rest = format!(
        "slots: {{cold: {slot_limit}, warm: {slot_limit}}}\nlimits: {{deadline_ms: 7000}}\n"
    );
    let text = document("tutor", "model-engine", &[("alder", 1), ("birch", 3)], &rest);
    let stored = StoredDocument { service: "tutor".into(), revision, index: revision, text };
    Message::Record(RecordMessage::State {
        index: revision,
        since: 0,
        asked: Some(asked),
        age: Some(Millis::ZERO),
        documents: vec![stored],
        domains: Vec::new(),
        upstreams: Vec::new(),
        orders: Vec::new(),
        configuration: None,
        rollouts: Vec::new(),
    })
}

impl Simulation {
    /// Creates a simulation with random faults and two slots per upstream.
    pub(super) fn new(seed: u64) -> Simulation {
        Simulation::with(seed, 2, DOMAINS.map(|d| format!("engine-{d}").as_str().into()))
    }

    /// Creates a simulation of upstreams with these names and `slot_limit` slots each.
    pub(super) fn with(
        seed: u64,
        slot_limit: u32,
        upstream_names: [UpstreamName; 2],
    ) -> Simulation {
        let hosts = (0..DOMAINS.len() * ENTRIES_PER_DOMAIN).map(|_| Host {
            node: None,
            frozen: false,
            inbox: Vec::new(),
            ended: Vec::new(),
            waiting: BTreeSet::new(),
        });
        let mut simulation = Simulation {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            slot_limit,
            document_revision: 1,
            upstream_names,
            hosts: hosts.collect(),
            network: BTreeMap::new(),
            sent: 0,
            upstreams: (0..DOMAINS.len()).map(|_| Upstream::default()).collect(),
            is_partitioned: false,
            isolated: None,
            isolates_instances: false,
            only_north: false,
            faults_enabled: true,
            next_request: 1,
            incarnation: 1,
            idle_since: None,
            answered: 0,
            started: BTreeMap::new(),
            served: BTreeMap::new(),
        };
        for host in 0..simulation.hosts.len() {
            simulation.restart(host);
        }
        simulation
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn restart(&mut self, host: usize) {
        self.incarnation = (self.incarnation + 1).max(self.now);
        let now = Millis(self.now);
        let node = Node::new(now, settings(host), self.incarnation, self.incarnation, None);
        self.hosts[host].node = Some(node);
    }

    pub(super) fn kill(&mut self, host: usize) {
        self.hosts[host].node = None;
        self.hosts[host].frozen = false;
        self.hosts[host].inbox.clear();
        self.hosts[host].ended.clear();
        self.hosts[host].waiting.clear();
        for upstream in &mut self.upstreams {
            upstream.running.retain(|(owner, _), _| *owner != host);
        }
    }

    fn input(&mut self, host: usize, input: Input) {
        let now = Millis(self.now);
        let Some(node) = &mut self.hosts[host].node else { return };
        let mut outputs = Vec::new();
        node.handle(now, 0, input, &mut outputs);
        node.flush(now, 0, &mut outputs);
        for output in outputs {
            self.process_output(host, output);
        }
    }

    fn process_output(&mut self, host: usize, output: Output) {
        match output {
            Output::Send(to, Message::Record(RecordMessage::Pull { asked, .. })) => {
                self.answer_pull(host, to, asked);
            }
            Output::Send(to, message) => self.dial(host, to, message),
            Output::Start { id, upstream, .. } => {
                let length = 50 + self.random_below(400);
                let domain = self.upstream_names.iter().position(|name| *name == upstream);
                let ends = self.now + length;
                *self.started.entry(host).or_default() += 1;
                let upstream = &mut self.upstreams[domain.expect("a known upstream")];
                upstream.running.insert((host, id), ends);
                self.hosts[host].waiting.remove(&id);
            }
            Output::GiveUp { id, .. } => {
                self.hosts[host].waiting.remove(&id);
                self.answered += 1;
            }
            _ => {}
        }
    }

    /// Sends a message, or immediately reports to the sender that dialling the target failed.
    fn dial(&mut self, host: usize, to: Instance, message: Message) {
        let from = name(host);
        let is_blocked = self.is_blocked(&from, &to);
        let target = (0..self.hosts.len()).find(|n| name(*n) == to);
        let refused = target.is_some_and(|n| self.hosts[n].node.is_none());
        if is_blocked || refused {
            self.input(host, Input::DialFailed { instance: to, refused: refused && !is_blocked });
        } else {
            self.send(from, to, message);
        }
    }

    /// Answers on behalf of the control instance, which a partition makes unreachable from the
    /// south.
    fn answer_pull(&mut self, host: usize, to: Instance, asked: Millis) {
        let is_unreachable =
            self.is_partitioned && domain_of(host) == 1 || self.isolated == Some(host);
        if to.as_str() == "control" && !is_unreachable {
            self.send(to, name(host), state(asked, self.slot_limit, self.document_revision));
        }
    }

    fn send(&mut self, from: Instance, to: Instance, message: Message) {
        let copies = if !self.faults_enabled {
            1
        } else {
            match self.random_below(100) {
                0..4 => 0,
                4..6 => 2,
                _ => 1,
            }
        };
        for _ in 0..copies {
            let slow = self.faults_enabled && self.random_below(50) == 0;
            let delay = if slow { self.random_below(1_500) } else { 1 + self.random_below(15) };
            self.sent += 1;
            self.network
                .insert((self.now + delay, self.sent), (from.clone(), to.clone(), message.clone()));
        }
    }

    fn is_blocked(&self, from: &Instance, to: &Instance) -> bool {
        let host = |i: &Instance| (0..self.hosts.len()).find(|n| name(*n) == *i);
        let (from, to) = (host(from), host(to));
        let is_unreachable =
            self.isolated.is_some() && (from == self.isolated || to == self.isolated);
        let domain = |host: Option<usize>| host.map(domain_of);
        is_unreachable || self.is_partitioned && from.is_some() && domain(from) != domain(to)
    }

    fn deliver(&mut self) {
        while let Some(((due, _), _)) = self.network.first_key_value() {
            if *due > self.now {
                return;
            }
            let Some((_, (from, to, message))) = self.network.pop_first() else { return };
            if self.is_blocked(&from, &to) {
                continue;
            }
            let Some(host) = (0..self.hosts.len()).find(|n| name(*n) == to) else { continue };
            if self.hosts[host].frozen {
                self.hosts[host].inbox.push((from, message));
            } else {
                self.input(host, Input::Received(from, message));
            }
        }
    }

    /// Freezes an instance; messages to it are queued until it is thawed.
    pub(super) fn freeze(&mut self, host: usize) {
        self.hosts[host].frozen = true;
    }

    pub(super) fn thaw(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        for id in std::mem::take(&mut self.hosts[host].ended) {
            self.end_attempt(host, id);
        }
        for (from, message) in std::mem::take(&mut self.hosts[host].inbox) {
            self.input(host, Input::Received(from, message));
        }
    }

    fn inject_faults(&mut self) {
        let host = self.random_below(self.hosts.len() as u64) as usize;
        match self.random_below(1_200) {
            0 => self.kill(host),
            1..5 if self.hosts[host].node.is_none() => self.restart(host),
            5 => self.hosts[host].frozen = true,
            6..12 if self.hosts[host].frozen => self.thaw(host),
            12 => self.is_partitioned = true,
            13..17 => self.is_partitioned = false,
            17..19 if self.isolates_instances && self.isolated.is_none() => {
                self.isolated = Some(host)
            }
            19..23 if self.isolates_instances => self.isolated = None,
            _ => {}
        }
    }

    pub(super) fn heal(&mut self) {
        self.isolated = None;
        self.faults_enabled = false;
        self.is_partitioned = false;
        for host in 0..self.hosts.len() {
            if self.hosts[host].frozen {
                self.thaw(host);
            }
            if self.hosts[host].node.is_none() {
                self.restart(host);
            }
        }
    }

    fn end_requests(&mut self) {
        for domain in 0..self.upstreams.len() {
            let now = self.now;
            let ended: Vec<(usize, u64)> = self.upstreams[domain]
                .running
                .iter()
                .filter(|(_, ends)| **ends <= now)
                .map(|(key, _)| *key)
                .collect();
            for (host, id) in ended {
                self.upstreams[domain].running.remove(&(host, id));
                self.answered += 1;
                if self.hosts[host].frozen {
                    self.hosts[host].ended.push(id);
                } else {
                    self.end_attempt(host, id);
                }
            }
        }
    }

    fn end_attempt(&mut self, host: usize, id: u64) {
        let end = AttemptEnd::Completed;
        let input = Input::AttemptEnded { id, end, cost: 10, first_byte_ms: Some(5), answer: None };
        self.input(host, input);
    }

    fn publish_listing(&mut self) {
        for (domain, upstream) in self.upstream_names.clone().into_iter().enumerate() {
            let history = &self.upstreams[domain].history;
            let back = (REPORT_LAG_MS / STEP_MS) as usize;
            let Some(running) = history.len().checked_sub(back + 1).map(|at| history[at]) else {
                continue;
            };
            let listed = Listed {
                upstream,
                address: "127.0.0.1:1".parse().expect("an address"),
                leaving: false,
                incarnation: 1,
                report: Some(LoadReport { running, warm: false, age_ms: REPORT_LAG_MS }),
                version: None,
            };
            for host in (0..self.hosts.len()).filter(|host| domain_of(*host) == domain) {
                if !self.hosts[host].frozen {
                    self.input(host, Input::Listed("tutor".into(), vec![listed.clone()]));
                }
            }
        }
    }

    fn submit_request(&mut self) {
        // Most requests arrive in the north, so some of them must be served in the south.
        let host =
            self.random_below(if self.only_north { ENTRIES_PER_DOMAIN as u64 } else { 4 }) as usize;
        if self.hosts[host].node.is_none() || self.hosts[host].frozen {
            return;
        }
        let id = self.next_request;
        self.next_request += 1;
        self.hosts[host].waiting.insert(id);
        let organisation = ORGANISATIONS[self.random_below(2) as usize];
        let arrival = Arrival {
            id,
            digest: RequestDigest(id),
            service: "tutor".into(),
            organisation: organisation.into(),
            bytes: 1,
            idempotent: true,
            needs_claim: false,
        };
        self.input(host, Input::Arrived(arrival, None));
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for upstream in &self.upstreams {
            let running = upstream.running.len();
            prop_assert!(
                running <= self.slot_limit as usize,
                "{running} requests run at {} ms",
                self.now
            );
        }
        for domain in 0..DOMAINS.len() {
            let service = Service::from("tutor");
            let holds = |host: &Host| {
                let dispatcher = host.node.as_ref().and_then(|n| n.dispatchers().get(&service));
                !host.frozen && dispatcher.is_some()
            };
            let of_domain = self.hosts.iter().enumerate().filter(|(n, _)| domain_of(*n) == domain);
            let holders = of_domain.filter(|(_, host)| holds(host)).count();
            prop_assert!(holders <= 1, "{holders} lease holders at {} ms", self.now);
        }
        for host in self.hosts.iter().filter_map(|host| host.node.as_ref()) {
            for dispatcher in host.dispatchers().values() {
                let held = dispatcher.check_invariants();
                prop_assert!(held.is_ok(), "{held:?} at {} ms", self.now);
            }
        }
        Ok(())
    }

    /// Checks that no dispatcher's count of an organisation's service decreases.
    fn check_counters(&mut self) -> Result<(), TestCaseError> {
        for (holder, host) in self.hosts.iter().enumerate() {
            let dispatchers = host.node.iter().flat_map(|node| node.dispatchers().values());
            for dispatcher in dispatchers {
                let counters = dispatcher.counters();
                let here = ORGANISATIONS
                    .map(|o| (0, Organisation::from(o).tag(), counters.served(&o.into())));
                let elsewhere = DOMAINS.iter().enumerate().flat_map(|(n, domain)| {
                    let remote = counters.remote(&(*domain).into());
                    remote.into_iter().map(move |ServiceReceived(o, total, _)| (1 + n, o, total))
                });
                for (part, organisation, now) in here.into_iter().chain(elsewhere) {
                    let key = (holder, dispatcher.term(), part, organisation);
                    let before = *self.served.get(&key).unwrap_or(&0);
                    prop_assert!(now >= before, "{key:?}: {before} became {now}");
                    self.served.insert(key, now);
                }
            }
        }
        Ok(())
    }

    /// Returns the number of requests that run at the north's upstream.
    pub(super) fn running(&self) -> usize {
        self.upstreams[0].running.len()
    }

    /// Checks that no request waits for longer than `IDLE_LIMIT_MS` while a slot is free.
    pub(super) fn check_idle(&mut self) -> Result<(), TestCaseError> {
        let waiting = self.hosts.iter().any(|host| !host.waiting.is_empty());
        let free =
            self.upstreams.iter().any(|upstream| upstream.running.len() < self.slot_limit as usize);
        if !(waiting && free) {
            self.idle_since = None;
            return Ok(());
        }
        let since = *self.idle_since.get_or_insert(self.now);
        prop_assert!(self.now - since <= IDLE_LIMIT_MS, "a request waits while a slot is free");
        Ok(())
    }

    pub(super) fn step(&mut self) -> Result<(), TestCaseError> {
        self.now += STEP_MS;
        if self.faults_enabled {
            self.inject_faults();
        }
        self.deliver();
        self.end_requests();
        if self.now.is_multiple_of(400) {
            self.publish_listing();
        }
        let waiting: usize = self.hosts.iter().map(|host| host.waiting.len()).sum();
        if self.random_below(4) == 0 && waiting < 30 {
            self.submit_request();
        }
        for host in 0..self.hosts.len() {
            if !self.hosts[host].frozen {
                self.input(host, Input::Tick);
            }
        }
        for upstream in &mut self.upstreams {
            upstream.history.push(upstream.running.len() as u32);
        }
        self.check_counters()?;
        self.check()
    }
}
