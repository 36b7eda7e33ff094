//! The state machine of an entry: admission, queueing, sending, retries and failure of requests.
//!
//! An entry never selects an upstream. It reports its waiting requests to dispatchers and uses the
//! slots they grant. It decides only what needs no knowledge of other instances: queue limits,
//! deadlines, whether a failed request may be retried, and the outcome reported to the caller.

mod attempts;
mod backoff;
mod budget;
mod crashes;
mod io;
mod pool_session;
mod queue;
mod refusals;
mod sessions;

use std::collections::{BTreeMap, BTreeSet};

pub use self::io::{Arrival, AttemptEnd, EntryOutput, RequestId};
use self::{budget::RetryBudget, pool_session::PoolSession, queue::Queues};
use super::{
    crashes::CrashCauses, notices::Notices, required_version::RequiredVersion, view::View,
};
use crate::{
    core::{
        Code, Document, FailureDomain, Instance, Millis, Organisation, RequestDigest, Service,
        UpstreamName, Version,
    },
    protocol::{
        Pool,
        dispatch::{DispatchBody, DispatchMessage, FinishedGrant, Grant, GrantId},
    },
};

/// Maximum number of times a request is sent.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of grants of other versions that a request whose answer has begun declines: by then
/// no upstream of its version has a free slot.
const MAX_DECLINED_GRANTS: u32 = 3;
/// How long an offer of slots in another failure domain is valid.
const OFFER_TTL: Millis = Millis(2_000);
/// A session is closed after this time without grants in use or open requests of its service.
const SESSION_IDLE_TIMEOUT: Millis = Millis(5_000);
/// How long a request is not sent again to the upstream that failed it.
const UPSTREAM_AVOIDANCE: Millis = Millis(2_000);
/// How long the pool of this failure domain may have no dispatcher before demand goes to other
/// failure domains.
const NO_DISPATCHER_TIMEOUT: Millis = Millis(3_000);

#[derive(Clone, Debug)]
enum Stage {
    Queued,
    Claiming { pool: Pool, grant: Grant },
    Sent { pool: Pool, grant: GrantId },
}

#[derive(Clone, Debug)]
struct Request {
    digest: RequestDigest,
    service: Service,
    organisation: Organisation,
    bytes: usize,
    idempotent: bool,
    needs_claim: bool,
    claimed: bool,
    arrived: Millis,
    deadline: Millis,
    attempts: u32,
    /// When it was last sent to an upstream.
    sent_at: Millis,
    avoid: Option<(UpstreamName, Millis)>,
    /// The versions that may serve it: the one that began its answer, once it has begun.
    version: RequiredVersion,
    /// The grants of other versions that came instead of one that may serve it.
    declined: u32,
    stage: Stage,
}

#[derive(Clone, Debug)]
struct HeldGrant {
    organisation: Organisation,
    upstream: UpstreamName,
    incarnation: u64,
    version: Option<Version>,
    cost: u32,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    budget: RetryBudget,
    /// Moving average of the time between arrival and sending.
    average_wait: Millis,
    /// Until when every upstream has asked for no requests, as the dispatcher has told.
    backoff_until: Millis,
    /// Since when the pool of this failure domain has had no dispatcher, if it has none.
    no_dispatcher_since: Option<Millis>,
}

/// The state of one entry.
#[derive(Clone, Debug)]
pub struct EntryMachine {
    instance: Instance,
    domain: FailureDomain,
    /// Distinguishes this process from earlier ones of the same instance.
    incarnation: u64,
    next_session: u64,
    requests: BTreeMap<RequestId, Request>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    queues: Queues,
    sessions: BTreeMap<Pool, PoolSession>,
    held: BTreeMap<(Pool, GrantId), HeldGrant>,
    /// What upstreams have asked this entry for on their answers.
    notices: Notices,
    /// All entries of the fleet, this one included.
    entries: Vec<Instance>,
    crash_causes: CrashCauses,
    /// When the requests that are kept from upstreams are told again.
    next_bars: Millis,
    services: BTreeMap<Service, ServiceState>,
    /// Number of open requests per service, cached because every tick needs it.
    open_by_service: BTreeMap<Service, usize>,
    draining: bool,
}

