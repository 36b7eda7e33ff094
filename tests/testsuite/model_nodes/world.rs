//! The instances, the network between them, and the upstreams that count what runs.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_support::fleet::{FLEET_KEY, document};
use kingcupgrade::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        entry::{Arrival, AttemptEnd},
        node::{Input, Node, Output},
    },
    core::{
        Instance, Millis, Organisation, OrganisationTag, Service, Settings, UpstreamName,
        settings::{Peer, Role},
    },
    protocol::{
        Message,
        dispatch::ServiceReceived,
        record::{RecordMessage, StoredDocument},
    },
};
use proptest::{prelude::*, prop_assert};

/// How old load reports are.
const REPORT_LAG: u64 = 300;
const ORGANISATIONS: [&str; 2] = ["alder", "birch"];
/// The step of time.
const STEP: u64 = 10;
/// How long faults happen.
pub(super) const FAULTY: u64 = 15_000;
/// How long the instances may take to recover before the last checks begin.
pub(super) const SETTLING: u64 = 12_000;
/// How long a request may wait beside a free slot once all is settled.
const IDLE_LIMIT: u64 = 1_500;
pub(super) const DOMAINS: [&str; 2] = ["north", "south"];
pub(super) const PER_DOMAIN: usize = 3;

#[derive(Default)]
struct Upstream {
    /// Requests that run, by instance and request, and when each ends.
    running: BTreeMap<(usize, u64), u64>,
    /// The count at each step, for lagging reports.
    history: Vec<u32>,
}

struct Host {
    node: Option<Node>,
    frozen: bool,
    /// Messages that arrive while it is frozen.
    inbox: Vec<(Instance, Message)>,
    /// Requests whose answers arrive while it is frozen.
    ended: Vec<u64>,
    waiting: BTreeSet<u64>,
}

pub(super) struct World {
    pub(super) now: u64,
    random: u64,
    /// Slots of each upstream; none warms up, so one request more is one too many.
    cold: u32,
    /// The revision of the document in force.
    pub(super) revision: u64,
    /// The upstream of each failure domain.
    names: [UpstreamName; 2],
    hosts: Vec<Host>,
    network: BTreeMap<(u64, u64), (Instance, Instance, Message)>,
    sent: u64,
    upstreams: Vec<Upstream>,
    pub(super) cut: bool,
    /// An instance that nobody hears and that hears nobody.
    pub(super) isolated: Option<usize>,
    /// Whether single instances are isolated among other faults.
    pub(super) isolates: bool,
    pub(super) faulty: bool,
    /// Whether requests arrive in the north only.
    pub(super) only_north: bool,
    next_request: u64,
    incarnation: u64,
    idle_since: Option<u64>,
    /// What each holder of a lease last counted of each organisation's service, by its term and by
    /// where the service was given.
    served: BTreeMap<(usize, u64, usize, OrganisationTag), i64>,
    pub(super) answered: u64,
    /// Requests begun at upstreams, by entry.
    pub(super) begun: BTreeMap<usize, u64>,
}

pub(super) fn name(host: usize) -> Instance {
    Instance::from(format!("entry-{host}").as_str())
}

fn domain_of(host: usize) -> usize {
    host / PER_DOMAIN
}

fn settings(host: usize) -> Settings {
    let address = "127.0.0.1:1".parse().expect("an address");
    let mut peers: Vec<Peer> = (0..DOMAINS.len() * PER_DOMAIN)
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
        static_shares: false,
    }
}

fn state(asked: Millis, cold: u32, revision: u64) -> Message {
    let rest = format!("slots: {{cold: {cold}, warm: {cold}}}\nlimits: {{deadline_ms: 7000}}\n");
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
    })
}

impl World {
    /// Makes a world in which random faults happen to upstreams that bear two requests each.
    pub(super) fn new(seed: u64) -> World {
        World::with(seed, 2, DOMAINS.map(|d| format!("engine-{d}").as_str().into()))
    }

