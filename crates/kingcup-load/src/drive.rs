//! One whole entry among 410, driven by the messages of its size, without any process or socket.
//!
//! The node is the real one. Everybody else is played: the voters, the record, the dispatchers of
//! the pools it calls, the entries that call the pools it dispatches, and their dispatchers in the
//! other failure domains. What it sends is put into frames and counted by kind; what its decisions
//! cost is the processor time of the node alone, without threads and system calls.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use kingcupgrade::{
    coordination::{
        dispatcher::slots::{Listed, LoadReport},
        entry::{Arrival, AttemptEnd},
        node::{Input, Node, Output},
    },
    core::{Instance, Millis, Organisation, Service, Settings, settings::Role},
    protocol::{
        Message, Pool,
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, Grant, GrantId, GrantOutcome,
            QueuedRequests, ServiceReceived, Session, SessionTag,
        },
        frame::Channel,
        lease::{Claim, LeaseMessage},
        record::{RecordMessage, StoredDocument},
    },
};
use serde_json::json;

use crate::synthetic::{self, DOMAINS, FLEET_KEY, SERVICES};

const ENTRIES: usize = 405;
const CONTROLS: usize = 5;
/// Organisations of each service, and how many of them are backlogged.
const MEMBERS: usize = 129;
const BACKLOGGED: usize = 13;
/// Pools the node dispatches: 494 over 405 entries are 1.22; one that is unlucky has two.
const HELD: usize = 2;
/// Requests a second of the node's own callers; 48 slots used once a second give each pool 48.
const OWN_RATE: usize = 57;
const UPSTREAMS: usize = 24;
/// How long a request runs. At the size it is 19 s; what is sent for one does not depend on it.
const RUN: u64 = 1_000;
const COST: u32 = 313;
/// The time between two steps, and the time measured.
const STEP: u64 = 5;
const RUN_UP: u64 = 30_000;
const SPAN: u64 = 60_000;
const TICK: u64 = 25;

fn address() -> SocketAddr {
    SocketAddr::from(([10, 20, 30, 40], 7_000))
}

fn entry(n: usize) -> Instance {
    format!("entry-{n:03}").as_str().into()
}

fn domain(n: usize) -> String {
    format!("domain-{:02}", n % DOMAINS)
}

fn service(n: usize) -> Service {
    format!("service-{n:02}").as_str().into()
}

fn organisation(n: usize) -> Organisation {
    format!("organisation-{n:05}").as_str().into()
}

fn settings() -> Settings {
    let entries = synthetic::peers("entry", ENTRIES, Role::Entry, address());
    let controls = synthetic::peers("control", CONTROLS, Role::Control, address());
    synthetic::settings(entries.chain(controls), address())
}

fn documents() -> Vec<StoredDocument> {
    // Each slot is used once in RUN; so many give the pool its rate.
    synthetic::documents(MEMBERS, "slots: {cold: 2, warm: 2}\nlimits: {queue_requests: 1000}\n")
}

/// An entry that calls one of the node's pools.
struct Caller {
    seq: u64,
    received: u64,
    waiting: BTreeMap<Organisation, u32>,
    changed: BTreeSet<Organisation>,
    finished: Vec<FinishedGrant>,
    progress: Vec<(GrantId, u32)>,
}

/// A dispatcher elsewhere that the node's callers are served by.
#[derive(Default)]
struct Granter {
    session: Option<SessionTag>,
    last_report: u64,
    granted: u64,
    waiting: BTreeMap<Organisation, u32>,
}

struct Drive {
    now: u64,
    node: Node,
    channel: Channel,
    /// Messages under way to the node.
    inbox: VecDeque<(u64, Instance, Message)>,
    callers: BTreeMap<(usize, Instance), Caller>,
    granters: BTreeMap<Pool, Granter>,
    /// What ends when: requests of callers elsewhere, and of the node's own.
    running: VecDeque<(u64, (usize, Instance), GrantId)>,
    own: VecDeque<(u64, u64)>,
    /// What the node's own requests will have cost when.
    progress: Vec<(u64, u64, u32)>,
    next_request: u64,
    next_grant: u64,
    busy: Duration,
    bytes: BTreeMap<&'static str, usize>,
    messages: BTreeMap<&'static str, usize>,
    grants: usize,
    starts: usize,
}

