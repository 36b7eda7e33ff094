//! Simulates one entry of a fleet of 410 instances without processes or sockets.
//!
//! The node is the real state machine. Its peers are simulated: the lease voters, the record, the
//! dispatchers of the pools it calls, the entries that call the pools it dispatches, and the
//! dispatchers of these pools in the other failure domains. The frames that the node sends are
//! counted by message kind. The cost of its decisions is the time spent in the node alone, without
//! threads and system calls.

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
    core::{Instance, Millis, Organisation, RequestDigest, Service, Settings, settings::Role},
    protocol::{
        Message, Pool,
        dispatch::{
            DispatchBody, FinishedGrant, GrantId, GrantOutcome, ServiceReceived, SessionTag,
        },
        frame::Channel,
        lease::{Claim, LeaseMessage},
        record::StoredDocument,
    },
};
use serde_json::json;

mod peers;

use crate::synthetic::{self, DOMAINS, FLEET_KEY, SERVICES};

const ENTRIES: usize = 405;
const CONTROLS: usize = 5;
/// Organisations of each service.
const ORGANISATIONS: usize = 129;
/// Organisations of each service that are backlogged.
const BACKLOGGED: usize = 13;
/// Pools that the node dispatches. The 494 pools of 405 entries are 1.22 each on average, and some
/// entries have two.
const DISPATCHED_POOLS: usize = 2;
/// Requests per second of the node's own callers. Each pool serves 48 per second, since each of its
/// 48 slots is used once a second.
const OWN_REQUESTS_PER_S: usize = 57;
const UPSTREAMS: usize = 24;
/// The run time of a request, in milliseconds. In a fleet of this size it is 19 s, but the messages
/// sent for a request do not depend on it.
const REQUEST_MS: u64 = 1_000;
/// The cost of a request.
const REQUEST_COST: u32 = 313;
/// The simulated time between two steps, in milliseconds.
const STEP_MS: u64 = 5;
/// The simulated time before the measurement begins, in milliseconds.
const WARM_UP_MS: u64 = 30_000;
/// The simulated time that is measured, in milliseconds.
const MEASURED_MS: u64 = 60_000;
/// The interval of the node's ticks, in milliseconds.
const TICK_MS: u64 = 25;

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
    // A slot serves one request per REQUEST_MS, so the slots set the request rate of a pool.
    synthetic::documents(
        ORGANISATIONS,
        "slots: {cold: 2, warm: 2}\nlimits: {queue_requests: 1000}\n",
    )
}

/// The state of a simulated entry that calls one of the pools that the node dispatches.
struct PeerEntry {
    seq: u64,
    received: u64,
    waiting: BTreeMap<Organisation, u32>,
    changed: BTreeSet<Organisation>,
    finished: Vec<FinishedGrant>,
    progress: Vec<(GrantId, u32)>,
}

/// The state of a simulated dispatcher that serves the node's callers.
#[derive(Default)]
struct PeerDispatcher {
    session: Option<SessionTag>,
    last_report: u64,
    granted: u64,
    waiting: BTreeMap<Organisation, u32>,
}

