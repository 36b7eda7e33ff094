//! One instance: its machines, and the messages between them.
//!
//! The node is the whole of an instance's decisions. A process wraps it in threads for I/O; a test
//! or a measurement feeds it messages directly.

mod operators;
mod orders;
mod pools;
mod record;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    client::RecordClient,
    control::ControlMachine,
    decision::Decision,
    dispatcher::{Dispatcher, slots::Listed},
    entry::{Arrival, AttemptEnd, EntryMachine, RequestId},
    lease::LeaseManager,
    orders::{Ask, AskId, EngineAnswer, OrderBook},
    view::View,
};
use crate::{
    core::{
        Code, FailureDomain, Instance, Millis, Service, Settings, UpstreamName, code::CodedError,
        settings::Role,
    },
    protocol::{
        Message,
        operator::{OperatorReply, OperatorRequest},
        record::{ClaimId, RequestKey, StoredAnswer},
    },
    state::log::{Log, Persist},
};

/// A pool without dispatcher for this long is served by static shares.
const FALLBACK_AFTER: Millis = Millis(6_000);
/// How long a claim may take to be committed.
const CLAIM_PATIENCE: Millis = Millis(5_000);
/// How long a claim's end is sent again and again.
const SETTLE_PATIENCE: Millis = Millis(120_000);
/// How long an operator's change may take.
const CHANGE_PATIENCE: Millis = Millis(5_000);
/// Added to a claim's span, for the way to the upstream and back.
const CLAIM_SLACK: Millis = Millis(10_000);

/// Names an operator's request that waits for an answer.
pub type Ticket = u64;

/// A request key to be claimed before its request is sent.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The key.
    pub key: RequestKey,
    /// Digest of method, path and body.
    pub digest: u128,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived from an authenticated instance.
    Received(Instance, Message),
    /// An instance could not be dialled.
    DialFailed {
        /// The instance.
        instance: Instance,
        /// Whether its machine answered that no such process listens; otherwise it is silent.
        refused: bool,
    },
    /// A caller's request arrived.
    Arrived(Arrival, Option<KeyedRequest>),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// How.
        end: AttemptEnd,
        /// What it cost.
        cost: u32,
        /// Time from sending to the first byte of the answer.
        first_byte_ms: Option<u32>,
        /// The answer to keep for a request key.
        answer: Option<StoredAnswer>,
    },
    /// A request has cost this much so far.
    Progressed(RequestId, u32),
    /// A caller hung up before its request was sent.
    HungUp(RequestId),
    /// The platform listed a service's upstreams in this failure domain.
    Listed(Service, Vec<Listed>),
    /// An engine answered a question.
    EngineAnswered(AskId, EngineAnswer),
    /// An operator asks.
    Asked(Ticket, OperatorRequest),
    /// The disk failed; the control replica must stop.
    StorageFailed(CodedError),
    /// The instance is to shut down.
    Drain,
    /// Time has passed.
    Tick,
}

/// Something to do, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write to disk, synced before any later output is carried out.
    Persist(Persist),
    /// Send a message.
    Send(Instance, Message),
    /// Send a request to an upstream.
    Start {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// Where it listens.
        address: std::net::SocketAddr,
    },
    /// Give a caller its final answer.
    GiveUp {
        /// The request.
        id: RequestId,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Millis,
    },
    /// Answer a caller with a kept answer.
    Replay(RequestId, StoredAnswer),
    /// Answer an operator.
    Answer(Ticket, OperatorReply),
    /// Ask the platform for the upstreams of these services from now on.
    Watch(BTreeSet<Service>),
    /// Ask an engine.
    AskEngine(Ask),
    /// The configuration changed.
    ViewChanged,
    /// A caller's request needs no verdict any more.
    Finished(RequestId),
    /// Log a decision.
    Decided(Decision),
}

#[derive(Clone, Debug)]
enum Awaited {
    Claim(RequestId),
    Settle,
    Operator(Ticket),
}

#[derive(Clone, Debug)]
struct ClaimState {
    id: ClaimId,
    keyed: KeyedRequest,
    claimed: bool,
}