impl Drive {
    fn new() -> Drive {
        Drive {
            now: 0,
            node: Node::new(Millis(0), settings(), 1, 1, None),
            channel: Channel::new(FLEET_KEY, [0; 16]),
            inbox: VecDeque::new(),
            callers: BTreeMap::new(),
            granters: BTreeMap::new(),
            running: VecDeque::new(),
            own: VecDeque::new(),
            progress: Vec::new(),
            next_request: 1,
            next_grant: 1,
            busy: Duration::ZERO,
            bytes: BTreeMap::new(),
            messages: BTreeMap::new(),
            grants: 0,
            starts: 0,
        }
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.node.handle(Millis(self.now), self.now, input, &mut out);
        self.node.flush(Millis(self.now), self.now, &mut out);
        self.busy += start.elapsed();
        for output in out {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send(to, message) => {
                let len = self.channel.seal(&message).len();
                *self.bytes.entry(message.kind()).or_default() += len;
                *self.messages.entry(message.kind()).or_default() += 1;
                self.answer(to, message);
            }
            Output::Start { id, .. } => {
                self.starts += 1;
                // As the relay does: 64, then each doubling, at even pace until the end.
                for cost in [64, 128, 256] {
                    let at = self.now + RUN * cost / u64::from(COST);
                    self.progress.push((at, id, cost as u32));
                }
                self.own.push_back((self.now + RUN, id));
            }
            _ => {}
        }
    }

    fn post(&mut self, from: Instance, message: Message) {
        self.inbox.push_back((self.now + STEP, from, message));
    }

    /// Answers as whoever a message went to.
    fn answer(&mut self, to: Instance, message: Message) {
        match message {
            Message::Lease(LeaseMessage::Request { round, claims }) => {
                let granted: Vec<Claim> = claims;
                let reply = LeaseMessage::Reply {
                    round,
                    granted,
                    refused: Vec::new(),
                    sharing: Vec::new(),
                };
                self.post(to, Message::Lease(reply));
            }
            Message::Record(RecordMessage::Pull { have, asked }) => {
                let documents = documents().into_iter().filter(|stored| stored.index > have);
                let state = RecordMessage::State {
                    index: SERVICES as u64,
                    since: 0,
                    asked: Some(asked),
                    age: Some(Millis::ZERO),
                    documents: if have < SERVICES as u64 {
                        documents.collect()
                    } else {
                        Vec::new()
                    },
                    domains: Vec::new(),
                    upstreams: Vec::new(),
                    orders: Vec::new(),
                    configuration: None,
                };
                self.post(to, Message::Record(state));
            }
            Message::Dispatch(message) => self.answer_dispatch(to, message),
            _ => {}
        }
    }

    fn answer_dispatch(&mut self, to: Instance, message: DispatchMessage) {
        let held = (0..HELD).find(|n| service(*n) == message.pool.0);
        match (message.body, held) {
            (DispatchBody::Grants { grants, .. }, Some(pool)) => {
                self.grants += grants.len();
                let Some(caller) = self.callers.get_mut(&(pool, to.clone())) else { return };
                caller.received += grants.len() as u64;
                for grant in grants {
                    let due = self.now + RUN;
                    self.running.push_back((due, (pool, to.clone()), grant.id));
                    // The backlogged stay so: the next request of theirs is there already.
                    let count = caller.waiting.entry(grant.organisation.clone()).or_default();
                    *count = count.saturating_sub(1);
                    if *count < 3 {
                        *count += 1;
                    }
                    caller.changed.insert(grant.organisation);
                }
            }
            (DispatchBody::Open { session, waiting, .. }, None) => {
                let granter = self.granters.entry(message.pool).or_default();
                *granter = Granter { session: Some(session.tag()), ..Granter::default() };
                granter.waiting.extend(waiting.into_iter().map(|QueuedRequests(o, n)| (o, n)));
            }
            (DispatchBody::Report { seq, waiting, .. }, None) => {
                let granter = self.granters.entry(message.pool).or_default();
                granter.last_report = seq;
                granter.waiting.extend(waiting.into_iter().map(|QueuedRequests(o, n)| (o, n)));
            }
            _ => {}
        }
    }

