//! Whole instances, driven message by message under random faults.
//!
//! Six entries in two failure domains share one cold upstream in each. Messages are delayed,
//! dropped, doubled and overtake each other; instances are killed, restarted empty, stopped and
//! thawed; the failure domains are cut off from each other. The upstreams count what really runs.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_support::fleet::{FLEET_KEY, document};
use kingcupgrade::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        entry::{Arrival, AttemptEnd},
        node::{Input, Node, Output},
    },
    core::{
        Instance, Millis, Organisation, OrganisationTag, Service, Settings,
        settings::{Peer, Role},
    },
    protocol::{
        Message,
        dispatch::Served,
        record::{RecordMessage, StoredDocument},
    },
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Slots of each upstream; it never warms up, so one request more is one too many.
const COLD: u32 = 2;
/// How old load reports are.
const REPORT_LAG: u64 = 300;
/// The step of time.
const ORGANISATIONS: [&str; 2] = ["alder", "birch"];
const STEP: u64 = 10;
/// How long faults happen.
const FAULTY: u64 = 15_000;
/// How long the instances may take to recover before the last checks begin.
const SETTLING: u64 = 12_000;
/// How long a request may wait beside a free slot once all is settled.
const IDLE_LIMIT: u64 = 1_500;
const DOMAINS: [&str; 2] = ["north", "south"];
const PER_DOMAIN: usize = 3;

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

struct World {
    now: u64,
    random: u64,
    hosts: Vec<Host>,
    network: BTreeMap<(u64, u64), (Instance, Instance, Message)>,
    sent: u64,
    upstreams: Vec<Upstream>,
    cut: bool,
    faulty: bool,
    next_request: u64,
    incarnation: u64,
    idle_since: Option<u64>,
    /// What each holder of a lease last counted of each organisation's service, by its term and by
    /// where the service was given.
    served: BTreeMap<(usize, u64, usize, OrganisationTag), i64>,
    answered: u64,
}

fn name(host: usize) -> Instance {
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

fn state(asked: Millis) -> Message {
    let rest = format!("slots: {{cold: {COLD}, warm: {COLD}}}\nlimits: {{deadline_ms: 7000}}\n");
    let text = document("tutor", "model-engine", &[("alder", 1), ("birch", 3)], &rest);
    let stored = StoredDocument { service: "tutor".into(), revision: 1, index: 1, text };
    Message::Record(RecordMessage::State {
        index: 1,
        since: 0,
        asked: Some(asked),
        age: Some(Millis::ZERO),
        documents: vec![stored],
        domains: Vec::new(),
        upstreams: Vec::new(),
        orders: Vec::new(),
        whole: None,
    })
}

impl World {
    fn new(seed: u64) -> World {
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
            hosts: hosts.collect(),
            network: BTreeMap::new(),
            sent: 0,
            upstreams: (0..DOMAINS.len()).map(|_| Upstream::default()).collect(),
            cut: false,
            faulty: true,
            next_request: 1,
            incarnation: 1,
            idle_since: None,
            answered: 0,
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

    fn kill(&mut self, host: usize) {
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
                let place = DOMAINS.iter().position(|d| upstream.as_str().ends_with(d));
                let ends = self.now + length;
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
        if to.as_str() == "control" && !(self.cut && domain_of(host) == 1) {
            self.post(to, name(host), state(asked));
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
        let place = |i: &Instance| (0..self.hosts.len()).find(|n| name(*n) == *i).map(domain_of);
        self.cut && place(from).is_some() && place(from) != place(to)
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

    fn thaw(&mut self, host: usize) {
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
            _ => {}
        }
    }

    fn heal(&mut self) {
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
        for (place, domain) in DOMAINS.into_iter().enumerate() {
            let history = &self.upstreams[place].history;
            let back = (REPORT_LAG / STEP) as usize;
            let Some(running) = history.len().checked_sub(back + 1).map(|at| history[at]) else {
                continue;
            };
            let listed = Listed {
                upstream: format!("engine-{domain}").as_str().into(),
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
        let host = self.below(4) as usize % self.hosts.len();
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
            prop_assert!(running <= COLD as usize, "{running} run at {} ms", self.now);
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
                    remote.into_iter().map(move |Served(o, total, _)| (1 + n, o, total))
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

    /// Checks that nothing has been waiting beside a free slot for long.
    fn check_idle(&mut self) -> Result<(), TestCaseError> {
        let waiting = self.hosts.iter().any(|host| !host.waiting.is_empty());
        let free = self.upstreams.iter().any(|upstream| upstream.running.len() < COLD as usize);
        if !(waiting && free) {
            self.idle_since = None;
            return Ok(());
        }
        let since = *self.idle_since.get_or_insert(self.now);
        prop_assert!(self.now - since <= IDLE_LIMIT, "a free slot beside a waiting request");
        Ok(())
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
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

fn run(seed: u64) -> Result<(), TestCaseError> {
    let mut world = World::new(seed);
    while world.now < FAULTY {
        world.step()?;
    }
    world.heal();
    while world.now < FAULTY + SETTLING {
        world.step()?;
    }
    let before = world.answered;
    while world.now < FAULTY + SETTLING + 8_000 {
        world.step()?;
        world.check_idle()?;
    }
    prop_assert!(world.answered > before, "nothing is served after the faults");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Under any of these faults, a slot given twice makes a cold upstream fall over, two holders
    // give every slot twice, and a slot lost from the books leaves callers waiting beside it.
    #[test]
    fn no_slot_is_oversold_and_none_is_lost(seed in any::<u64>()) {
        run(seed)?;
    }
}

// What each of these seeds first showed: a grant message that arrived twice ran two requests in one
// slot; two entries that each kept part of the votes left a pool without dispatcher for good; a
// failure domain whose entries all restarted was ignored by its neighbours for its lower term; an
// entry stopped for longer than its dispatcher waited used its old grants when it was thawed; a
// silent entry's request was hidden in a load report by a grant that had not begun to run; a static
// share began in the moment another entry won the lease; the end of a session overtook its beginning.
#[test]
fn seeds_that_once_failed_hold() {
    let seeds = [
        2_963_873_021_566_191_556,
        7_506_199_382_347_824_932,
        4_160_777_665_419_217_588,
        8_275_734_748_400_450_380,
        15_331_293_963_483_048_242,
        12_707_757_028_555_449_445,
        8_034_581_863_215_701_646,
    ];
    for seed in seeds {
        run(seed).unwrap_or_else(|err| panic!("seed {seed}: {err}"));
    }
}