/// The state of one instance.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    domain: FailureDomain,
    view: View,
    entry: Option<EntryMachine>,
    leases: Option<LeaseManager>,
    dispatchers: BTreeMap<Service, Dispatcher>,
    /// Orders to the engines of the pools this instance dispatches.
    orders: BTreeMap<Service, OrderBook>,
    /// Static shares, for pools without dispatcher.
    shares: BTreeMap<Service, Dispatcher>,
    homeless: BTreeMap<Service, Millis>,
    control: Option<ControlMachine>,
    client: RecordClient,
    awaited: BTreeMap<u64, Awaited>,
    claims: BTreeMap<RequestId, ClaimState>,
    /// Names this process in claims. The incarnation would not do: two instances that start in the
    /// same millisecond would take each other's claims for resends of their own, and both would
    /// send the request.
    claimer: u64,
    next_claim: u64,
    watched: BTreeSet<Service>,
    /// Messages from this instance to itself.
    own: VecDeque<Message>,
    draining: bool,
}

impl Node {
    /// Makes the node of an instance.
    ///
    /// `incarnation` grows with each start of the instance; `claimer` is a random number that no
    /// other process has; `control` is its replica of the record, if it has one.
    pub fn new(
        now: Millis,
        settings: Settings,
        incarnation: u64,
        claimer: u64,
        control: Option<ControlMachine>,
    ) -> Node {
        let own = settings.own().clone();
        let instance = own.instance.clone();
        let domain = own.failure_domain.clone();
        let is_entry = own.has_role(Role::Entry);
        let residents = residents(&settings, &domain);
        let neighbours = residents.iter().filter(|i| **i != instance).cloned().collect();
        let controls = settings.with_role(Role::Control).map(|p| p.instance.clone());
        let client = RecordClient::new(&instance, controls, neighbours);
        let entry = is_entry.then(|| EntryMachine::new(domain.clone(), incarnation));
        let leases = (is_entry && !settings.static_shares)
            .then(|| LeaseManager::new(now, incarnation, instance, &domain, residents));
        Node {
            domain,
            view: View::default(),
            entry,
            leases,
            dispatchers: BTreeMap::new(),
            orders: BTreeMap::new(),
            shares: BTreeMap::new(),
            homeless: BTreeMap::new(),
            control,
            client,
            awaited: BTreeMap::new(),
            claims: BTreeMap::new(),
            claimer,
            next_claim: 1,
            watched: BTreeSet::new(),
            own: VecDeque::new(),
            draining: false,
            settings,
        }
    }

    /// Returns the configuration in force here.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the dispatchers this instance runs.
    pub fn dispatchers(&self) -> &BTreeMap<Service, Dispatcher> {
        &self.dispatchers
    }

    /// Returns the replica of the record, if there is one.
    pub fn control(&self) -> Option<&ControlMachine> {
        self.control.as_ref()
    }

    /// Returns the log as it stands, for writing it anew.
    pub fn log(&self) -> Option<&Log> {
        self.control.as_ref().map(|control| control.consensus().log())
    }

    /// Returns how many callers' requests are open.
    pub fn open_requests(&self) -> usize {
        self.entry.as_ref().map_or(0, EntryMachine::open_requests)
    }

    /// Tells whether a drained instance has nothing left to do.
    pub fn is_drained(&self) -> bool {
        self.draining && self.open_requests() == 0 && self.awaited.is_empty()
    }