    /// Grants all that the node waits for elsewhere, as a dispatcher with free slots does.
    fn grant_elsewhere(&mut self) {
        let pools: Vec<Pool> = self.granters.keys().cloned().collect();
        for pool in pools {
            let Some(granter) = self.granters.get_mut(&pool) else { continue };
            let Some(session) = granter.session else { continue };
            let mut grants = Vec::new();
            for (organisation, count) in std::mem::take(&mut granter.waiting) {
                for _ in 0..count {
                    self.next_grant += 1;
                    grants.push(Grant {
                        id: GrantId(1, self.next_grant),
                        organisation: organisation.clone(),
                        upstream: "engine-0123".into(),
                        address: address(),
                    });
                }
            }
            granter.granted += grants.len() as u64;
            let (last_report, granted) = (granter.last_report, granter.granted);
            let holder = holder_of(&pool.0);
            if !grants.is_empty() {
                let body = DispatchBody::Grants { session, last_report, grants };
                self.post_dispatch(&holder, pool, body);
            } else if self.now.is_multiple_of(1_000) {
                let body = DispatchBody::Ack { session, granted, offers: Vec::new() };
                self.post_dispatch(&holder, pool, body);
            }
        }
    }

    fn post_dispatch(&mut self, from: &Instance, pool: Pool, body: DispatchBody) {
        let message = DispatchMessage { pool, term: 1, origin: None, body };
        self.post(from.clone(), Message::Dispatch(message));
    }

    /// Lets the entries of the failure domain call the node's pools.
    fn open_callers(&mut self) {
        for pool in 0..HELD {
            for (n, place) in (0..ENTRIES).step_by(DOMAINS).skip(1).enumerate() {
                let mine = (0..BACKLOGGED).filter(|o| n % 4 == o % 4).map(organisation);
                let waiting: BTreeMap<Organisation, u32> = mine.map(|o| (o, 3)).collect();
                let open = DispatchBody::Open {
                    session: Session(1, 1),
                    waiting: waiting.iter().map(|(o, n)| QueuedRequests(o.clone(), *n)).collect(),
                    held: Vec::new(),
                };
                let caller = Caller {
                    seq: 0,
                    received: 0,
                    waiting,
                    changed: BTreeSet::new(),
                    finished: Vec::new(),
                    progress: Vec::new(),
                };
                self.callers.insert((pool, entry(place)), caller);
                self.post_dispatch(&entry(place), own_pool(pool), open);
            }
        }
    }

    fn report_callers(&mut self) {
        let keys: Vec<(usize, Instance)> = self.callers.keys().cloned().collect();
        for key in keys {
            let Some(caller) = self.callers.get_mut(&key) else { continue };
            let is_alive = self.now.is_multiple_of(1_000);
            if caller.changed.is_empty() && caller.finished.is_empty() && !is_alive {
                continue;
            }
            caller.seq += 1;
            let changed = std::mem::take(&mut caller.changed);
            let counts = &caller.waiting;
            let body = DispatchBody::Report {
                session: Session(1, 1).tag(),
                seq: caller.seq,
                received: caller.received,
                waiting: changed
                    .into_iter()
                    .map(|o| QueuedRequests(o.clone(), counts[&o]))
                    .collect(),
                finished: std::mem::take(&mut caller.finished),
                progress: std::mem::take(&mut caller.progress),
            };
            self.post_dispatch(&key.1, own_pool(key.0), body);
        }
    }

