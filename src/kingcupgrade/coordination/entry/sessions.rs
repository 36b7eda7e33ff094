//! Management of the entry's sessions with dispatchers.

use super::{EntryMachine, EntryOutput, HeldGrant, OFFER_TTL, SESSION_IDLE_TIMEOUT};
use crate::{
    coordination::{entry::pool_session::PoolSession, view::View},
    core::{Instance, Millis, Organisation, Service},
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, DispatchMessage, GrantId, GrantInUse, Offer, QueuedRequests, Session,
            SessionTag,
        },
    },
};

impl EntryMachine {
    /// Closes a session that the dispatcher considers open but this entry does not.
    ///
    /// The opening message may be forwarded by another instance, and the closing message may
    /// overtake it. The dispatcher would then grant slots that stay unused until the session times
    /// out.
    pub(super) fn close_unknown_session(
        &self,
        from: &Instance,
        message: &DispatchMessage,
        out: &mut Vec<EntryOutput>,
    ) {
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
    /// A grant of an earlier session may come from a dispatcher that has lost its lease. The new
    /// holder does not know of that grant and would grant the same slot again.
    pub(super) fn current_session(
        &mut self,
        pool: &Pool,
        session: SessionTag,
    ) -> Option<&mut PoolSession> {
        self.sessions.get_mut(pool).filter(|state| state.session.tag() == session)
    }

    pub(super) fn on_offers(
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
            self.ensure_session(now, other, holder, 0, Some(now + OFFER_TTL), out);
        }
    }

    /// Opens a session with `holder` unless one with the same holder and term exists.
    pub fn ensure_session(
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
        self.open_session(now, pool, holder.clone(), term, wanted_until, out);
    }

    pub(super) fn open_session(
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

    pub(super) fn reopen_session(&mut self, now: Millis, pool: &Pool, out: &mut Vec<EntryOutput>) {
        let Some(known) = self.sessions.get(pool) else { return };
        let (holder, term, wanted_until) = (known.holder.clone(), known.term, known.wanted_until);
        self.open_session(now, pool.clone(), holder, term, wanted_until, out);
    }

    pub(super) fn send(
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

    fn all_waiting(&self, service: &Service) -> Vec<QueuedRequests> {
        let waiting = self.queues.waiting(service);
        waiting
            .map(|(organisation, count)| QueuedRequests(organisation.clone(), count as u32))
            .collect()
    }

    fn all_held(&self, pool: &Pool) -> Vec<GrantInUse> {
        let first = (pool.clone(), GrantId(0, 0));
        let of_pool = self.held.range(first..).take_while(|((p, _), _)| p == pool);
        let as_held = |((_, id), held): (&(Pool, GrantId), &HeldGrant)| GrantInUse {
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

    pub(super) fn maintain_sessions(
        &mut self,
        now: Millis,
        view: &View,
        out: &mut Vec<EntryOutput>,
    ) {
        let pools: Vec<Pool> = self.sessions.keys().cloned().collect();
        for pool in pools {
            let holds = self.holds(&pool);
            let is_active = self.is_active(&pool.0);
            let unconfirmed = self.is_unconfirmed(now, view, &pool);
            self.set_demand_suspended(&pool, unconfirmed);
            let Some(state) = self.sessions.get_mut(&pool) else { continue };
            if is_active {
                state.last_active = now;
            }
            let unwanted = state.wanted_until.is_some_and(|until| now > until);
            let idle = now.since(state.last_active) > SESSION_IDLE_TIMEOUT;
            if !holds && (unwanted || unconfirmed || idle) {
                self.close(&pool, out);
            } else if state.is_stale(now) {
                // The dispatcher or the connection to it may be lost. A new session reports the
                // whole state, so it works with a successor too.
                self.reopen_session(now, &pool, out);
            }
        }
    }

    /// Returns whether a pool is in another failure domain while the configuration has not been
    /// confirmed recently.
    pub(super) fn is_unconfirmed(&self, now: Millis, view: &View, pool: &Pool) -> bool {
        pool.1 != self.domain && !view.is_fresh(now)
    }

    /// Withdraws the demand from a pool that may get no new requests, or reports it again.
    fn set_demand_suspended(&mut self, pool: &Pool, suspended: bool) {
        let Some(state) = self.sessions.get_mut(pool).filter(|s| s.demand_suspended != suspended)
        else {
            return;
        };
        state.demand_suspended = suspended;
        for (organisation, _) in self.queues.waiting(&pool.0) {
            state.note_changed(organisation, 0);
        }
    }

    /// Returns when the next report is due, unless something changes before.
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

    /// Returns the pools with an open session and the dispatcher of each.
    pub fn session_pools(&self) -> impl Iterator<Item = (&Pool, &Instance)> {
        self.sessions.iter().map(|(pool, session)| (pool, &session.holder))
    }
}