    /// Handles an input; `unix_ms` is the wall clock.
    pub fn handle(&mut self, now: Millis, unix_ms: u64, input: Input, out: &mut Vec<Output>) {
        self.expire_leases(now, out);
        match input {
            Input::Received(from, message) => self.on_message(now, unix_ms, &from, &message, out),
            Input::DialFailed { instance, refused } => {
                if let Some(leases) = &mut self.leases {
                    leases.on_dial_failed(now, &instance, refused);
                }
                for dispatcher in self.dispatchers.values_mut() {
                    dispatcher.on_dial_failed(now, &instance, refused);
                }
            }
            Input::Arrived(arrival, keyed) => self.on_arrival(now, arrival, keyed, out),
            Input::AttemptEnded { id, end, cost, first_byte_ms, answer } => {
                self.on_attempt_end(now, id, end, cost, first_byte_ms, answer, out);
            }
            Input::Progressed(id, cost) => {
                if let Some(entry) = &mut self.entry {
                    entry.on_progress(id, cost);
                }
            }
            Input::HungUp(id) => self.on_hang_up(now, id),
            Input::Listed(service, listing) => self.on_listed(now, &service, &listing, out),
            Input::EngineAnswered(id, answer) => self.on_engine_answer(now, &id, answer, out),
            Input::Asked(ticket, request) => self.on_asked(now, ticket, request, out),
            Input::StorageFailed(err) => {
                if let Some(control) = &mut self.control {
                    control.on_storage_failed(err);
                }
            }
            Input::Drain => self.drain(now, out),
            Input::Tick => self.tick(now, out),
        }
        self.deliver_own(now, unix_ms, out);
    }

    /// Returns when a batch should be completed at the latest, though nothing happens.
    pub fn next_flush(&self) -> Option<Millis> {
        self.entry.as_ref().and_then(EntryMachine::next_report)
    }

    /// Completes a batch of inputs: sends what was gathered over it.
    pub fn flush(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<Output>) {
        self.run_control(out, |control, outputs| control.flush(now, outputs));
        self.run_entry(now, out, |entry, _, outputs| entry.report(now, outputs));
        self.send_proposals(now, out);
        self.deliver_own(now, unix_ms, out);
    }

    fn deliver_own(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<Output>) {
        let instance = self.settings.instance.clone();
        while let Some(message) = self.own.pop_front() {
            self.on_message(now, unix_ms, &instance, &message, out);
        }
    }

    fn send(&mut self, to: Instance, message: Message, out: &mut Vec<Output>) {
        if to == self.settings.instance {
            self.own.push_back(message);
        } else {
            out.push(Output::Send(to, message));
        }
    }

    fn on_message(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Lease(message) => self.on_lease(now, from, message, out),
            Message::Dispatch(message) => self.on_dispatch(now, from, message, out),
            Message::Consensus(message) => {
                self.run_control(out, |control, outputs| {
                    control.on_consensus(now, message, outputs);
                });
            }
            Message::Record(message) => self.on_record(now, unix_ms, from, message, out),
            // Of fleets that find themselves; this one's settings name all instances.
            Message::Fleet(_) => {}
        }
    }

    fn drain(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.draining = true;
        if let Some(entry) = &mut self.entry {
            entry.drain();
        }
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        leases.retire(now, &mut outputs);
        self.carry_out_leases(now, outputs, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.run_control(out, |control, outputs| control.tick(now, outputs));
        self.tick_client(now, out);
        if let Some(leases) = &mut self.leases {
            let mut outputs = Vec::new();
            leases.tick(now, &mut outputs);
            self.carry_out_leases(now, outputs, out);
        }
        self.keep_shares(now, out);
        self.tick_dispatchers(now, out);
        self.tick_orders(now, out);
        let active = self.entry.iter().flat_map(|entry| entry.active_services().cloned());
        for service in active.collect::<Vec<_>>() {
            self.ensure_sessions(now, &service, out);
        }
        self.run_entry(now, out, |entry, view, outputs| entry.tick(now, view, outputs));
    }
}

fn nothing_there(detail: &str) -> OperatorReply {
    OperatorReply::Failed(CodedError::new(Code::NotFound, detail))
}

/// Lists the entries of a failure domain.
fn residents(settings: &Settings, domain: &FailureDomain) -> Vec<Instance> {
    let entries = settings.with_role(Role::Entry);
    let of_domain = entries.filter(|peer| peer.failure_domain == *domain);
    of_domain.map(|peer| peer.instance.clone()).collect()
}

/// Lists the failure domains with entries, without `own`.
fn other_domains(settings: &Settings, own: &FailureDomain) -> BTreeSet<FailureDomain> {
    let entries = settings.with_role(Role::Entry);
    entries.map(|peer| peer.failure_domain.clone()).filter(|domain| domain != own).collect()
}
