//! Queueing a request, sending it, and sending it again as far as that is permitted.

use std::rc::Rc;

use metrics::histogram;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    AttemptGuard, ProxiedRequest, UpstreamResponse, exchange::SendResult,
    routed::charged_organisation,
};
use crate::{
    coordination::{
        crashes::Barred,
        traffic::{Demand, RequestNo, Verdict},
    },
    core::{Code, Millis, Outcome},
    transport::gateway::adapter::PlatformAdapter,
};

/// The number of upstreams to which sending may fail before any byte is written; then the request
/// is refused.
const MAX_UNSENT: u32 = 4;
/// An idempotent request is sent to another upstream if there is no response within this many times
/// its target: by then the upstream is more likely to hang than to be working.
const HANG_TARGETS: u64 = 2;
/// The minimum of that time: ordinary requests in the tail of the latency distribution take as
/// long.
const MIN_HANG: Millis = Millis(150);
/// The retry delay sent after upstreams rejected a request or could not be reached.
const RETRY_AFTER_REJECTED: Millis = Millis(500);

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Retries the request if that is permitted.
    pub(super) async fn retry(self: &Rc<ProxiedRequest<E>>) -> Option<UpstreamResponse<E>> {
        if !self.may_repeat() {
            return None;
        }
        self.fetch_response(None).await.ok()
    }

    /// Returns whether a request that may have run may be sent again; if so, takes the repeat from
    /// the retry budget.
    pub(in crate::transport::gateway) fn may_repeat(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        self.route.kind.is_idempotent()
            && attempts < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.barred().is_none()
            && self.gateway.traffic.borrow_mut().try_retry(self.gateway.now(), &self.service)
    }

    /// Returns what keeps the request from all upstreams, if anything does.
    fn barred(&self) -> Option<Barred> {
        let traffic = self.gateway.traffic.borrow();
        traffic.barred(self.gateway.now(), self.digest, &self.prompt)
    }

    /// Returns the code for a request whose answer broke off and that is not sent again, and the
    /// retry delay.
    pub(super) fn broken(&self) -> (Code, Millis) {
        let barred = self.barred().filter(|barred| barred.code().outcome() == Outcome::Unknown);
        barred.map_or((Code::AnswerBroken, Millis::ZERO), |barred| (barred.code(), barred.left))
    }

    /// Queues and sends the request, retrying as far as permitted, until the head of a response
    /// arrives.
    ///
    /// # Errors
    ///
    /// Returns the code with which to refuse the request, and the retry delay.
    pub(in crate::transport::gateway) async fn fetch_response(
        self: &Rc<ProxiedRequest<E>>,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse<E>, (Code, Millis)> {
        // Whether an earlier attempt may have run.
        let mut may_have_run = self.progress.borrow().attempts > 0;
        loop {
            let attempt = AttemptGuard::new(self.gateway.clone(), self.request_id.clone());
            let error = |code: Code, retry_after| {
                // `code` states that the request did not run; that may not be true any more.
                let is_false = may_have_run && code.outcome() == Outcome::NotRun;
                if is_false { (Code::AnswerBroken, Millis::ZERO) } else { (code, retry_after) }
            };
            let grant = match self.await_verdict(&attempt).await {
                Verdict::Start(grant) => grant,
                Verdict::Refuse { code, retry_after } => return Err(error(code, retry_after)),
            };
            let taken_up_after = self.taken_up.as_ref().and_then(|stream| stream.last_event);
            self.report_placed(&grant, last_event.or(taken_up_after));
            match self.send_once(&grant, attempt, last_event).await {
                SendResult::Response(response) => return Ok(*response),
                SendResult::NotSent => {
                    let mut progress = self.progress.borrow_mut();
                    progress.avoid.push(grant.upstream);
                    progress.unsent += 1;
                    if progress.unsent >= MAX_UNSENT {
                        return Err(error(Code::NoUpstream, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::Withheld => {
                    let mut progress = self.progress.borrow_mut();
                    progress.unsent += 1;
                    if progress.unsent >= MAX_UNSENT {
                        return Err(error(Code::NoUpstream, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::CallerLeft => return Err(error(Code::CallerLeft, Millis::ZERO)),
                SendResult::Rejected => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if let Some(left) = self.time_to_end_of_backoff() {
                        return Err(error(Code::UpstreamsBackingOff, left));
                    }
                    if !self.may_send_after_rejection() {
                        return Err(error(Code::UpstreamRefused, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::Unknown => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if !self.may_repeat() {
                        return Err(self.broken());
                    }
                    may_have_run = true;
                }
                SendResult::TimedOut => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if Instant::now() >= self.deadline || !self.may_repeat() {
                        return Err((Code::AnswerTimeout, Millis::ZERO));
                    }
                    may_have_run = true;
                }
            }
        }
    }

    /// Returns the time after which the request may be sent, if every upstream that may serve it has
    /// asked for no requests.
    fn time_to_end_of_backoff(&self) -> Option<Millis> {
        let progress = self.progress.borrow();
        let traffic = self.gateway.traffic.borrow();
        traffic.time_to_end_of_backoff(self.gateway.now(), &self.service, &progress.version)
    }

    /// Returns whether a request that is known not to have run may be sent to another upstream; the
    /// attempt is taken from the retry budget nevertheless.
    fn may_send_after_rejection(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        attempts < self.route.max_attempts.max(2)
            && Instant::now() < self.deadline
            && self.gateway.traffic.borrow_mut().try_retry(self.gateway.now(), &self.service)
    }

    pub(super) fn demand(&self, no: RequestNo) -> Demand {
        Demand {
            no,
            digest: self.digest,
            service: self.service.clone(),
            route: self.route_name.clone(),
            organisation: charged_organisation(self.organisation.as_ref()),
            arrived: self.arrived,
            target: self.target,
            deadline: self.deadline_at,
            prompt: self.prompt.clone(),
            expected_output: self.output,
            avoid: self.progress.borrow().avoid.clone(),
            is_repeat: self.progress.borrow().attempts > 0,
            may_repeat: self.route.kind.is_idempotent(),
            version: self.progress.borrow().version.clone(),
        }
    }

    /// Returns the scheduler's verdict, for which the request may have to queue until its deadline.
    async fn await_verdict(&self, attempt: &AttemptGuard<E>) -> Verdict {
        let demand = self.demand(attempt.no);
        let now = self.gateway.now();
        if let Some(verdict) = self.gateway.traffic.borrow_mut().admit(now, demand) {
            return verdict;
        }
        let (tx, rx) = oneshot::channel();
        self.gateway.waiting.borrow_mut().insert(attempt.no, tx);
        let timed_out = Verdict::Refuse { code: Code::DeadlineQueued, retry_after: Millis::ZERO };
        let verdict = timeout_at(self.deadline, rx).await;
        let waited = self.gateway.now().since(now);
        histogram!("kingcup_queue_ms").record(waited.0 as f64);
        let mut progress = self.progress.borrow_mut();
        progress.queued = progress.queued + waited;
        drop(progress);
        match verdict {
            Ok(Ok(verdict)) => verdict,
            _ => timed_out,
        }
    }

    /// Returns the time at which an upstream that sends nothing is taken for hung.
    pub(in crate::transport::gateway) fn hang_deadline(&self) -> Instant {
        let can_repeat = self.route.kind.is_idempotent()
            && self.progress.borrow().attempts + 1 < self.route.max_attempts;
        if !can_repeat {
            return self.deadline;
        }
        let span = Millis(self.route.target_latency.0 * HANG_TARGETS).max(MIN_HANG);
        self.deadline.min(Instant::now() + span.as_duration())
    }
}