impl EntryMachine {
    /// Creates the state of an entry; `incarnation` increases with every start of the instance, and
    /// `entries` are all of the fleet.
    pub fn new(
        instance: Instance,
        domain: FailureDomain,
        incarnation: u64,
        entries: Vec<Instance>,
    ) -> EntryMachine {
        EntryMachine {
            instance,
            domain,
            incarnation,
            next_session: 1,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queues: Queues::default(),
            sessions: BTreeMap::new(),
            held: BTreeMap::new(),
            notices: Notices::default(),
            entries,
            crash_causes: CrashCauses::default(),
            next_bars: Millis::ZERO,
            services: BTreeMap::new(),
            open_by_service: BTreeMap::new(),
            draining: false,
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Lists the services of which this entry runs requests under a static share.
    pub fn static_share_services(&self) -> Vec<Service> {
        let shared = self.held.keys().filter(|(_, id)| id.is_static());
        let services: BTreeSet<&Service> = shared.map(|(pool, _)| &pool.0).collect();
        services.into_iter().cloned().collect()
    }

    /// Returns whether a request is open.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Lists the services of which this entry has open requests.
    pub fn active_services(&self) -> impl Iterator<Item = &Service> {
        self.open_by_service.keys()
    }

    /// Returns whether this entry has an open request of `service`.
    pub fn is_active(&self, service: &Service) -> bool {
        self.open_by_service.contains_key(service)
    }

    /// Returns whether this entry uses a grant of the pool.
    fn holds(&self, pool: &Pool) -> bool {
        let first = (pool.clone(), GrantId(0, 0));
        self.held.range(first..).next().is_some_and(|((held, _), _)| held == pool)
    }

    /// Queues a request or refuses it.
    pub fn admit(
        &mut self,
        now: Millis,
        arrival: Arrival,
        document: &Document,
        out: &mut Vec<EntryOutput>,
    ) {
        let limits = &document.limits;
        let Arrival { id, digest, service, organisation, bytes, idempotent, needs_claim } = arrival;
        let has_room = self.queues.has_room(&service, &organisation, bytes, limits);
        let request = Request {
            digest,
            service: service.clone(),
            organisation: organisation.clone(),
            bytes,
            idempotent,
            needs_claim,
            claimed: false,
            arrived: now,
            deadline: now + Millis(limits.deadline_ms),
            attempts: 0,
            sent_at: Millis::ZERO,
            avoid: None,
            version: RequiredVersion::Any,
            declined: 0,
            stage: Stage::Queued,
        };
        if self.draining || !has_room {
            let code = if self.draining { Code::Draining } else { Code::QueueFull };
            self.refuse(id, &request, code, out);
            return;
        }
        if let Some(barred) = self.barred(now, digest) {
            self.refuse_until(id, &request, barred.code(), barred.left, out);
            return;
        }
        let backoff_left = self.backoff_left(now, &service);
        if backoff_left > Millis::ZERO {
            self.refuse_until(id, &request, Code::UpstreamsBackingOff, backoff_left, out);
            return;
        }
        self.services.entry(service.clone()).or_default().budget.earn();
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
        *self.open_by_service.entry(service.clone()).or_default() += 1;
        self.queues.push_back(&service, &organisation, id, bytes);
        self.note_changed(&service, &organisation);
    }

    fn note_changed(&mut self, service: &Service, organisation: &Organisation) {
        let count = self.queues.len(service, organisation) as u32;
        for session in self.sessions.values_mut().filter(|s| s.pool.0 == *service) {
            session.note_changed(organisation, count);
        }
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
        self.close_unknown_session(from, message, out);
        match &message.body {
            DispatchBody::Grants { session, last_report, grants } => {
                let Some(state) = self.current_session(&message.pool, *session) else { return };
                if !state.may_use_grants(now, *last_report) {
                    self.reopen_session(now, &message.pool, out);
                    return;
                }
                state.holder.clone_from(from);
                self.set_backoff(now, &message.pool.0, None, out);
                let Some(state) = self.sessions.get_mut(&message.pool) else { return };
                let new = grants.iter().filter(|grant| state.note_received(now, grant));
                for grant in new.collect::<Vec<_>>() {
                    self.on_grant(now, view, &message.pool, grant, out);
                }
            }
            DispatchBody::Ack { session, granted, offers, backoff_left } => {
                let Some(state) = self.current_session(&message.pool, *session) else { return };
                if !state.on_ack(now, *granted) {
                    self.reopen_session(now, &message.pool, out);
                }
                self.on_offers(now, view, &message.pool, offers, out);
                self.set_backoff(now, &message.pool.0, *backoff_left, out);
            }
            DispatchBody::Resync => {
                let known = self.sessions.get(&message.pool);
                if known.is_some_and(|s| s.holder == *from) {
                    self.reopen_session(now, &message.pool, out);
                }
            }
            _ => {}
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        if let Some(count) = self.open_by_service.get_mut(&request.service) {
            *count -= 1;
            if *count == 0 {
                self.open_by_service.remove(&request.service);
            }
        }
        let Request { service, organisation, .. } = &request;
        if matches!(request.stage, Stage::Queued) {
            self.queues.take(service, organisation, |queued| queued == id);
        }
        self.note_changed(&request.service, &request.organisation);
        Some(request)
    }

    /// Removes a request whose caller has disconnected or was answered without sending it.
    pub fn on_hang_up(&mut self, id: RequestId) {
        let Some(request) = self.remove(id) else { return };
        match request.stage {
            Stage::Queued => {}
            Stage::Claiming { pool, grant } => {
                self.end_grant(&pool, FinishedGrant::unused(grant.id));
            }
            Stage::Sent { pool, grant } => {
                self.end_grant(&pool, FinishedGrant::unused(grant));
            }
        }
    }

    /// Records whether the pool of this failure domain has a dispatcher.
    ///
    /// Returns whether it has had none for so long that demand should go to other failure domains.
    pub fn note_local_dispatcher(
        &mut self,
        now: Millis,
        service: &Service,
        has_dispatcher: bool,
    ) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        if has_dispatcher {
            state.no_dispatcher_since = None;
            return false;
        }
        let since = *state.no_dispatcher_since.get_or_insert(now);
        now.since(since) >= NO_DISPATCHER_TIMEOUT
    }

    /// Runs the periodic work.
    pub fn tick(&mut self, now: Millis, view: &View, out: &mut Vec<EntryOutput>) {
        self.expire_queued(now, out);
        self.notices.expire(now);
        self.maintain_sessions(now, view, out);
        self.report(now, out);
    }

    fn expire_queued(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, id));
            let Some(request) = self.requests.get(&id) else { continue };
            // The timeout of a request already sent is enforced by its connection.
            if matches!(request.stage, Stage::Queued) {
                self.give_up(id, Code::DeadlineQueued, out);
            }
        }
    }
}