    fn end_requests(&mut self) {
        while self.running.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, key, id)) = self.running.pop_front() else { break };
            let Some(caller) = self.callers.get_mut(&key) else { continue };
            let outcome = GrantOutcome::Completed;
            caller.finished.push(FinishedGrant {
                id,
                outcome,
                cost: COST,
                first_byte_ms: Some(400),
            });
            caller.progress.push((id, COST / 2));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.progress.drain(..).partition(|(at, ..)| *at <= self.now);
        self.progress = later;
        for (_, id, cost) in due {
            self.input(Input::Progressed(id, cost));
        }
        while self.own.front().is_some_and(|(due, _)| *due <= self.now) {
            let Some((_, id)) = self.own.pop_front() else { break };
            let end = AttemptEnd::Completed;
            let first_byte_ms = Some(400);
            self.input(Input::AttemptEnded { id, end, cost: COST, first_byte_ms, answer: None });
        }
    }

    fn arrive(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        let arrival = Arrival {
            id,
            service: service(id as usize % SERVICES),
            organisation: organisation(id as usize * 7 % MEMBERS),
            bytes: 100,
            idempotent: true,
            needs_claim: false,
        };
        self.input(Input::Arrived(arrival, None));
    }

    /// Tells who holds the other leases, and what other failure domains served.
    fn tell(&mut self) {
        for n in HELD..SERVICES {
            let claims = vec![Claim(service(n), 1)];
            let announce = Message::Lease(LeaseMessage::Announce { claims });
            self.post(holder_of(&service(n)), announce);
        }
        for pool in 0..HELD {
            for other in 1..DOMAINS {
                let total = self.now as i64 * 1_000;
                let served =
                    (0..BACKLOGGED).map(|o| ServiceReceived(organisation(o).tag(), total, 0));
                let body = DispatchBody::Exchange {
                    free: 0,
                    least: Some(total),
                    served: served.collect(),
                };
                self.post_dispatch(&entry(other), own_pool(pool), body);
            }
        }
    }

    fn list(&mut self) {
        for pool in 0..HELD {
            let listed = (0..UPSTREAMS).map(|n| Listed {
                upstream: format!("engine-{pool}{n:03}").as_str().into(),
                address: address(),
                leaving: false,
                incarnation: 1,
                report: Some(LoadReport { running: 0, warm: true, age_ms: 0 }),
            });
            self.input(Input::Listed(service(pool), listed.collect()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while self.inbox.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, from, message)) = self.inbox.pop_front() else { break };
            self.input(Input::Received(from, message));
        }
        self.end_requests();
        self.grant_elsewhere();
        self.report_callers();
        if self.now.is_multiple_of(TICK) {
            self.input(Input::Tick);
        }
        if self.now.is_multiple_of(1_000) {
            self.tell();
        }
        if self.now.is_multiple_of(400) {
            self.list();
        }
        if self.callers.is_empty() && self.node.dispatchers().len() == HELD {
            self.open_callers();
        }
        let due = |at: u64| at as usize * OWN_RATE / 1_000;
        for _ in due(self.now - STEP)..due(self.now) {
            self.arrive();
        }
    }
}

fn own_pool(n: usize) -> Pool {
    Pool(service(n), domain(0).as_str().into())
}

/// Returns which resident of the node's failure domain dispatches a service that it does not.
fn holder_of(name: &Service) -> Instance {
    let place = (0..SERVICES).find(|n| service(*n) == *name).unwrap_or(0);
    let residents = ENTRIES.div_ceil(DOMAINS) - 1;
    entry((1 + place % residents) * DOMAINS)
}

/// Drives an entry and prints what it sent and cost, as one JSON object.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut drive = Drive::new();
    while drive.now < RUN_UP {
        drive.step();
    }
    drive.bytes.clear();
    drive.messages.clear();
    (drive.busy, drive.grants, drive.starts) = (Duration::ZERO, 0, 0);
    while drive.now < RUN_UP + SPAN {
        drive.step();
    }
    let seconds = SPAN as f64 / 1_000.0;
    let rate = |counts: &BTreeMap<&'static str, usize>| {
        let rates = counts.iter().map(|(kind, n)| (*kind, (*n as f64 / seconds).round()));
        rates.collect::<BTreeMap<&str, f64>>()
    };
    let dispatched = drive.node.dispatchers().len();
    anyhow::ensure!(dispatched == HELD, "it dispatches {dispatched} pools, not {HELD}");
    let total: usize = drive.bytes.values().sum();
    let result = json!({
        "nodes": ENTRIES + CONTROLS,
        "failure_domains": DOMAINS,
        "organisations": SERVICES * MEMBERS,
        "pools_dispatched": dispatched,
        "grants_per_s": drive.grants as f64 / seconds,
        "own_requests_per_s": drive.starts as f64 / seconds,
        "bytes_per_s": (total as f64 / seconds).round(),
        "bytes_per_s_by_kind": rate(&drive.bytes),
        "messages_per_s_by_kind": rate(&drive.messages),
        "node_cpu_percent": drive.busy.as_secs_f64() / seconds * 100.0,
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(total as f64 / seconds <= crate::result::CONTROL_LIMIT)
}
