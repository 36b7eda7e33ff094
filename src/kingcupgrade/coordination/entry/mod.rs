//! An entry's decisions: admit, queue, send, retry, give up.
//!
//! The entry never chooses an upstream. It tells dispatchers what waits and uses the slots they
//! give; what it decides alone is what needs no knowledge of others: bounds, deadlines, whether a
//! failed request may be tried again, and the exact outcome it reports to the caller.

mod attempts;
mod budget;
mod queue;
mod session;
mod sessions;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use self::{budget::RetryBudget, queue::Queues, session::PoolSession};
use super::{decision::Decision, view::View};
use crate::{
    core::{Code, Document, FailureDomain, Instance, Millis, Organisation, Service, UpstreamName},
    protocol::{
        Pool,
        dispatch::{DispatchBody, DispatchMessage, Grant, GrantId, GrantOutcome},
    },
};

/// Times a request is sent at most.
const MAX_ATTEMPTS: u32 = 4;
/// An offer of another failure domain's dispatcher counts for this long.
const OFFER_TTL: Millis = Millis(2_000);
/// A session with nothing waiting or held is closed after this time.
const IDLE_CLOSE: Millis = Millis(5_000);
/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
/// The longest such time.
const MAX_RETRY_AFTER: Millis = Millis(30_000);
/// How long a failed upstream is avoided for the request it failed.
const AVOIDANCE: Millis = Millis(2_000);
/// How long the home pool may be without dispatcher before demand goes to other domains.
const HOME_PATIENCE: Millis = Millis(3_000);

/// Names a request within this process.
pub type RequestId = u64;

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its name.
    pub id: RequestId,
    /// The service called.
    pub service: Service,
    /// The organisation that calls.
    pub organisation: Organisation,
    /// The size of its body.
    pub bytes: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a request key must be claimed before it is sent.
    pub needs_claim: bool,
}

/// How an attempt at a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was received.
    Completed,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The upstream said that it did not run the request.
    Refused,
    /// The request was sent, and its answer is missing or incomplete.
    Broken,
    /// The same, and a part of the answer that can't be resumed has reached the caller.
    BrokenForGood,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The caller hung up.
    HungUp,
}

