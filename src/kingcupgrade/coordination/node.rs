//! One instance: its machines, and the messages between them.
//!
//! The node is the whole of an instance's decisions. A process wraps it in threads for I/O; a test
//! or a measurement feeds it messages directly.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    client::RecordClient,
    control::{ControlMachine, ControlOutput},
    decision::Decision,
    dispatcher::{Dispatcher, DispatcherOutput, slots::Listed},
    entry::{Arrival, AttemptEnd, EntryMachine, EntryOutput, RequestId},
    lease::{LEASE, LeaseBook, LeaseOutput},
    view::View,
};
use crate::{
    core::{
        Code, Document, FailureDomain, Instance, Millis, Service, Settings, UpstreamName,
        code::CodedError, document::SlotLimits, settings::Role,
    },
    protocol::{
        Message, Pool,
        dispatch::{DispatchBody, DispatchMessage, STATIC_TERM},
        lease::{Claim, LeaseMessage},
        operator::{ControlStatus, OperatorReply, OperatorRequest, PoolStatus, Status},
        record::{ClaimId, Command, KeptAnswer, RecordMessage, Reply, RequestKey, Settlement},
    },
    state::log::{Log, Persist},
    util::rendezvous::{ranking, static_shares},
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
        answer: Option<KeptAnswer>,
    },
    /// A request has cost this much so far.
    Progressed(RequestId, u32),
    /// A caller hung up before its request was sent.
    HungUp(RequestId),
    /// The platform listed a service's upstreams in this failure domain.
    Listed(Service, Vec<Listed>),
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
    Replay(RequestId, KeptAnswer),
    /// Answer an operator.
    Answer(Ticket, OperatorReply),
    /// Ask the platform for the upstreams of these services from now on.
    Watch(BTreeSet<Service>),
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
    started: Millis,
    view: View,
    entry: Option<EntryMachine>,
    leases: Option<LeaseBook>,
    dispatchers: BTreeMap<Service, Dispatcher>,
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
        let controls = settings.with_role(Role::Control).map(|p| p.instance.clone()).collect();
        let offset = settings.peers.iter().position(|p| p.instance == instance).unwrap_or(0);
        let entry = is_entry.then(|| EntryMachine::new(domain.clone(), incarnation));
        let leases = (is_entry && !settings.static_shares)
            .then(|| LeaseBook::new(now, incarnation, instance, &domain, residents));
        Node {
            domain,
            started: now,
            view: View::default(),
            entry,
            leases,
            dispatchers: BTreeMap::new(),
            shares: BTreeMap::new(),
            homeless: BTreeMap::new(),
            control,
            client: RecordClient::new(controls, neighbours, offset),
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
        }
    }

    // Leases.

    fn on_lease(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &LeaseMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(leases) = &mut self.leases else { return };
        if let Some(entry) = &self.entry {
            leases.set_sharing(entry.shared_services());
        }
        let mut outputs = Vec::new();
        leases.on_message(now, from, message, &mut outputs);
        self.carry_out_leases(now, outputs, out);
        if let LeaseMessage::Reply { granted, sharing, .. } = message {
            self.on_acknowledged(now, from, granted, sharing);
        }
        self.keep_shares(now, out);
    }

    /// Notes which of this instance's leases another one knows of and makes no use against.
    fn on_acknowledged(
        &mut self,
        now: Millis,
        from: &Instance,
        granted: &[Claim],
        sharing: &[Service],
    ) {
        for Claim(service, term) in granted {
            let Some(dispatcher) = self.dispatchers.get_mut(service) else { continue };
            if dispatcher.term() == *term && !sharing.contains(service) {
                dispatcher.on_acknowledged(now, from);
            }
        }
    }

    fn expire_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(leases) = &mut self.leases else { return };
        let mut outputs = Vec::new();
        leases.expire(now, &mut outputs);
        self.carry_out_leases(now, outputs, out);
    }

    fn carry_out_leases(&mut self, now: Millis, outputs: Vec<LeaseOutput>, out: &mut Vec<Output>) {
        for output in outputs {
            match output {
                LeaseOutput::Send(to, message) => self.send(to, Message::Lease(message), out),
                LeaseOutput::Gained(service, term) => self.on_gained(now, service, term, out),
                LeaseOutput::Lost(service, term) => {
                    self.dispatchers.remove(&service);
                    out.push(Output::Decided(Decision::Lease { service, term, held: false }));
                }
            }
        }
    }

    fn on_gained(&mut self, now: Millis, service: Service, term: u64, out: &mut Vec<Output>) {
        let Some(in_force) = self.view.documents().get(&service) else { return };
        let document = (*in_force.document).clone();
        let residents = residents(&self.settings, &self.domain);
        let dispatcher = self.new_dispatcher(now, &service, term, document, residents);
        self.dispatchers.insert(service.clone(), dispatcher);
        out.push(Output::Decided(Decision::Lease { service, term, held: true }));
        self.update_watch(out);
    }

    fn new_dispatcher(
        &self,
        now: Millis,
        service: &Service,
        term: u64,
        document: Document,
        residents: Vec<Instance>,
    ) -> Dispatcher {
        let pool = Pool(service.clone(), self.domain.clone());
        let instance = self.settings.instance.clone();
        let mut dispatcher = Dispatcher::new(now, pool, instance, term, document, residents);
        let domains = self.settings.peers.iter();
        dispatcher.set_domains(domains.map(|p| (p.instance.clone(), p.failure_domain.clone())));
        dispatcher.set_standing(!self.view.is_out(&self.domain), &self.view.leaving());
        dispatcher
    }

    // Dispatching.

    fn on_dispatch(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        match &message.body {
            DispatchBody::Grants { .. } | DispatchBody::Ack { .. } | DispatchBody::Resync => {
                self.run_entry(now, out, |entry, view, outputs| {
                    entry.on_message(now, view, from, message, outputs);
                });
            }
            _ => self.on_demand(now, from, message, out),
        }
    }

    fn on_demand(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        if message.pool.1 != self.domain {
            return;
        }
        let service = &message.pool.0;
        let is_own_share = message.term & STATIC_TERM != 0;
        let dispatchers = if is_own_share { &mut self.shares } else { &mut self.dispatchers };
        if let Some(dispatcher) = dispatchers.get_mut(service) {
            let mut outputs = Vec::new();
            let writer = message.origin.as_ref().unwrap_or(from);
            dispatcher.on_message(now, writer, message.term, &message.body, &mut outputs);
            self.carry_out_dispatch(now, service, outputs, out);
        } else if !is_own_share && message.origin.is_none() {
            self.forward(now, from, message, out);
        }
    }

    /// Passes a message on to the holder of its pool's lease, once.
    ///
    /// Instances of other failure domains do not hear who holds a lease here; they write to any
    /// instance that might and learn the holder from its answer.
    fn forward(
        &mut self,
        now: Millis,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(leases) = &self.leases else { return };
        let Some(holder) = leases.holder(now, &message.pool.0) else { return };
        let holder = holder.instance.clone();
        if holder != self.settings.instance && holder != *from {
            let message = DispatchMessage { origin: Some(from.clone()), ..message.clone() };
            self.send(holder, Message::Dispatch(message), out);
        }
    }

    fn carry_out_dispatch(
        &mut self,
        now: Millis,
        service: &Service,
        outputs: Vec<DispatcherOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in outputs {
            match output {
                DispatcherOutput::Send(to, message) => {
                    self.send(to, Message::Dispatch(message), out);
                }
                DispatcherOutput::SendToNeighbours(message) => {
                    self.send_to_neighbours(now, service, &message, out);
                }
                DispatcherOutput::Decided(decision) => out.push(Output::Decided(decision)),
            }
        }
    }

    fn send_to_neighbours(
        &mut self,
        now: Millis,
        service: &Service,
        message: &DispatchMessage,
        out: &mut Vec<Output>,
    ) {
        let Some(dispatcher) = self.dispatchers.get(service) else { return };
        let domains = other_domains(&self.settings, &self.domain);
        let holder = |domain: &FailureDomain| {
            let known = dispatcher.known_holder(now, domain).cloned();
            known.or_else(|| self.guess_holder(now, service, domain))
        };
        let addressed: Vec<(FailureDomain, Option<Instance>)> =
            domains.into_iter().map(|domain| (domain.clone(), holder(&domain))).collect();
        for (domain, holder) in addressed {
            let Some(holder) = holder else { continue };
            let mut message = message.clone();
            message.pool.1 = domain;
            self.send(holder, Message::Dispatch(message), out);
        }
    }

    /// Guesses who holds a lease in another failure domain; another guess each few seconds.
    fn guess_holder(
        &self,
        now: Millis,
        service: &Service,
        domain: &FailureDomain,
    ) -> Option<Instance> {
        let ranked = ranking(service.as_str(), residents(&self.settings, domain));
        let turn = now.0 / LEASE.0;
        let count = ranked.len().max(1) as u64;
        ranked.get(usize::try_from(turn % count).unwrap_or(0)).cloned()
    }

    fn on_listed(
        &mut self,
        now: Millis,
        service: &Service,
        listing: &[Listed],
        out: &mut Vec<Output>,
    ) {
        let mut outputs = Vec::new();
        if let Some(dispatcher) = self.dispatchers.get_mut(service) {
            dispatcher.on_listing(now, listing, &mut outputs);
        }
        if let Some(share) = self.shares.get_mut(service) {
            let names = listing.iter().map(|listed| listed.upstream.clone());
            let owners = static_shares(names, &residents(&self.settings, &self.domain));
            let is_own = |listed: &&Listed| {
                owners.get(&listed.upstream).is_some_and(|i| *i == self.settings.instance)
            };
            let own: Vec<Listed> = listing.iter().filter(is_own).cloned().collect();
            share.on_listing(now, &own, &mut outputs);
        }
        self.carry_out_dispatch(now, service, outputs, out);
    }

    fn update_watch(&mut self, out: &mut Vec<Output>) {
        let services = self.dispatchers.keys().chain(self.shares.keys());
        let wanted: BTreeSet<Service> = services.cloned().collect();
        if wanted != self.watched {
            self.watched.clone_from(&wanted);
            out.push(Output::Watch(wanted));
        }
    }

    // Callers' requests.

    fn on_arrival(
        &mut self,
        now: Millis,
        arrival: Arrival,
        keyed: Option<KeyedRequest>,
        out: &mut Vec<Output>,
    ) {
        let id = arrival.id;
        let Some(in_force) = self.view.documents().get(&arrival.service) else {
            let code = Code::UnknownService;
            out.push(Output::GiveUp { id, code, retry_after: Millis::ZERO });
            return;
        };
        let document = in_force.document.clone();
        if let Some(keyed) = keyed {
            let claim = ClaimId(self.claimer, self.next_claim);
            self.next_claim += 1;
            self.claims.insert(id, ClaimState { id: claim, keyed, claimed: false });
        }
        let service = arrival.service.clone();
        self.run_entry(now, out, |entry, _, outputs| {
            entry.arrive(now, arrival, &document, outputs);
        });
        self.ensure_sessions(now, &service, out);
    }

    /// Makes sure that whoever may serve a service knows of the demand here.
    fn ensure_sessions(&mut self, now: Millis, service: &Service, out: &mut Vec<Output>) {
        let is_active = self.entry.as_ref().is_some_and(|entry| entry.is_active(service));
        if !is_active {
            return;
        }
        let home = Pool(service.clone(), self.domain.clone());
        let holder = self.leases.as_ref().and_then(|leases| leases.holder(now, service).cloned());
        let has_holder = holder.is_some();
        let own = self.settings.instance.clone();
        let share_term = self.shares.get(service).map(Dispatcher::term);
        let target = match (holder, share_term) {
            (Some(holder), _) => Some((holder.instance, holder.term)),
            (None, Some(term)) => Some((own, term)),
            (None, None) => None,
        };
        if let Some((instance, term)) = target {
            self.run_entry(now, out, |entry, _, outputs| {
                entry.want_session(now, home, &instance, term, None, outputs);
            });
        }
        if self.settings.static_shares {
            return;
        }
        let homeless =
            self.entry.as_mut().is_some_and(|entry| entry.note_home(now, service, has_holder));
        if homeless && self.view.is_fresh(now) {
            self.ask_elsewhere(now, service, out);
        }
    }

    /// Takes demand to the other failure domains, since none can be served here.
    fn ask_elsewhere(&mut self, now: Millis, service: &Service, out: &mut Vec<Output>) {
        for domain in other_domains(&self.settings, &self.domain) {
            if self.view.is_out(&domain) {
                continue;
            }
            let Some(guess) = self.guess_holder(now, service, &domain) else { continue };
            let pool = Pool(service.clone(), domain);
            self.run_entry(now, out, |entry, _, outputs| {
                let known = entry.session_pools().find(|(p, _)| **p == pool);
                let holder = known.map_or(guess, |(_, holder)| holder.clone());
                entry.want_session(now, pool, &holder, 0, Some(now + LEASE), outputs);
            });
        }
    }

    fn run_entry(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        run: impl FnOnce(&mut EntryMachine, &View, &mut Vec<EntryOutput>),
    ) {
        let Some(entry) = &mut self.entry else { return };
        let mut outputs = Vec::new();
        run(entry, &self.view, &mut outputs);
        for output in outputs {
            match output {
                EntryOutput::Send(to, message) => self.send(to, Message::Dispatch(message), out),
                EntryOutput::Claim(id) => self.claim(now, id),
                EntryOutput::Start { id, upstream, address } => {
                    out.push(Output::Start { id, upstream, address });
                }
                EntryOutput::GiveUp { id, code, retry_after } => {
                    out.push(Output::GiveUp { id, code, retry_after });
                }
                EntryOutput::Decided(decision) => out.push(Output::Decided(decision)),
            }
        }
    }

    fn claim(&mut self, now: Millis, id: RequestId) {
        let Some(claim) = self.claims.get(&id) else { return };
        let deadline = self.deadline_of(&claim.keyed.key.service);
        let command = Command::Claim {
            id: claim.id,
            key: claim.keyed.key.clone(),
            digest: claim.keyed.digest,
            span: deadline + CLAIM_SLACK,
        };
        let proposal = self.client.propose(now, command, CLAIM_PATIENCE);
        self.awaited.insert(proposal, Awaited::Claim(id));
    }

    fn deadline_of(&self, service: &Service) -> Millis {
        let in_force = self.view.documents().get(service);
        in_force.map_or(Millis::ZERO, |d| Millis(d.document.limits.deadline_ms))
    }

    fn on_claim_answer(&mut self, now: Millis, id: RequestId, reply: Reply, out: &mut Vec<Output>) {
        let result = match reply {
            Reply::Claimed => Ok(()),
            Reply::Replay(answer) => {
                self.claims.remove(&id);
                if let Some(entry) = &mut self.entry {
                    entry.on_hang_up(id);
                }
                out.push(Output::Replay(id, answer));
                return;
            }
            Reply::Refused(err) if err.code == Code::CommitUnknown => Err(Code::NoQuorum),
            Reply::Refused(err) => Err(err.code),
            _ => Err(Code::NoQuorum),
        };
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.claimed = result.is_ok();
        }
        // A claim whose answer never came may be in the record all the same. Nothing was sent, so
        // it is released; otherwise the caller's next try would be told that it may have run.
        let lost = result == Err(Code::NoQuorum);
        let mut unwanted = false;
        self.run_entry(now, out, |entry, _, outputs| {
            unwanted = entry.on_claimed(now, id, result, outputs);
        });
        if unwanted || lost {
            self.settle(now, id, Settlement::Released);
        } else if result.is_err() {
            self.claims.remove(&id);
        }
    }

    fn settle(&mut self, now: Millis, id: RequestId, settlement: Settlement) {
        let Some(claim) = self.claims.remove(&id) else { return };
        let command = Command::Settle { id: claim.id, key: claim.keyed.key, settlement };
        let proposal = self.client.propose(now, command, SETTLE_PATIENCE);
        self.awaited.insert(proposal, Awaited::Settle);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one input")]
    fn on_attempt_end(
        &mut self,
        now: Millis,
        id: RequestId,
        end: AttemptEnd,
        cost: u32,
        first_byte_ms: Option<u32>,
        answer: Option<KeptAnswer>,
        out: &mut Vec<Output>,
    ) {
        let mut given_up = Vec::new();
        self.run_entry(now, &mut given_up, |entry, _, outputs| {
            entry.on_attempt_end(now, id, end, cost, first_byte_ms, outputs);
        });
        let is_open = self.entry.as_ref().is_some_and(|entry| entry.is_open(id));
        let was_claimed = self.claims.get(&id).is_some_and(|claim| claim.claimed);
        if was_claimed && !is_open {
            let settlement = match (end, answer) {
                (AttemptEnd::Completed, Some(answer)) => Settlement::Done(answer),
                (AttemptEnd::NotSent | AttemptEnd::Refused, _) => Settlement::Released,
                _ => Settlement::Unknown,
            };
            self.settle(now, id, settlement);
        } else if !is_open {
            self.claims.remove(&id);
        }
        if !is_open && given_up.is_empty() {
            out.push(Output::Finished(id));
        }
        out.append(&mut given_up);
    }

    fn on_hang_up(&mut self, now: Millis, id: RequestId) {
        if let Some(entry) = &mut self.entry {
            entry.on_hang_up(id);
        }
        // A claim under way is released when its answer comes; one that holds but was not sent
        // yet is released now.
        if self.claims.get(&id).is_some_and(|claim| claim.claimed) {
            self.settle(now, id, Settlement::Released);
        }
    }

    // The record.

    fn run_control(
        &mut self,
        out: &mut Vec<Output>,
        run: impl FnOnce(&mut ControlMachine, &mut Vec<ControlOutput>),
    ) {
        let Some(control) = &mut self.control else { return };
        let mut outputs = Vec::new();
        run(control, &mut outputs);
        for output in outputs {
            match output {
                ControlOutput::Persist(persist) => out.push(Output::Persist(persist)),
                ControlOutput::Send(to, message) => self.send(to, message, out),
                ControlOutput::SendToControls(message) => {
                    let own = &self.settings.instance;
                    let controls = self.settings.with_role(Role::Control);
                    for peer in controls.filter(|peer| peer.instance != *own) {
                        let message = Message::Consensus(message.clone());
                        out.push(Output::Send(peer.instance.clone(), message));
                    }
                }
            }
        }
    }

    fn on_record(
        &mut self,
        now: Millis,
        unix_ms: u64,
        from: &Instance,
        message: &RecordMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            RecordMessage::Pull { have, .. } if self.control.is_none() => {
                let state = Message::Record(self.view.state_since(*have));
                self.send(from.clone(), state, out);
            }
            RecordMessage::Pull { .. } | RecordMessage::Propose { .. } => {
                self.run_control(out, |control, outputs| {
                    control.on_record(now, unix_ms, from, message, outputs);
                });
            }
            RecordMessage::State { asked, age, .. } => {
                if asked.is_some() {
                    self.client.on_state(from, age.is_some());
                }
                if self.view.merge(message) {
                    self.on_view_changed(now, out);
                }
            }
            RecordMessage::Answer { id, reply } => {
                if let Some(reply) = self.client.on_answer(now, *id, reply.clone()) {
                    self.on_answer(now, *id, reply, out);
                }
            }
            RecordMessage::Redirect { id, leader } => {
                self.client.on_redirect(now, *id, leader.as_ref());
            }
        }
    }

    fn on_answer(&mut self, now: Millis, id: u64, reply: Reply, out: &mut Vec<Output>) {
        match self.awaited.remove(&id) {
            Some(Awaited::Claim(request)) => self.on_claim_answer(now, request, reply, out),
            Some(Awaited::Operator(ticket)) => {
                out.push(Output::Answer(ticket, OperatorReply::Changed { reply }));
            }
            Some(Awaited::Settle) | None => {}
        }
    }

    fn on_view_changed(&mut self, now: Millis, out: &mut Vec<Output>) {
        let serving = !self.view.is_out(&self.domain);
        let leaving = self.view.leaving();
        let services: Vec<Service> = self.view.documents().keys().cloned().collect();
        for (service, dispatcher) in self.dispatchers.iter_mut().chain(self.shares.iter_mut()) {
            dispatcher.set_standing(serving, &leaving);
            if let Some(in_force) = self.view.documents().get(service) {
                dispatcher.set_document(&in_force.document);
            }
        }
        if let Some(leases) = &mut self.leases {
            leases.set_services(services);
        }
        self.keep_shares(now, out);
        out.push(Output::ViewChanged);
    }

    /// Begins and ends static shares.
    fn keep_shares(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.entry.is_none() {
            return;
        }
        let services: Vec<Service> = self.view.documents().keys().cloned().collect();
        for service in services {
            let may_be_held =
                self.leases.as_ref().is_some_and(|leases| leases.may_be_held(now, &service));
            let since = if may_be_held {
                self.homeless.remove(&service);
                None
            } else {
                Some(*self.homeless.entry(service.clone()).or_insert(now))
            };
            let wanted = self.settings.static_shares
                || since.is_some_and(|since| now.since(since) >= FALLBACK_AFTER);
            if wanted != self.shares.contains_key(&service) {
                self.set_share(now, &service, wanted, out);
            }
        }
        self.update_watch(out);
    }

    fn set_share(&mut self, now: Millis, service: &Service, active: bool, out: &mut Vec<Output>) {
        out.push(Output::Decided(Decision::Fallback { service: service.clone(), active }));
        if !active {
            self.shares.remove(service);
            return;
        }
        let Some(in_force) = self.view.documents().get(service) else { return };
        let mut document = (*in_force.document).clone();
        if !self.settings.static_shares {
            // A dispatcher on the other side of a cut keeps back just the cold limit.
            let cold = document.slots.cold;
            document.slots = SlotLimits { cold, warm: cold };
        }
        let term = STATIC_TERM | now.0;
        let share = self.new_dispatcher(now, service, term, document, Vec::new());
        self.shares.insert(service.clone(), share);
    }

    // Operators and time.

    fn on_asked(
        &mut self,
        now: Millis,
        ticket: Ticket,
        request: OperatorRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match request {
            OperatorRequest::Change { command: Command::SetDomain { domain, .. } }
                if !self.settings.peers.iter().any(|peer| peer.failure_domain == domain) =>
            {
                nothing_there(&format!("no instance is in a failure domain {domain}"))
            }
            OperatorRequest::Change { command } => {
                let proposal = self.client.propose(now, command, CHANGE_PATIENCE);
                self.awaited.insert(proposal, Awaited::Operator(ticket));
                return;
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
            OperatorRequest::Document { service } => match self.view.documents().get(&service) {
                Some(in_force) => OperatorReply::Document(in_force.stored.clone()),
                None => nothing_there(&format!("no document of {service} is in force here")),
            },
            OperatorRequest::History { service } => match &self.control {
                Some(control) => {
                    let revisions = control.record().revisions(&service).cloned().collect();
                    OperatorReply::History { revisions }
                }
                None => nothing_there("ask a control instance for the history"),
            },
            OperatorRequest::Members => match &self.control {
                Some(control) => OperatorReply::Members {
                    members: control.consensus().members().to_vec(),
                    leader: control.consensus().leader().map(|leader| leader.0.clone()),
                },
                None => nothing_there("ask a control instance for the members"),
            },
        };
        out.push(Output::Answer(ticket, reply));
    }

    /// Describes what the instance knows and does.
    pub fn status(&self, now: Millis) -> Status {
        let revisions = self.view.documents().iter();
        let control = self.control.as_ref().map(|control| ControlStatus {
            term: control.consensus().term(),
            leader: control.consensus().leader().map(|leader| leader.0.clone()),
            commit: control.consensus().commit(),
            keys: control.record().keys().len(),
            failure: control.failure().cloned(),
        });
        Status {
            instance: self.settings.instance.clone(),
            failure_domain: self.domain.clone(),
            index: self.view.index(),
            fresh: self.view.is_fresh(now),
            draining: self.draining,
            revisions: revisions
                .map(|(s, in_force)| (s.clone(), in_force.stored.revision))
                .collect(),
            domains: self.view.domains().cloned().collect(),
            open_requests: self.open_requests(),
            pools: self.pool_statuses(),
            control,
        }
    }

    fn pool_statuses(&self) -> Vec<PoolStatus> {
        let all = self.dispatchers.iter().chain(self.shares.iter());
        let describe = |(service, dispatcher): (&Service, &Dispatcher)| {
            let loads = dispatcher.loads();
            PoolStatus {
                service: service.clone(),
                term: (dispatcher.term() & STATIC_TERM == 0).then(|| dispatcher.term()),
                backlogged: dispatcher.counters().backlogged(),
                upstreams: loads.map(|(name, used, limit)| (name.clone(), (used, limit))).collect(),
            }
        };
        all.map(describe).collect()
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
        let active = self.entry.iter().flat_map(|entry| entry.active_services().cloned());
        for service in active.collect::<Vec<_>>() {
            self.ensure_sessions(now, &service, out);
        }
        self.run_entry(now, out, |entry, view, outputs| entry.tick(now, view, outputs));
    }

    fn send_proposals(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        self.client.send_proposals(now, &mut messages);
        for (to, message) in messages {
            self.send(to, Message::Record(message), out);
        }
    }

    fn tick_client(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut messages = Vec::new();
        self.client.pull(now, self.view.index(), &mut messages);
        for (to, message) in messages {
            self.send(to, Message::Record(message), out);
        }
        for (id, reply) in self.client.give_up_overdue(now) {
            self.on_answer(now, id, reply, out);
        }
    }

    fn tick_dispatchers(&mut self, now: Millis, out: &mut Vec<Output>) {
        let services: Vec<Service> = self.watched.iter().cloned().collect();
        for service in services {
            let mut outputs = Vec::new();
            if let Some(dispatcher) = self.dispatchers.get_mut(&service) {
                dispatcher.tick(now, &mut outputs);
            }
            if let Some(share) = self.shares.get_mut(&service) {
                share.tick(now, &mut outputs);
            }
            self.carry_out_dispatch(now, &service, outputs, out);
        }
    }

    /// Returns how long the node has been running.
    pub fn uptime(&self, now: Millis) -> Millis {
        now.since(self.started)
    }
}

fn nothing_there(detail: &str) -> OperatorReply {
    OperatorReply::Failed(CodedError::new(Code::NothingThere, detail))
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