    /// Makes a world of upstreams with these names, that bear `cold` requests each.
    pub(super) fn with(seed: u64, cold: u32, names: [UpstreamName; 2]) -> World {
        let hosts = (0..DOMAINS.len() * PER_DOMAIN).map(|_| Host {
            node: None,
            frozen: false,
            inbox: Vec::new(),
            ended: Vec::new(),
            waiting: BTreeSet::new(),
        });
        let mut world = World {
            now: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            cold,
            revision: 1,
            names,
            hosts: hosts.collect(),
            network: BTreeMap::new(),
            sent: 0,
            upstreams: (0..DOMAINS.len()).map(|_| Upstream::default()).collect(),
            cut: false,
            isolated: None,
            isolates: false,
            only_north: false,
            faulty: true,
            next_request: 1,
            incarnation: 1,
            idle_since: None,
            answered: 0,
            begun: BTreeMap::new(),
            served: BTreeMap::new(),
        };
        for host in 0..world.hosts.len() {
            world.restart(host);
        }
        world
    }

    fn below(&mut self, bound: u64) -> u64 {
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
            self.carry_out(host, output);
        }
    }

    fn carry_out(&mut self, host: usize, output: Output) {
        match output {
            Output::Send(to, Message::Record(RecordMessage::Pull { asked, .. })) => {
                self.answer_pull(host, to, asked);
            }
            Output::Send(to, message) => self.dial(host, to, message),
            Output::Start { id, upstream, .. } => {
                let length = 50 + self.below(400);
                let place = self.names.iter().position(|name| *name == upstream);
                let ends = self.now + length;
                *self.begun.entry(host).or_default() += 1;
                let upstream = &mut self.upstreams[place.expect("a known upstream")];
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

    /// Sends a message, or reports at once that the other instance can't be dialled.
    fn dial(&mut self, host: usize, to: Instance, message: Message) {
        let from = name(host);
        let is_cut = self.is_cut(&from, &to);
        let target = (0..self.hosts.len()).find(|n| name(*n) == to);
        let refused = target.is_some_and(|n| self.hosts[n].node.is_none());
        if is_cut || refused {
            self.input(host, Input::DialFailed { instance: to, refused: refused && !is_cut });
        } else {
            self.post(from, to, message);
        }
    }

    /// Answers for the control instance, which the south can't reach over a cut.
    fn answer_pull(&mut self, host: usize, to: Instance, asked: Millis) {
        let is_apart = self.cut && domain_of(host) == 1 || self.isolated == Some(host);
        if to.as_str() == "control" && !is_apart {
            self.post(to, name(host), state(asked, self.cold, self.revision));
        }
    }

    fn post(&mut self, from: Instance, to: Instance, message: Message) {
        let copies = if !self.faulty {
            1
        } else {
            match self.below(100) {
                0..4 => 0,
                4..6 => 2,
                _ => 1,
            }
        };
        for _ in 0..copies {
            let slow = self.faulty && self.below(50) == 0;
            let delay = if slow { self.below(1_500) } else { 1 + self.below(15) };
            self.sent += 1;
            self.network
                .insert((self.now + delay, self.sent), (from.clone(), to.clone(), message.clone()));
        }
    }

    fn is_cut(&self, from: &Instance, to: &Instance) -> bool {
        let host = |i: &Instance| (0..self.hosts.len()).find(|n| name(*n) == *i);
        let (from, to) = (host(from), host(to));
        let is_apart = self.isolated.is_some() && (from == self.isolated || to == self.isolated);
        let place = |host: Option<usize>| host.map(domain_of);
        is_apart || self.cut && from.is_some() && place(from) != place(to)
    }

    fn deliver(&mut self) {
        while let Some(((due, _), _)) = self.network.first_key_value() {
            if *due > self.now {
                return;
            }
            let Some((_, (from, to, message))) = self.network.pop_first() else { return };
            if self.is_cut(&from, &to) {
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

    /// Freezes an instance: its messages wait for it.
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

    fn inject(&mut self) {
        let host = self.below(self.hosts.len() as u64) as usize;
        match self.below(1_200) {
            0 => self.kill(host),
            1..5 if self.hosts[host].node.is_none() => self.restart(host),
            5 => self.hosts[host].frozen = true,
            6..12 if self.hosts[host].frozen => self.thaw(host),
            12 => self.cut = true,
            13..17 => self.cut = false,
            17..19 if self.isolates && self.isolated.is_none() => self.isolated = Some(host),
            19..23 if self.isolates => self.isolated = None,
            _ => {}
        }
    }

    pub(super) fn heal(&mut self) {
        self.isolated = None;
        self.faulty = false;
        self.cut = false;
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
        for place in 0..self.upstreams.len() {
            let now = self.now;
            let ended: Vec<(usize, u64)> = self.upstreams[place]
                .running
                .iter()
                .filter(|(_, ends)| **ends <= now)
                .map(|(key, _)| *key)
                .collect();
            for (host, id) in ended {
                self.upstreams[place].running.remove(&(host, id));
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

    fn list(&mut self) {
        for (place, upstream) in self.names.clone().into_iter().enumerate() {
            let history = &self.upstreams[place].history;
            let back = (REPORT_LAG / STEP) as usize;
            let Some(running) = history.len().checked_sub(back + 1).map(|at| history[at]) else {
                continue;
            };
            let listed = Listed {
                upstream,
                address: "127.0.0.1:1".parse().expect("an address"),
                leaving: false,
                incarnation: 1,
                report: Some(LoadReport { running, warm: false, age_ms: REPORT_LAG }),
            };
            for host in (0..self.hosts.len()).filter(|host| domain_of(*host) == place) {
                if !self.hosts[host].frozen {
                    self.input(host, Input::Listed("tutor".into(), vec![listed.clone()]));
                }
            }
        }
    }

    fn arrive(&mut self) {
        // Most demand in the north, so that it must be served in the south as well.
        let host = self.below(if self.only_north { PER_DOMAIN as u64 } else { 4 }) as usize;
        if self.hosts[host].node.is_none() || self.hosts[host].frozen {
            return;
        }
        let id = self.next_request;
        self.next_request += 1;
        self.hosts[host].waiting.insert(id);
        let organisation = ORGANISATIONS[self.below(2) as usize];
        let arrival = Arrival {
            id,
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
            prop_assert!(running <= self.cold as usize, "{running} run at {} ms", self.now);
        }
        for place in 0..DOMAINS.len() {
            let service = Service::from("tutor");
            let holds = |host: &Host| {
                let dispatcher = host.node.as_ref().and_then(|n| n.dispatchers().get(&service));
                !host.frozen && dispatcher.is_some()
            };
            let of_domain = self.hosts.iter().enumerate().filter(|(n, _)| domain_of(*n) == place);
            let holders = of_domain.filter(|(_, host)| holds(host)).count();
            prop_assert!(holders <= 1, "{holders} holders at {} ms", self.now);
        }
        for host in self.hosts.iter().filter_map(|host| host.node.as_ref()) {
            for dispatcher in host.dispatchers().values() {
                let held = dispatcher.check_invariants();
                prop_assert!(held.is_ok(), "{held:?} at {} ms", self.now);
            }
        }
        Ok(())
    }

    /// Checks that no dispatcher counts less of anybody's service than it did before.
    fn check_counters(&mut self) -> Result<(), TestCaseError> {
        for (place, host) in self.hosts.iter().enumerate() {
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
                    let key = (place, dispatcher.term(), part, organisation);
                    let before = *self.served.get(&key).unwrap_or(&0);
                    prop_assert!(now >= before, "{key:?}: {before} became {now}");
                    self.served.insert(key, now);
                }
            }
        }
        Ok(())
    }

    /// Returns how many requests run at the upstream of the north.
    pub(super) fn running(&self) -> usize {
        self.upstreams[0].running.len()
    }

    /// Checks that nothing has been waiting beside a free slot for long.
    pub(super) fn check_idle(&mut self) -> Result<(), TestCaseError> {
        let waiting = self.hosts.iter().any(|host| !host.waiting.is_empty());
        let free =
            self.upstreams.iter().any(|upstream| upstream.running.len() < self.cold as usize);
        if !(waiting && free) {
            self.idle_since = None;
            return Ok(());
        }
        let since = *self.idle_since.get_or_insert(self.now);
        prop_assert!(self.now - since <= IDLE_LIMIT, "a free slot beside a waiting request");
        Ok(())
    }

    pub(super) fn step(&mut self) -> Result<(), TestCaseError> {
        self.now += STEP;
        if self.faulty {
            self.inject();
        }
        self.deliver();
        self.end_requests();
        if self.now.is_multiple_of(400) {
            self.list();
        }
        let waiting: usize = self.hosts.iter().map(|host| host.waiting.len()).sum();
        if self.below(4) == 0 && waiting < 30 {
            self.arrive();
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
