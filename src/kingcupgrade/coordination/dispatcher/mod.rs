//! The dispatcher of one pool: entries report their demand, and it grants them upstream slots.
//!
//! Each pool has a single dispatcher, so that the limit of a cold upstream is enforced exactly and
//! slots are shared fairly among organisations across all entries. The dispatcher holds a lease
//! (see [`super::lease`]). A new holder rebuilds its state from what the entries report, so no
//! dispatcher state is persisted.

mod backoff;
pub mod counters;
mod demand;
mod exchange;
mod grants;
mod recovery;
mod rollout;
pub mod slots;
mod turns;
mod upstreams;
mod withheld;

use std::collections::{BTreeMap, BTreeSet};

use self::{
    counters::Counters,
    demand::Demand,
    slots::{LimitReset, Slots},
};
use super::{decision::Decision, notices::Notices, rollout::Participant};
use crate::{
    core::{
        Document, FailureDomain, Instance, Millis, Organisation, UpstreamName, document::SlotLimits,
    },
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, DispatchMessage, FinishedGrant, GrantId, GrantOutcome, QueuedRequests,
        },
    },
};

/// How long a new dispatcher waits for entries to open their sessions before it grants slots.
pub const RECOVERY_PERIOD: Millis = Millis(400);
/// An entry that sends nothing for this long is considered dead or partitioned.
pub const SESSION_TIMEOUT: Millis = Millis(3_000);
/// A refused connection is ignored if the process was heard from within this time: the dial may
/// have begun before the process started.
const DIAL_FAILURE_GRACE: Millis = Millis(300);
/// How often service totals are sent to the other dispatchers of the service.
const EXCHANGE_INTERVAL: Millis = Millis(1_000);
/// How long the last exchange from another dispatcher stays valid.
const EXCHANGE_TTL: Millis = Millis(3_500);
/// Every this many exchanges, one is full: all backlogged organisations are sent again, together
/// with those without a backlog whose service changed.
const FULL_EXCHANGE_EVERY: u64 = 30;
/// Maximum number of organisations in one exchange; the rest follow in the next.
const EXCHANGE_BATCH: usize = 200;
/// How far the counters of two pools may differ, in average charges, before one pool takes the
/// other's demand while it still has its own.
const OFFER_MARGIN: i64 = 2;
/// Added to a request's deadline for the network delay to and from its upstream.
const DEADLINE_SLACK: Millis = Millis(1_000);

/// An action requested by the dispatcher.
#[derive(Clone, Debug)]
pub enum DispatcherOutput {
    /// Send a message to an instance.
    Send(Instance, DispatchMessage),
    /// Send a message to the dispatchers of the service in all other failure domains.
    SendToRemoteDispatchers(DispatchMessage),
    /// Log a decision.
    Decided(Decision),
}

#[derive(Clone, Debug)]
struct OutstandingGrant {
    entry: Instance,
    organisation: Organisation,
    upstream: UpstreamName,
    estimate: u32,
    charged: u32,
    granted_at: Millis,
}

/// The last exchange received from another dispatcher of the service.
#[derive(Clone, Debug)]
struct RemoteDispatcher {
    holder: Instance,
    term: u64,
    free: u32,
    min_counter: Option<i64>,
    /// When an upstream of its pool takes requests again, if all have asked for none.
    backoff_until: Option<Millis>,
    last_heard: Millis,
}

impl RemoteDispatcher {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.last_heard) <= EXCHANGE_TTL
    }

    /// Returns the time until its pool takes requests again, if all of its upstreams have asked for
    /// none.
    fn backoff_left(&self, now: Millis) -> Option<Millis> {
        self.backoff_until.map(|until| until.since(now)).filter(|left| *left > Millis::ZERO)
    }
}

/// The state of one pool's dispatcher.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pool: Pool,
    instance: Instance,
    term: u64,
    started_at: Millis,
    document: Document,
    /// Whether the failure domain accepts new requests.
    serving: bool,
    /// Upstreams that get no new requests, because of an operator or a pending order.
    leaving: BTreeSet<UpstreamName>,
    counters: Counters,
    demand: Demand,
    outstanding: BTreeMap<GrantId, OutstandingGrant>,
    in_flight: BTreeMap<UpstreamName, u32>,
    slots: BTreeMap<UpstreamName, Slots>,
    /// What upstreams have asked for on their answers to entries.
    notices: Notices,
    /// Entries of the failure domain, which may use a static share while they are unreachable.
    local_entries: Vec<Instance>,
    /// The entry that owns the static share of each listed upstream.
    static_owners: BTreeMap<UpstreamName, Instance>,
    /// Entries whose process is known to have terminated.
    terminated: BTreeSet<Instance>,
    /// Slots reserved for unreachable entries that may be using their static share.
    reserved: BTreeMap<UpstreamName, u32>,
    remote_dispatchers: BTreeMap<FailureDomain, RemoteDispatcher>,
    rollout: Participant,
    next_grant: u64,
    next_exchange: Millis,
    /// Earliest time at which withheld slots are logged again.
    next_withheld_report: Millis,
    exchange_count: u64,
    average_charge: i64,
}

