//! One instance: its state machines and the messages between them.
//!
//! The node makes all decisions of an instance. A process runs it with threads for I/O; tests and
//! load measurements feed it messages directly.

mod io;
mod operators;
mod orders;
mod pools;
mod record;
mod requests;
mod rollouts;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use self::io::{Input, KeyedRequest, Output, RecordStanding, Ticket};
use super::{
    client::RecordClient,
    control::ControlMachine,
    dispatcher::Dispatcher,
    entry::{EntryMachine, RequestId},
    lease::LeaseManager,
    orders::OrderReconciler,
    view::View,
};
use crate::{
    core::{
        Code, FailureDomain, Instance, Millis, Service, Settings, code::CodedError, settings::Role,
    },
    protocol::{Message, operator::OperatorReply, record::ClaimId},
    state::log::Log,
};

/// A pool that has had no dispatcher for this long is served by static shares.
const FALLBACK_DELAY: Millis = Millis(6_000);
/// The timeout for a claim to be committed.
const CLAIM_TIMEOUT: Millis = Millis(5_000);
/// How long the settlement of a claim is retried.
const SETTLE_TIMEOUT: Millis = Millis(120_000);
/// The timeout for an operator's change to be committed.
const CHANGE_TIMEOUT: Millis = Millis(5_000);
/// Added to a claim's duration for the round trip to the upstream.
const CLAIM_MARGIN: Millis = Millis(10_000);

/// What the reply to a proposal is for.
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
    orders: BTreeMap<Service, OrderReconciler>,
    /// Dispatchers of this instance's static shares, for pools without a dispatcher.
    shares: BTreeMap<Service, Dispatcher>,
    /// Services without a known lease holder, and since when.
    without_dispatcher: BTreeMap<Service, Millis>,
    control: Option<ControlMachine>,
    client: RecordClient,
    /// Open proposals, by their number.
    awaited: BTreeMap<u64, Awaited>,
    claims: BTreeMap<RequestId, ClaimState>,
    /// A random number that identifies this process in claims; its proposals count from it. The incarnation is not enough: two
    /// instances that start in the same millisecond would take each other's claims for their own
    /// resends, and both would send the request.
    claimer: u64,
    next_claim: u64,
    watched: BTreeSet<Service>,
    /// Messages from this instance to itself.
    loopback: VecDeque<Message>,
    /// When what was seen of running rollouts is reported next.
    next_rollout_report: Millis,
    draining: bool,
}

impl Node {
    /// Creates the node of an instance.
    ///
    /// `incarnation` increases with each start of the instance; `claimer` is a random number unique
    /// to the process; `control` is its replica of the record, if it has one.
    pub fn new(
        now: Millis,
        settings: Settings,
        incarnation: u64,
        claimer: u64,
        control: Option<ControlMachine>,
    ) -> Node {
        let own = settings.own_peer().clone();
        let instance = own.instance.clone();
        let domain = own.failure_domain.clone();
        let is_entry = own.has_role(Role::Entry);
        let domain_entries = entries_in_domain(&settings, &domain);
        let neighbours = domain_entries.iter().filter(|i| **i != instance).cloned().collect();
        let controls = settings.with_role(Role::Control).map(|p| p.instance.clone());
        let client = RecordClient::new(&instance, controls, neighbours, claimer);
        let entries: Vec<Instance> =
            settings.with_role(Role::Entry).map(|peer| peer.instance.clone()).collect();
        let entry = is_entry
            .then(|| EntryMachine::new(instance.clone(), domain.clone(), incarnation, entries));
        let leases = (is_entry && !settings.static_shares)
            .then(|| LeaseManager::new(now, incarnation, instance, &domain, domain_entries));
        Node {
            domain,
            view: View::default(),
            entry,
            leases,
            dispatchers: BTreeMap::new(),
            orders: BTreeMap::new(),
            shares: BTreeMap::new(),
            without_dispatcher: BTreeMap::new(),
            control,
            client,
            awaited: BTreeMap::new(),
            claims: BTreeMap::new(),
            claimer,
            next_claim: 1,
            watched: BTreeSet::new(),
            loopback: VecDeque::new(),
            next_rollout_report: Millis::ZERO,
            draining: false,
            settings,
        }
    }

    /// Returns the configuration in force on this instance.
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

    /// Returns the current log, for rewriting it on disk.
    pub fn log(&self) -> Option<&Log> {
        self.control.as_ref().map(|control| control.consensus().log())
    }

