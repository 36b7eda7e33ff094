//! Use of grants, attempts to send requests, and retries.

use super::{
    AttemptEnd, EntryMachine, EntryOutput, HeldGrant, MAX_ATTEMPTS, MAX_DECLINED_GRANTS, RequestId,
    Stage, UPSTREAM_AVOIDANCE,
};
use crate::{
    coordination::{decision::Decision, required_version::RequiredVersion, view::View},
    core::{Code, Millis, UpstreamName},
    protocol::{
        Pool,
        dispatch::{BegunAnswer, FinishedGrant, Grant, GrantOutcome},
    },
};

impl EntryMachine {
    pub(super) fn on_grant(
        &mut self,
        now: Millis,
        view: &View,
        pool: &Pool,
        grant: &Grant,
        out: &mut Vec<EntryOutput>,
    ) {
        let is_excluded = view.is_out(&pool.1) || view.is_leaving(&grant.upstream);
        let takes_requests = self.may_use(now, pool, &grant.upstream, grant.incarnation);
        let next = if is_excluded || !takes_requests || self.is_unconfirmed(now, view, pool) {
            None
        } else {
            self.next_request(now, pool, grant)
        };
        self.note_changed(&pool.0, &grant.organisation);
        let held = HeldGrant {
            organisation: grant.organisation.clone(),
            upstream: grant.upstream.clone(),
            incarnation: grant.incarnation,
            version: grant.version.clone(),
            cost: 0,
        };
        self.held.insert((pool.clone(), grant.id), held);
        let Some(id) = next else {
            self.end_grant(pool, FinishedGrant::unused(grant.id));
            self.on_declined(pool, grant, out);
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

    /// Takes the next request that may use the grant out of its queue.
    fn next_request(&mut self, now: Millis, pool: &Pool, grant: &Grant) -> Option<RequestId> {
        let requests = &self.requests;
        let accepts = |id: RequestId| {
            let Some(request) = requests.get(&id) else { return true };
            let avoided = request.avoid.as_ref();
            let is_avoided = avoided
                .is_some_and(|(upstream, until)| *upstream == grant.upstream && now < *until);
            !is_avoided && request.version.allows(grant.version.as_ref())
        };
        self.queues.take(&pool.0, &grant.organisation, accepts)
    }

    /// Handles a grant that nothing was sent on: asks for another one for the request whose answer
    /// goes on at another version, or ends its answer.
    fn on_declined(&mut self, pool: &Pool, grant: &Grant, out: &mut Vec<EntryOutput>) {
        let requests = &self.requests;
        let declines = |id: &RequestId| {
            let request = requests.get(id);
            request.is_some_and(|request| !request.version.allows(grant.version.as_ref()))
        };
        let declined = self.queues.find(&pool.0, &grant.organisation, declines);
        let Some((id, request)) = declined.and_then(|id| Some((id, self.requests.get_mut(&id)?)))
        else {
            return;
        };
        request.declined += 1;
        if request.declined >= MAX_DECLINED_GRANTS {
            self.give_up(id, Code::AnswerBroken, out);
        } else {
            self.note_begun(id);
        }
    }

    /// Tells the dispatchers which version a queued request goes on at, if its answer has begun.
    fn note_begun(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let RequiredVersion::Exactly(version) = &request.version else { return };
        let begun = BegunAnswer(request.organisation.clone(), version.clone());
        for session in self.sessions.values_mut().filter(|s| s.pool.0 == request.service) {
            session.note_begun(begun.clone());
        }
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        id: RequestId,
        pool: &Pool,
        grant: &Grant,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Sent { pool: pool.clone(), grant: grant.id };
        request.sent_at = now;
        let digest = request.digest;
        let waited = now.since(request.arrived);
        out.push(EntryOutput::Decided(Decision::Send {
            request: id,
            digest: request.digest,
            service: pool.0.clone(),
            organisation: grant.organisation.clone(),
            upstream: grant.upstream.clone(),
            attempt: request.attempts,
            waited_ms: waited.0,
        }));
        request.attempts += 1;
        let state = self.services.entry(pool.0.clone()).or_default();
        state.average_wait = Millis((state.average_wait.0 * 7 + waited.0) / 8);
        self.on_crash_cause_sent(now, digest);
        let upstream = grant.upstream.clone();
        out.push(EntryOutput::Start { id, upstream, address: grant.address });
    }

    /// Handles the result of a claim: `Ok` to send the request, or the code to refuse it with.
    ///
    /// Returns whether the claim succeeded but must be released, because its request is closed or
    /// past its deadline.
    pub fn on_claimed(
        &mut self,
        now: Millis,
        id: RequestId,
        result: Result<(), Code>,
        out: &mut Vec<EntryOutput>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return result.is_ok() };
        let Stage::Claiming { pool, grant } = request.stage.clone() else { return false };
        let (digest, deadline) = (request.digest, request.deadline);
        request.claimed = result.is_ok();
        match (result, self.barred(now, digest)) {
            (Ok(()), _) if now >= deadline => {
                // If it were sent now, it would time out, and its outcome would needlessly be
                // unknown.
                self.end_grant(&pool, FinishedGrant::unused(grant.id));
                self.give_up(id, Code::DeadlineQueued, out);
                return true;
            }
            (Ok(()), Some(barred)) => {
                self.end_grant(&pool, FinishedGrant::unused(grant.id));
                self.refuse_barred(id, barred, out);
                return true;
            }
            (Ok(()), None) => {
                if self.may_use(now, &pool, &grant.upstream, grant.incarnation) {
                    self.start(now, id, &pool, &grant, out);
                } else {
                    self.end_grant(&pool, FinishedGrant::unused(grant.id));
                    self.requeue(now, id, None, out);
                }
            }
            (Err(code), _) => {
                self.end_grant(&pool, FinishedGrant::unused(grant.id));
                self.give_up(id, code, out);
            }
        }
        false
    }

    /// Ends the use of a grant.
    pub(super) fn end_grant(&mut self, pool: &Pool, done: FinishedGrant) {
        self.held.remove(&(pool.clone(), done.id));
        if let Some(session) = self.sessions.get_mut(pool) {
            session.note_finished(done);
        }
    }

    /// Records the cost of a request so far.
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
    /// Outputs [`EntryOutput::GiveUp`] if the request has finally failed. A request that may be
    /// retried is queued again, and any other one is closed without an output.
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
        let digest = request.digest;
        let held = self.held.get(&(pool.clone(), grant)).cloned();
        // Only answers that are forwarded event by event cost something before they are complete.
        let has_begun = first_byte_ms.is_some() && cost > 0;
        if let (AttemptEnd::Disconnected, Some(held)) = (end, &held) {
            self.on_disconnect(now, id, held, has_begun, out);
        }
        let (upstream, version) = held.map(|held| (held.upstream, held.version)).unzip();
        let version = version.flatten();
        let outcome = match end {
            AttemptEnd::Completed => GrantOutcome::Completed,
            AttemptEnd::Refused => GrantOutcome::Refused,
            AttemptEnd::NotSent
            | AttemptEnd::Disconnected
            | AttemptEnd::Broken
            | AttemptEnd::BrokenForGood
            | AttemptEnd::Silent
            | AttemptEnd::TimedOut => GrantOutcome::Failed,
            AttemptEnd::HungUp => GrantOutcome::Unused,
        };
        let may_run = end == AttemptEnd::Silent;
        let done = FinishedGrant { id: grant, outcome, cost, first_byte_ms, may_run };
        self.end_grant(&pool, done);
        let code = match end {
            AttemptEnd::Completed => {
                self.remove(id);
                self.on_answered(now, digest, out);
                return;
            }
            AttemptEnd::HungUp => {
                self.remove(id);
                return;
            }
            AttemptEnd::NotSent | AttemptEnd::Refused => Code::UpstreamRefused,
            AttemptEnd::Disconnected
            | AttemptEnd::Broken
            | AttemptEnd::BrokenForGood
            | AttemptEnd::Silent => Code::AnswerBroken,
            AttemptEnd::TimedOut => Code::AnswerTimeout,
        };
        if has_begun && let Some(request) = self.requests.get_mut(&id) {
            request.version = RequiredVersion::Exactly(version);
        }
        if let Some(barred) = self.barred(now, digest) {
            self.refuse_barred(id, barred, out);
        } else if self.may_retry(now, id, end) {
            self.requeue(now, id, upstream, out);
        } else {
            self.give_up(id, code, out);
        }
    }

    fn may_retry(&mut self, now: Millis, id: RequestId, end: AttemptEnd) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let was_not_run = matches!(end, AttemptEnd::NotSent | AttemptEnd::Refused);
        let may_repeat = was_not_run || request.idempotent;
        let is_final = matches!(end, AttemptEnd::TimedOut | AttemptEnd::BrokenForGood);
        let has_time = now < request.deadline && !is_final;
        let has_attempts_left = request.attempts < MAX_ATTEMPTS;
        let state = self.services.entry(request.service.clone()).or_default();
        may_repeat && has_time && has_attempts_left && state.budget.spend()
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
        request.avoid = upstream.clone().map(|upstream| (upstream, now + UPSTREAM_AVOIDANCE));
        let (service, organisation) = (request.service.clone(), request.organisation.clone());
        self.queues.push_front(&service, &organisation, id, request.bytes);
        self.note_changed(&service, &organisation);
        self.note_begun(id);
        if let Some(upstream) = upstream {
            out.push(EntryOutput::Decided(Decision::Retry { request: id, upstream }));
        }
    }
}