impl Dispatcher {
    /// Creates the dispatcher of `pool` for lease term `term`.
    ///
    /// `local_entries` are the entries of the failure domain. Slots that an unreachable one of them
    /// may be using are reserved.
    pub fn new(
        now: Millis,
        pool: Pool,
        instance: Instance,
        term: u64,
        document: Document,
        local_entries: Vec<Instance>,
    ) -> Dispatcher {
        let mut counters = Counters::default();
        for (organisation, member) in &document.organisations {
            counters.set_share(organisation, member.share);
        }
        Dispatcher {
            pool,
            instance,
            term,
            started_at: now,
            document,
            serving: true,
            leaving: BTreeSet::new(),
            counters,
            demand: Demand::default(),
            outstanding: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            slots: BTreeMap::new(),
            notices: Notices::default(),
            local_entries,
            static_owners: BTreeMap::new(),
            terminated: BTreeSet::new(),
            reserved: BTreeMap::new(),
            remote_dispatchers: BTreeMap::new(),
            rollout: Participant::default(),
            next_grant: 1,
            next_exchange: now,
            next_withheld_report: now,
            exchange_count: 0,
            average_charge: 0,
        }
    }

    /// Returns the lease term under which this dispatcher grants slots.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the service counters of the organisations.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of grants in use and the current limit of each upstream.
    pub fn loads(&self) -> impl Iterator<Item = (&UpstreamName, u32, u32)> {
        self.slots.iter().map(|(name, slots)| (name, self.in_flight(name), slots.limit()))
    }

    /// Returns the slot limits set by the document.
    pub fn slot_limits(&self) -> SlotLimits {
        self.document.slots
    }

    /// Applies a newer document.
    pub fn set_document(&mut self, document: &Document) {
        for (organisation, member) in &document.organisations {
            self.counters.set_share(organisation, member.share);
        }
        for slots in self.slots.values_mut() {
            slots.set_limits(document.slots);
        }
        self.document = document.clone();
    }

    /// Sets whether the failure domain accepts new requests, and which upstreams get none.
    pub fn set_availability(&mut self, serving: bool, leaving: &BTreeSet<UpstreamName>) {
        self.serving = serving;
        self.leaving.clone_from(leaving);
    }

    /// Handles a message for this dispatcher.
    pub fn on_message(
        &mut self,
        now: Millis,
        from: &Instance,
        term: u64,
        body: &DispatchBody,
        out: &mut Vec<DispatcherOutput>,
    ) {
        match body {
            DispatchBody::Open { session, waiting, held } => {
                let knows_term = term == self.term;
                self.on_open(now, from, *session, knows_term, waiting, held);
            }
            DispatchBody::Report {
                session,
                seq,
                received,
                waiting,
                finished,
                progress,
                notices,
                begun,
            } => {
                let in_sequence = self.demand.on_report(now, from, *session, *seq, *received);
                if !in_sequence {
                    self.send(from, DispatchBody::Resync, out);
                    return;
                }
                for notice in notices {
                    self.on_notice(now, notice, out);
                }
                for done in finished {
                    self.on_finished(now, done, out);
                }
                for (id, cost) in progress {
                    self.on_progress(*id, *cost);
                }
                self.demand.note_begun(from, begun);
                self.set_waiting(now, from, waiting);
            }
            DispatchBody::Close { session } => self.on_close(now, from, *session),
            DispatchBody::Exchange { free, least, served, backoff_left } => {
                let remote = RemoteDispatcher {
                    holder: from.clone(),
                    term,
                    free: *free,
                    min_counter: *least,
                    backoff_until: backoff_left.map(|left| now + left),
                    last_heard: now,
                };
                self.on_exchange(now, remote, served, out);
            }
            DispatchBody::Recall { served } => self.counters.merge_own(served),
            DispatchBody::Grants { .. } | DispatchBody::Ack { .. } | DispatchBody::Resync => {}
        }
        self.dispatch(now, out);
    }

