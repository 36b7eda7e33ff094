//! An entry's decisions: admit, queue, send, retry, give up.
//!
//! The entry never chooses an upstream. It tells dispatchers what waits and uses the slots they
//! give; what it decides alone is what needs no knowledge of others: bounds, deadlines, whether a
//! failed request may be tried again, and the exact outcome it reports to the caller.

mod budget;
mod queue;
mod session;

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
        dispatch::{
            DispatchBody, DispatchMessage, Ending, Finished, Grant, GrantId, Held, Offer, Session,
            SessionTag, Waiting,
        },
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
            DispatchBody::Grants { session, heard, grants } => {
                let Some(state) = self.current(&message.pool, *session) else { return };
                if !state.may_use_grants(now, *heard) {
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

    /// Closes a session that a dispatcher believes in and this entry does not.
    ///
    /// The end of a session may overtake its beginning, which another instance has passed on. The
    /// dispatcher would then give slots to nobody until it takes the entry for dead.
    fn refuse_stray(&self, from: &Instance, message: &DispatchMessage, out: &mut Vec<EntryOutput>) {
        let (DispatchBody::Grants { session, .. } | DispatchBody::Ack { session, .. }) =
            &message.body
        else {
            return;
        };
        let pool = &message.pool;
        let is_known = self.sessions.contains_key(pool);
        if !is_known && !self.holds(pool) {
            let body = DispatchBody::Close { session: *session };
            self.send(from, pool.clone(), message.term, body, out);
        }
    }

    /// Returns the session with a pool if `session` is the current one.
    ///
    /// A grant of an earlier session may come from a dispatcher whose lease has passed on. The new
    /// holder was not told of it and would give the slot a second time.
    fn current(&mut self, pool: &Pool, session: SessionTag) -> Option<&mut PoolSession> {
        self.sessions.get_mut(pool).filter(|state| state.session.tag() == session)
    }

    fn on_grant(
        &mut self,
        now: Millis,
        view: &View,
        pool: &Pool,
        grant: &Grant,
        out: &mut Vec<EntryOutput>,
    ) {
        self.note_changed(&pool.0, &grant.organisation);
        let barred = view.is_out(&pool.1) || view.is_leaving(&grant.upstream);
        let unsure = pool.1 != self.domain && !view.is_fresh(now);
        let next = if barred || unsure { None } else { self.next_request(now, pool, grant) };
        let held = HeldGrant {
            organisation: grant.organisation.clone(),
            upstream: grant.upstream.clone(),
            cost: 0,
        };
        self.held.insert((pool.clone(), grant.id), held);
        let Some(id) = next else {
            self.end_grant(pool, grant.id, Ending::Unused, 0, None);
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.needs_claim && !request.claimed {
            request.stage = Stage::Claiming { pool: pool.clone(), grant: grant.clone() };
            out.push(EntryOutput::Claim(id));
            return;
        }
        self.start(now, id, pool, grant, out);
    }

    /// Takes the next request that may use the grant.
    fn next_request(&mut self, now: Millis, pool: &Pool, grant: &Grant) -> Option<RequestId> {
        let requests = &self.requests;
        let accepts = |id: RequestId| {
            let avoids = requests.get(&id).and_then(|request| request.avoid.as_ref());
            !avoids.is_some_and(|(upstream, until)| *upstream == grant.upstream && now < *until)
        };
        self.queues.take(&pool.0, &grant.organisation, accepts)
    }

    fn start(
        &mut self,
        now: Millis,
        id: RequestId,
        pool: &Pool,
        grant: &Grant,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Sent { pool: pool.clone(), grant: grant.id };
        let waited = now.since(request.arrived);
        out.push(EntryOutput::Decided(Decision::Send {
            request: id,
            service: pool.0.clone(),
            organisation: grant.organisation.clone(),
            upstream: grant.upstream.clone(),
            attempt: request.attempts,
            waited_ms: waited.0,
        }));
        request.attempts += 1;
        let state = self.services.entry(pool.0.clone()).or_default();
        state.wait = Millis((state.wait.0 * 7 + waited.0) / 8);
        let upstream = grant.upstream.clone();
        out.push(EntryOutput::Start { id, upstream, address: grant.address });
    }

    /// Handles the result of a claim: `Ok` to send the request, or the code to refuse it with.
    ///
    /// Returns whether the claim is of no use any more and must be released: its request is gone.
    pub fn on_claimed(
        &mut self,
        now: Millis,
        id: RequestId,
        result: Result<(), Code>,
        out: &mut Vec<EntryOutput>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return result.is_ok() };
        let Stage::Claiming { pool, grant } = request.stage.clone() else { return false };
        match result {
            Ok(()) => {
                request.claimed = true;
                self.start(now, id, &pool, &grant, out);
            }
            Err(code) => {
                self.end_grant(&pool, grant.id, Ending::Unused, 0, None);
                self.give_up(id, code, out);
            }
        }
        false
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

    /// Ends the use of a grant.
    fn end_grant(
        &mut self,
        pool: &Pool,
        id: GrantId,
        ending: Ending,
        cost: u32,
        first_byte_ms: Option<u32>,
    ) {
        self.held.remove(&(pool.clone(), id));
        if let Some(session) = self.sessions.get_mut(pool) {
            session.note_finished(Finished { id, ending, cost, first_byte_ms });
        }
    }

    /// Notes what a request has cost so far.
    pub fn on_progress(&mut self, id: RequestId, cost: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let Stage::Sent { pool, grant } = &request.stage else { return };
        if let Some(held) = self.held.get_mut(&(pool.clone(), *grant)) {
            held.cost = cost;
        }
        if let Some(session) = self.sessions.get_mut(pool) {
            session.note_progress(*grant, cost);
        }
    }

    /// Handles the end of an attempt.
    ///
    /// The entry answers with nothing if the request is done, with [`EntryOutput::GiveUp`] if it
    /// is given up, and otherwise has queued it for another attempt.
    pub fn on_attempt_end(
        &mut self,
        now: Millis,
        id: RequestId,
        end: AttemptEnd,
        cost: u32,
        first_byte_ms: Option<u32>,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let Stage::Sent { pool, grant } = request.stage.clone() else { return };
        let upstream = self.held.get(&(pool.clone(), grant)).map(|held| held.upstream.clone());
        let ending = match end {
            AttemptEnd::Completed => Ending::Completed,
            AttemptEnd::Refused => Ending::Refused,
            AttemptEnd::NotSent
            | AttemptEnd::Broken
            | AttemptEnd::BrokenForGood
            | AttemptEnd::TimedOut => Ending::Failed,
            AttemptEnd::HungUp => Ending::Unused,
        };
        self.end_grant(&pool, grant, ending, cost, first_byte_ms);
        let code = match end {
            AttemptEnd::Completed | AttemptEnd::HungUp => {
                self.remove(id);
                return;
            }
            AttemptEnd::NotSent | AttemptEnd::Refused => Code::UpstreamRefused,
            AttemptEnd::Broken | AttemptEnd::BrokenForGood => Code::AnswerBroken,
            AttemptEnd::TimedOut => Code::AnswerTimeout,
        };
        if self.may_retry(now, id, end) {
            self.requeue(now, id, upstream, out);
        } else {
            self.give_up(id, code, out);
        }
    }

    fn may_retry(&mut self, now: Millis, id: RequestId, end: AttemptEnd) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let surely_not_run = matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused);
        let repeatable = surely_not_run || request.idempotent;
        let ended = matches!(end, AttemptEnd::TimedOut | AttemptEnd::BrokenForGood);
        let has_time = now < request.deadline && !ended;
        let in_bounds = request.attempts < MAX_ATTEMPTS;
        let state = self.services.entry(request.service.clone()).or_default();
        repeatable && has_time && in_bounds && state.budget.spend()
    }

    fn requeue(
        &mut self,
        now: Millis,
        id: RequestId,
        upstream: Option<UpstreamName>,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        request.avoid = upstream.clone().map(|upstream| (upstream, now + AVOIDANCE));
        let (service, organisation) = (request.service.clone(), request.organisation.clone());
        self.queues.push_front(&service, &organisation, id, request.bytes);
        self.note_changed(&service, &organisation);
        if let Some(upstream) = upstream {
            out.push(EntryOutput::Decided(Decision::Retry { request: id, upstream }));
        }
    }

    /// Forgets a request whose caller has hung up or was answered without sending it.
    pub fn on_hang_up(&mut self, id: RequestId) {
        let Some(request) = self.remove(id) else { return };
        match request.stage {
            Stage::Queued => {}
            Stage::Claiming { pool, grant } => {
                self.end_grant(&pool, grant.id, Ending::Unused, 0, None);
            }
            Stage::Sent { pool, grant } => {
                self.end_grant(&pool, grant, Ending::Unused, 0, None);
            }
        }
    }

    fn on_offers(
        &mut self,
        now: Millis,
        view: &View,
        pool: &Pool,
        offers: &[Offer],
        out: &mut Vec<EntryOutput>,
    ) {
        if pool.1 != self.domain || !view.is_fresh(now) {
            return;
        }
        for Offer(domain, holder) in offers {
            let other = Pool(pool.0.clone(), domain.clone());
            self.want_session(now, other, holder, 0, Some(now + OFFER_TTL), out);
        }
    }

    /// Makes sure of a session with `holder`, opening one if there is none or another holder.
    pub fn want_session(
        &mut self,
        now: Millis,
        pool: Pool,
        holder: &Instance,
        term: u64,
        wanted_until: Option<Millis>,
        out: &mut Vec<EntryOutput>,
    ) {
        if let Some(known) = self.sessions.get_mut(&pool) {
            known.wanted_until = wanted_until;
            if known.holder == *holder && known.term == term {
                return;
            }
        }
        self.open(now, pool, holder.clone(), term, wanted_until, out);
    }

    fn open(
        &mut self,
        now: Millis,
        pool: Pool,
        holder: Instance,
        term: u64,
        wanted_until: Option<Millis>,
        out: &mut Vec<EntryOutput>,
    ) {
        let session = Session(self.incarnation, self.next_session);
        self.next_session += 1;
        let mut state =
            PoolSession::new(now, pool.clone(), holder.clone(), term, session, wanted_until);
        let body = state.open(self.all_waiting(&pool.0), self.all_held(&pool));
        self.sessions.insert(pool.clone(), state);
        self.send(&holder, pool, term, body, out);
    }

    fn reopen(&mut self, now: Millis, pool: &Pool, out: &mut Vec<EntryOutput>) {
        let Some(known) = self.sessions.get(pool) else { return };
        let (holder, term, wanted_until) = (known.holder.clone(), known.term, known.wanted_until);
        self.open(now, pool.clone(), holder, term, wanted_until, out);
    }

    fn send(
        &self,
        to: &Instance,
        pool: Pool,
        term: u64,
        body: DispatchBody,
        out: &mut Vec<EntryOutput>,
    ) {
        let message = DispatchMessage { pool, term, origin: None, body };
        out.push(EntryOutput::Send(to.clone(), message));
    }

    fn all_waiting(&self, service: &Service) -> Vec<Waiting> {
        let waiting = self.queues.waiting(service);
        waiting.map(|(organisation, count)| Waiting(organisation.clone(), count as u32)).collect()
    }

    fn all_held(&self, pool: &Pool) -> Vec<Held> {
        let first = (pool.clone(), GrantId(0, 0));
        let of_pool = self.held.range(first..).take_while(|((p, _), _)| p == pool);
        let as_held = |((_, id), held): (&(Pool, GrantId), &HeldGrant)| Held {
            id: *id,
            organisation: held.organisation.clone(),
            upstream: held.upstream.clone(),
            cost: held.cost,
        };
        of_pool.map(as_held).collect()
    }

    /// Ends the session with a pool, if there is one.
    pub fn close(&mut self, pool: &Pool, out: &mut Vec<EntryOutput>) {
        if let Some(state) = self.sessions.remove(pool) {
            let body = DispatchBody::Close { session: state.session.tag() };
            self.send(&state.holder, pool.clone(), state.term, body, out);
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

    fn keep_sessions(&mut self, now: Millis, view: &View, out: &mut Vec<EntryOutput>) {
        let pools: Vec<Pool> = self.sessions.keys().cloned().collect();
        for pool in pools {
            let holds = self.holds(&pool);
            let is_active = self.is_active(&pool.0);
            let unsure = pool.1 != self.domain && !view.is_fresh(now);
            self.mute(&pool, unsure);
            let Some(state) = self.sessions.get_mut(&pool) else { continue };
            if is_active {
                state.active = now;
            }
            let unwanted = state.wanted_until.is_some_and(|until| now > until);
            let idle = now.since(state.active) > IDLE_CLOSE;
            if !holds && (unwanted || unsure || idle) {
                self.close(&pool, out);
            } else if state.is_stale(now) {
                // The dispatcher or the connection to it may be gone for good; opening again
                // tells it everything, and works with a successor as well.
                self.reopen(now, &pool, out);
            }
        }
    }

    /// Withdraws the demand from a pool that may get nothing new, or reports it again.
    fn mute(&mut self, pool: &Pool, muted: bool) {
        let waiting: Vec<Organisation> =
            self.queues.waiting(&pool.0).map(|(organisation, _)| organisation.clone()).collect();
        let Some(state) = self.sessions.get_mut(pool).filter(|s| s.muted != muted) else { return };
        state.muted = muted;
        for organisation in &waiting {
            state.note_changed(organisation, 0);
        }
    }

    /// Returns when the next report is due, if nothing else happens.
    pub fn next_report(&self) -> Option<Millis> {
        self.sessions.values().map(PoolSession::next_report).min()
    }

    /// Sends the reports that are due.
    pub fn report(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        let queues = &self.queues;
        let mut due = Vec::new();
        for (pool, session) in &mut self.sessions {
            let waiting = |organisation: &Organisation| queues.len(&pool.0, organisation) as u32;
            if let Some(body) = session.report(now, waiting) {
                due.push((session.holder.clone(), pool.clone(), session.term, body));
            }
        }
        for (holder, pool, term, body) in due {
            self.send(&holder, pool, term, body, out);
        }
    }

    /// Returns the sessions open now, for the status page.
    pub fn session_pools(&self) -> impl Iterator<Item = (&Pool, &Instance)> {
        self.sessions.iter().map(|(pool, session)| (pool, &session.holder))
    }
}