/// What the entry wants done.
#[derive(Clone, Debug)]
pub enum EntryOutput {
    /// Send a message to an instance.
    Send(Instance, DispatchMessage),
    /// Claim the request's key; the claim's result comes back as [`EntryMachine::on_claimed`].
    Claim(RequestId),
    /// Send the request to an upstream.
    Start {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Give the caller its final answer: the request is given up.
    GiveUp {
        /// The request.
        id: RequestId,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Millis,
    },
    /// Log a decision.
    Decided(Decision),
}

#[derive(Clone, Debug)]
enum Stage {
    Queued,
    Claiming { pool: Pool, grant: Grant },
    Sent { pool: Pool, grant: GrantId },
}

#[derive(Clone, Debug)]
struct Request {
    service: Service,
    organisation: Organisation,
    bytes: usize,
    idempotent: bool,
    needs_claim: bool,
    claimed: bool,
    arrived: Millis,
    deadline: Millis,
    attempts: u32,
    avoid: Option<(UpstreamName, Millis)>,
    stage: Stage,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    organisation: Organisation,
    upstream: UpstreamName,
    cost: u32,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    budget: RetryBudget,
    /// Smoothed time between arrival and sending.
    wait: Millis,
    /// When the home pool was first found without a dispatcher.
    homeless_since: Option<Millis>,
}

/// The state of one entry.
#[derive(Clone, Debug)]
pub struct EntryMachine {
    domain: FailureDomain,
    /// Tells this process from earlier ones of the same name.
    incarnation: u64,
    next_session: u64,
    requests: BTreeMap<RequestId, Request>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    queues: Queues,
    sessions: BTreeMap<Pool, PoolSession>,
    held: BTreeMap<(Pool, GrantId), HeldGrant>,
    services: BTreeMap<Service, ServiceState>,
    /// Open requests of each service; looked up with every tick.
    open: BTreeMap<Service, usize>,
    draining: bool,
}

impl EntryMachine {
    /// Makes the machine of an entry; `incarnation` grows with each start of the instance.
    pub fn new(domain: FailureDomain, incarnation: u64) -> EntryMachine {
        EntryMachine {
            domain,
            incarnation,
            next_session: 1,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queues: Queues::default(),
            sessions: BTreeMap::new(),
            held: BTreeMap::new(),
            services: BTreeMap::new(),
            open: BTreeMap::new(),
            draining: false,
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns how many requests are open.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Lists the services of which requests run here under a static share.
    pub fn shared_services(&self) -> Vec<Service> {
        let shared = self.held.keys().filter(|(_, id)| id.is_static());
        let services: BTreeSet<&Service> = shared.map(|(pool, _)| &pool.0).collect();
        services.into_iter().cloned().collect()
    }

    /// Tells whether a request is open.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Lists the services of which requests are open here.
    pub fn active_services(&self) -> impl Iterator<Item = &Service> {
        self.open.keys()
    }

    /// Tells whether any request of `service` is open here.
    pub fn is_active(&self, service: &Service) -> bool {
        self.open.contains_key(service)
    }

    /// Tells whether a grant of the pool is in use here.
    fn holds(&self, pool: &Pool) -> bool {
        let first = (pool.clone(), GrantId(0, 0));
        self.held.range(first..).next().is_some_and(|((held, _), _)| held == pool)
    }

    /// Admits a request or refuses it.
    pub fn arrive(
        &mut self,
        now: Millis,
        arrival: Arrival,
        document: &Document,
        out: &mut Vec<EntryOutput>,
    ) {
        let limits = &document.limits;
        let Arrival { id, service, organisation, bytes, idempotent, needs_claim } = arrival;
        let has_room = self.queues.has_room(&service, &organisation, bytes, limits);
        let request = Request {
            service: service.clone(),
            organisation: organisation.clone(),
            bytes,
            idempotent,
            needs_claim,
            claimed: false,
            arrived: now,
            deadline: now + Millis(limits.deadline_ms),
            attempts: 0,
            avoid: None,
            stage: Stage::Queued,
        };
        if self.draining || !has_room {
            let code = if self.draining { Code::Draining } else { Code::QueueFull };
            self.refuse(id, &request, code, out);
            return;
        }
        self.services.entry(service.clone()).or_default().budget.earn();
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
        *self.open.entry(service.clone()).or_default() += 1;
        self.queues.push_back(&service, &organisation, id, bytes);
        self.note_changed(&service, &organisation);
    }

    fn note_changed(&mut self, service: &Service, organisation: &Organisation) {
        let count = self.queues.len(service, organisation) as u32;
        for session in self.sessions.values_mut().filter(|s| s.pool.0 == *service) {
            session.note_changed(organisation, count);
        }
    }

    fn refuse(&self, id: RequestId, request: &Request, code: Code, out: &mut Vec<EntryOutput>) {
        let retry_after = self.retry_after(&request.service);
        out.push(EntryOutput::Decided(Decision::Refuse {
            request: id,
            service: request.service.clone(),
            organisation: request.organisation.clone(),
            code,
        }));
        out.push(EntryOutput::GiveUp { id, code, retry_after });
    }

    /// Returns when a refused caller should come back: after the time requests wait at present.
    fn retry_after(&self, service: &Service) -> Millis {
        let wait = self.services.get(service).map_or(Millis::ZERO, |state| state.wait);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Handles a message from a dispatcher.
    pub fn on_message(
        &mut self,
        now: Millis,
        view: &View,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<EntryOutput>,
    ) {
        self.refuse_stray(from, message, out);
        match &message.body {
            DispatchBody::Grants { session, last_report, grants } => {
                let Some(state) = self.current(&message.pool, *session) else { return };
                if !state.may_use_grants(now, *last_report) {
                    self.reopen(now, &message.pool, out);
                    return;
                }
                state.holder.clone_from(from);
                let new = grants.iter().filter(|grant| state.note_received(now, grant));
                for grant in new.collect::<Vec<_>>() {
                    self.on_grant(now, view, &message.pool, grant, out);
                }
            }
            DispatchBody::Ack { session, granted, offers } => {
                let Some(state) = self.current(&message.pool, *session) else { return };
                if !state.on_ack(now, *granted) {
                    self.reopen(now, &message.pool, out);
                }
                self.on_offers(now, view, &message.pool, offers, out);
            }
            DispatchBody::Resync => {
                let known = self.sessions.get(&message.pool);
                if known.is_some_and(|s| s.holder == *from) {
                    self.reopen(now, &message.pool, out);
                }
            }
            _ => {}
        }
    }

    fn give_up(&mut self, id: RequestId, code: Code, out: &mut Vec<EntryOutput>) {
        if let Some(request) = self.remove(id) {
            self.refuse(id, &request, code, out);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(count) = self.open.get_mut(&request.service) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&request.service);
            }
        }
        let Request { service, organisation, .. } = &request;
        if matches!(request.stage, Stage::Queued) {
            self.queues.take(service, organisation, |queued| queued == id);
        }
        self.note_changed(&request.service, &request.organisation);
        Some(request)
    }

    /// Forgets a request whose caller has hung up or was answered without sending it.
    pub fn on_hang_up(&mut self, id: RequestId) {
        let Some(request) = self.remove(id) else { return };
        match request.stage {
            Stage::Queued => {}
            Stage::Claiming { pool, grant } => {
                self.end_grant(&pool, grant.id, GrantOutcome::Unused, 0, None);
            }
            Stage::Sent { pool, grant } => {
                self.end_grant(&pool, grant, GrantOutcome::Unused, 0, None);
            }
        }
    }

    /// Notes whether the pool of this failure domain has a dispatcher; returns whether it has
    /// been without one for so long that demand should go elsewhere.
    pub fn note_home(&mut self, now: Millis, service: &Service, has_dispatcher: bool) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        if has_dispatcher {
            state.homeless_since = None;
            return false;
        }
        let since = *state.homeless_since.get_or_insert(now);
        now.since(since) >= HOME_PATIENCE
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Millis, view: &View, out: &mut Vec<EntryOutput>) {
        self.drop_overdue(now, out);
        self.keep_sessions(now, view, out);
        self.report(now, out);
    }

    fn drop_overdue(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            let Some(request) = self.requests.get(&id) else { continue };
            // A request already sent has its own timeout at its connection.
            if matches!(request.stage, Stage::Queued) {
                self.give_up(id, Code::DeadlineQueued, out);
            }
        }
    }
}
