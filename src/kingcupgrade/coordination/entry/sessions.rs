//! The entry's sessions with dispatchers: opened, kept, reported in and closed.

use super::{EntryMachine, EntryOutput, HeldGrant, IDLE_CLOSE, OFFER_TTL};
use crate::{
    coordination::{entry::session::PoolSession, view::View},
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
    /// Closes a session that a dispatcher believes in and this entry does not.
    ///
    /// The end of a session may overtake its beginning, which another instance has passed on. The
    /// dispatcher would then give slots to nobody until it takes the entry for dead.
    pub(super) fn refuse_stray(
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
    /// A grant of an earlier session may come from a dispatcher whose lease has passed on. The new
    /// holder was not told of it and would give the slot a second time.
    pub(super) fn current(&mut self, pool: &Pool, session: SessionTag) -> Option<&mut PoolSession> {
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

    pub(super) fn open(
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

    pub(super) fn reopen(&mut self, now: Millis, pool: &Pool, out: &mut Vec<EntryOutput>) {
        let Some(known) = self.sessions.get(pool) else { return };
        let (holder, term, wanted_until) = (known.holder.clone(), known.term, known.wanted_until);
        self.open(now, pool.clone(), holder, term, wanted_until, out);
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

    pub(super) fn keep_sessions(&mut self, now: Millis, view: &View, out: &mut Vec<EntryOutput>) {
        let pools: Vec<Pool> = self.sessions.keys().cloned().collect();
        for pool in pools {
            let holds = self.holds(&pool);
            let is_active = self.is_active(&pool.0);
            let unsure = self.is_unsure(now, view, &pool);
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

    /// Tells whether a pool is in another failure domain whose standing is not confirmed of late.
    pub(super) fn is_unsure(&self, now: Millis, view: &View, pool: &Pool) -> bool {
        pool.1 != self.domain && !view.is_fresh(now)
    }

    /// Withdraws the demand from a pool that may get nothing new, or reports it again.
    fn mute(&mut self, pool: &Pool, muted: bool) {
        let Some(state) = self.sessions.get_mut(pool).filter(|s| s.muted != muted) else { return };
        state.muted = muted;
        for (organisation, _) in self.queues.waiting(&pool.0) {
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