    fn withdraw_demand(&mut self, now: Millis, entry: &Instance) {
        for organisation in self.demand.clear(entry) {
            self.refresh_waiting(now, &organisation);
        }
    }

    fn set_waiting(&mut self, now: Millis, entry: &Instance, waiting: &[QueuedRequests]) {
        for QueuedRequests(organisation, count) in waiting {
            self.demand.set(entry, organisation, *count);
            self.refresh_waiting(now, organisation);
        }
    }

    fn refresh_waiting(&mut self, now: Millis, organisation: &Organisation) {
        let total = self.demand.total(organisation);
        let remote_min = self.fresh_remotes(now).filter_map(|(_, n)| n.min_counter).min();
        self.counters.set_waiting(organisation, total, remote_min);
    }

    fn on_finished(&mut self, now: Millis, done: &FinishedGrant, out: &mut Vec<DispatcherOutput>) {
        self.on_progress(done.id, done.cost);
        let Some(grant) = self.remove_outstanding(done.id) else { return };
        self.on_rollout_finished(&grant, done);
        let longest_run = self.longest_run();
        let Some(slots) = self.slots.get_mut(&grant.upstream) else { return };
        let reset = match done.outcome {
            GrantOutcome::Completed => {
                slots.on_completed(now, grant.granted_at, done.first_byte_ms)
            }
            GrantOutcome::Unused => None,
            GrantOutcome::Refused => {
                slots.on_failure(now);
                Some(LimitReset::Refused)
            }
            GrantOutcome::Failed => {
                slots.on_failure(now);
                if done.may_run {
                    slots.add_unaccounted(now, None, now + longest_run);
                }
                Some(LimitReset::Failed)
            }
        };
        self.log_limit_reset(&grant.upstream, reset, out);
    }

    fn on_progress(&mut self, id: GrantId, cost: u32) {
        let Some(grant) = self.outstanding.get_mut(&id) else { return };
        if cost > grant.charged {
            let charged = std::mem::replace(&mut grant.charged, cost);
            self.counters.add_cost(&grant.organisation, grant.estimate, charged, cost);
        }
    }

    /// Removes a grant, which frees its slot, and refunds the unused part of its estimate.
    fn remove_outstanding(&mut self, id: GrantId) -> Option<OutstandingGrant> {
        let grant = self.outstanding.remove(&id)?;
        let learn = grant.charged > 0;
        self.counters.end_grant(&grant.organisation, grant.estimate, grant.charged, learn);
        if let Some(count) = self.in_flight.get_mut(&grant.upstream) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&grant.upstream);
            }
        }
        Some(grant)
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        self.drop_silent_entries(now);
        self.reserve_static_shares(now);
        self.dispatch(now, out);
        self.report_withheld(now, out);
        self.acknowledge(now, out);
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchange(now, out);
        }
    }

    fn send(&self, to: &Instance, body: DispatchBody, out: &mut Vec<DispatcherOutput>) {
        out.push(DispatcherOutput::Send(to.clone(), self.message(body)));
    }

    fn message(&self, body: DispatchBody) -> DispatchMessage {
        DispatchMessage { pool: self.pool.clone(), term: self.term, origin: None, body }
    }

    fn acknowledge(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        let offers = self.offers(now);
        let backoff_left = self.service_backoff_left(now);
        for (entry, session, granted) in self.demand.due_acks(now, backoff_left.is_some()) {
            let offers = offers.clone();
            let body = DispatchBody::Ack { session, granted, offers, backoff_left };
            self.send(&entry, body, out);
        }
    }

    /// Sets which failure domain each instance is in.
    pub fn set_domains(&mut self, domains: impl IntoIterator<Item = (Instance, FailureDomain)>) {
        self.demand.set_domains(domains);
    }

    /// Checks the invariants that hold after every input.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violated invariant.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut counted: BTreeMap<&UpstreamName, u32> = BTreeMap::new();
        for grant in self.outstanding.values() {
            *counted.entry(&grant.upstream).or_default() += 1;
        }
        let stored: BTreeMap<&UpstreamName, u32> =
            self.in_flight.iter().map(|(name, count)| (name, *count)).collect();
        if counted != stored {
            return Err(format!("in-flight counts {stored:?} differ from grants {counted:?}"));
        }
        Ok(())
    }
}