    /// Returns the number of open requests from callers.
    pub fn open_requests(&self) -> usize {
        self.entry.as_ref().map_or(0, EntryMachine::open_requests)
    }

    /// Returns whether the instance is draining and has no open requests or proposals.
    pub fn is_drained(&self) -> bool {
        self.draining && self.open_requests() == 0 && self.awaited.is_empty()
    }

    /// Handles an input; `unix_ms` is the wall-clock time.
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
            Input::Noticed(id, notice) => {
                self.run_entry(now, out, |entry, _, outputs| {
                    entry.on_notice(now, id, notice, outputs);
                });
            }
            Input::Progressed(id, cost) => {
                if let Some(entry) = &mut self.entry {
                    entry.on_progress(id, cost);
                }
            }
            Input::HungUp(id) => self.on_hang_up(now, id),
            Input::Listed(service, listing) => self.on_listed(now, &service, &listing, out),
            Input::EngineNoticed(id, notice) => self.on_engine_notice(now, &id, notice, out),
            Input::EngineResponded(id, reply) => self.on_engine_response(now, &id, reply, out),
            Input::OperatorRequest(ticket, request) => self.on_operator(now, ticket, request, out),
            Input::StorageFailed(err) => {
                if let Some(control) = &mut self.control {
                    control.on_storage_failed(err);
                }
            }
            Input::Drain => self.drain(now, out),
            Input::Tick => self.tick(now, unix_ms, out),
        }
        self.deliver_loopback(now, unix_ms, out);
    }

    /// Returns the latest time at which [`Node::flush`] should be called even without inputs.
    pub fn next_flush(&self) -> Option<Millis> {
        self.entry.as_ref().and_then(EntryMachine::next_report)
    }

    /// Completes a batch of inputs and sends the messages gathered during it.
    pub fn flush(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<Output>) {
        self.run_control(out, |control, outputs| control.flush(now, outputs));
        self.run_entry(now, out, |entry, _, outputs| entry.report(now, outputs));
        self.send_crash_news(now, out);
        self.send_proposals(now, out);
        self.deliver_loopback(now, unix_ms, out);
    }

    fn deliver_loopback(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<Output>) {
        let instance = self.settings.instance.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(now, unix_ms, &instance, &message, out);
        }
    }

    fn send(&mut self, to: Instance, message: Message, out: &mut Vec<Output>) {
        if to == self.settings.instance {
            self.loopback.push_back(message);
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
            // Used only by fleets with automatic discovery; a `Node` has all instances in its
            // settings.
            Message::Fleet(_) => {}
            Message::Crashes(news) => self.on_crash_news(now, news, out),
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
        self.handle_lease_outputs(now, outputs, out);
    }

    fn tick(&mut self, now: Millis, unix_ms: u64, out: &mut Vec<Output>) {
        self.run_control(out, |control, outputs| {
            control.tick(now, outputs);
            control.tick_rollouts(now, unix_ms, outputs);
        });
        self.tick_client(now, out);
        if let Some(leases) = &mut self.leases {
            let mut outputs = Vec::new();
            leases.tick(now, &mut outputs);
            self.handle_lease_outputs(now, outputs, out);
        }
        self.update_shares(now, out);
        self.tick_dispatchers(now, out);
        self.report_rollouts(now, out);
        self.tick_orders(now, out);
        let active = self.entry.iter().flat_map(|entry| entry.active_services().cloned());
        for service in active.collect::<Vec<_>>() {
            self.ensure_sessions(now, &service, out);
        }
        let first = out.len();
        self.run_entry(now, out, |entry, view, outputs| entry.tick(now, view, outputs));
        self.release_unsent(now, &out[first..]);
    }
}

fn not_found(detail: &str) -> OperatorReply {
    OperatorReply::Failed(CodedError::new(Code::NotFound, detail))
}

/// Returns the instances with the entry role in a failure domain.
fn entries_in_domain(settings: &Settings, domain: &FailureDomain) -> Vec<Instance> {
    let entries = settings.with_role(Role::Entry);
    let of_domain = entries.filter(|peer| peer.failure_domain == *domain);
    of_domain.map(|peer| peer.instance.clone()).collect()
}

/// Returns the failure domains other than `own` that have instances with the entry role.
fn other_domains(settings: &Settings, own: &FailureDomain) -> BTreeSet<FailureDomain> {
    let entries = settings.with_role(Role::Entry);
    entries.map(|peer| peer.failure_domain.clone()).filter(|domain| domain != own).collect()
}