struct Simulation {
    now: u64,
    node: Node,
    channel: Channel,
    /// Messages in flight to the node: due time, sender and message.
    inbox: VecDeque<(u64, Instance, Message)>,
    peer_entries: BTreeMap<(usize, Instance), PeerEntry>,
    peer_dispatchers: BTreeMap<Pool, PeerDispatcher>,
    /// Running requests of peer entries: end time, pool and entry, and grant.
    running: VecDeque<(u64, (usize, Instance), GrantId)>,
    /// Running requests of the node's own callers: end time and request ID.
    own_requests: VecDeque<(u64, u64)>,
    /// Scheduled progress reports of the node's own requests: time, request ID and cost so far.
    progress: Vec<(u64, u64, u32)>,
    next_request: u64,
    next_grant: u64,
    node_time: Duration,
    bytes: BTreeMap<&'static str, usize>,
    messages: BTreeMap<&'static str, usize>,
    grants: usize,
    starts: usize,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            now: 0,
            node: Node::new(Millis(0), settings(), 1, 1, None),
            channel: Channel::new(FLEET_KEY, [0; 16]),
            inbox: VecDeque::new(),
            peer_entries: BTreeMap::new(),
            peer_dispatchers: BTreeMap::new(),
            running: VecDeque::new(),
            own_requests: VecDeque::new(),
            progress: Vec::new(),
            next_request: 1,
            next_grant: 1,
            node_time: Duration::ZERO,
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
        self.node_time += start.elapsed();
        for output in out {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send(to, message) => {
                let len = self.channel.seal(&message).len();
                *self.bytes.entry(message.kind()).or_default() += len;
                *self.messages.entry(message.kind()).or_default() += 1;
                self.respond(to, message);
            }
            Output::Start { id, .. } => {
                self.starts += 1;
                // The relay reports a cost of 64, then each doubling. The cost grows linearly.
                for cost in [64, 128, 256] {
                    let at = self.now + REQUEST_MS * cost / u64::from(REQUEST_COST);
                    self.progress.push((at, id, cost as u32));
                }
                self.own_requests.push_back((self.now + REQUEST_MS, id));
            }
            _ => {}
        }
    }

    fn deliver(&mut self, from: Instance, message: Message) {
        self.inbox.push_back((self.now + STEP_MS, from, message));
    }

    fn end_requests(&mut self) {
        while self.running.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, key, id)) = self.running.pop_front() else { break };
            let Some(peer_entry) = self.peer_entries.get_mut(&key) else { continue };
            let outcome = GrantOutcome::Completed;
            peer_entry.finished.push(FinishedGrant {
                id,
                outcome,
                cost: REQUEST_COST,
                first_byte_ms: Some(400),
                may_run: false,
            });
            peer_entry.progress.push((id, REQUEST_COST / 2));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.progress.drain(..).partition(|(at, ..)| *at <= self.now);
        self.progress = later;
        for (_, id, cost) in due {
            self.input(Input::Progressed(id, cost));
        }
        while self.own_requests.front().is_some_and(|(due, _)| *due <= self.now) {
            let Some((_, id)) = self.own_requests.pop_front() else { break };
            let end = AttemptEnd::Completed;
            let first_byte_ms = Some(400);
            self.input(Input::AttemptEnded {
                id,
                end,
                cost: REQUEST_COST,
                first_byte_ms,
                answer: None,
            });
        }
    }

    fn send_request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        let arrival = Arrival {
            id,
            digest: RequestDigest(id),
            service: service(id as usize % SERVICES),
            organisation: organisation(id as usize * 7 % ORGANISATIONS),
            bytes: 100,
            idempotent: true,
            needs_claim: false,
        };
        self.input(Input::Arrived(arrival, None));
    }

    /// Sends the node the lease holders of the other pools, and what the dispatchers of its pools in
    /// the other failure domains have served.
    fn send_announcements(&mut self) {
        for n in DISPATCHED_POOLS..SERVICES {
            let claims = vec![Claim(service(n), 1)];
            let announce = Message::Lease(LeaseMessage::Announce { claims });
            self.deliver(dispatcher_of(&service(n)), announce);
        }
        for pool in 0..DISPATCHED_POOLS {
            for other in 1..DOMAINS {
                let total = self.now as i64 * 1_000;
                let served =
                    (0..BACKLOGGED).map(|o| ServiceReceived(organisation(o).tag(), total, 0));
                let body = DispatchBody::Exchange {
                    free: 0,
                    least: Some(total),
                    served: served.collect(),
                    backoff_left: None,
                };
                self.deliver_dispatch(&entry(other), dispatched_pool(pool), body);
            }
        }
    }

    fn send_listing(&mut self) {
        for pool in 0..DISPATCHED_POOLS {
            let listed = (0..UPSTREAMS).map(|n| Listed {
                upstream: format!("engine-{pool}{n:03}").as_str().into(),
                address: address(),
                leaving: false,
                incarnation: 1,
                report: Some(LoadReport { running: 0, warm: true, age_ms: 0 }),
                version: None,
            });
            self.input(Input::Listed(service(pool), listed.collect()));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        while self.inbox.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, from, message)) = self.inbox.pop_front() else { break };
            self.input(Input::Received(from, message));
        }
        self.end_requests();
        self.send_peer_grants();
        self.send_peer_reports();
        if self.now.is_multiple_of(TICK_MS) {
            self.input(Input::Tick);
        }
        if self.now.is_multiple_of(1_000) {
            self.send_announcements();
        }
        if self.now.is_multiple_of(400) {
            self.send_listing();
        }
        if self.peer_entries.is_empty() && self.node.dispatchers().len() == DISPATCHED_POOLS {
            self.open_peer_sessions();
        }
        let due = |at: u64| at as usize * OWN_REQUESTS_PER_S / 1_000;
        for _ in due(self.now - STEP_MS)..due(self.now) {
            self.send_request();
        }
    }
}

fn dispatched_pool(n: usize) -> Pool {
    Pool(service(n), domain(0).as_str().into())
}

/// Returns the entry of the node's failure domain that dispatches a service if the node does not.
fn dispatcher_of(name: &Service) -> Instance {
    let index = (0..SERVICES).find(|n| service(*n) == *name).unwrap_or(0);
    let peer_count = ENTRIES.div_ceil(DOMAINS) - 1;
    entry((1 + index % peer_count) * DOMAINS)
}

/// Simulates an entry and prints its traffic and time as one JSON object.
///
/// Returns whether its control traffic is within the limit.
pub(crate) fn exec() -> anyhow::Result<bool> {
    let mut simulation = Simulation::new();
    while simulation.now < WARM_UP_MS {
        simulation.step();
    }
    simulation.bytes.clear();
    simulation.messages.clear();
    (simulation.node_time, simulation.grants, simulation.starts) = (Duration::ZERO, 0, 0);
    while simulation.now < WARM_UP_MS + MEASURED_MS {
        simulation.step();
    }
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let rate = |counts: &BTreeMap<&'static str, usize>| {
        let rates = counts.iter().map(|(kind, n)| (*kind, (*n as f64 / seconds).round()));
        rates.collect::<BTreeMap<&str, f64>>()
    };
    let dispatched = simulation.node.dispatchers().len();
    anyhow::ensure!(
        dispatched == DISPATCHED_POOLS,
        "the node dispatches {dispatched} pools instead of {DISPATCHED_POOLS}"
    );
    let total: usize = simulation.bytes.values().sum();
    let result = json!({
        "nodes": ENTRIES + CONTROLS,
        "failure_domains": DOMAINS,
        "organisations": SERVICES * ORGANISATIONS,
        "pools_dispatched": dispatched,
        "grants_per_s": simulation.grants as f64 / seconds,
        "own_requests_per_s": simulation.starts as f64 / seconds,
        "bytes_per_s": (total as f64 / seconds).round(),
        "bytes_per_s_by_kind": rate(&simulation.bytes),
        "messages_per_s_by_kind": rate(&simulation.messages),
        "node_cpu_percent": simulation.node_time.as_secs_f64() / seconds * 100.0,
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(total as f64 / seconds <= crate::result::CONTROL_LIMIT)
}
