//! Queueing a request, sending it, and sending it again as far as that is permitted.

use std::{cell::Cell, rc::Rc};

use metrics::histogram;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    AttemptGuard, ProxiedRequest, UpstreamResponse,
    exchange::SendResult,
    replacement::{Fetched, First, Replaced, first_of},
    routed::charged_organisation,
};
use crate::{
    coordination::{
        crashes::Barred,
        traffic::{Demand, Grant, RequestNo, SendEnd, Verdict},
    },
    core::{Code, Millis, Outcome},
    transport::gateway::{
        adapter::PlatformAdapter,
        race::{Contender, Purpose, SilentSend},
    },
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
/// The time within which a stream that has lost its upstream is to go on: callers give it up after a
/// silence of two seconds or more.
const RESUMPTION_TIME: Millis = Millis(1_500);
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
        self.may_send_again() && self.take_retry()
    }

    /// Returns whether a request that may have run may be sent again as far as its own limits are
    /// concerned.
    pub(super) fn may_send_again(&self) -> bool {
        self.route.kind.is_idempotent()
            && self.progress.borrow().attempts < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.barred().is_none()
    }

    /// Takes a repeat from the retry budget; returns whether there was one.
    fn take_retry(&self) -> bool {
        self.gateway.traffic.borrow_mut().try_retry(self.gateway.now(), &self.service)
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
        self.fetch(last_event, None).await.map(|response| *response)
    }

    /// Fetches a response as [`ProxiedRequest::fetch_response`] does. An attempt that takes the place
    /// of a silent one is taken from the retry budget once there is an upstream for it.
    ///
    /// # Errors
    ///
    /// Returns the code with which to refuse the request, and the retry delay.
    pub(super) async fn fetch(
        self: &Rc<ProxiedRequest<E>>,
        last_event: Option<u64>,
        replaced: Option<Replaced>,
    ) -> Fetched<E> {
        // Whether an earlier attempt may have run.
        let mut may_have_run = replaced.is_some() || self.progress.borrow().attempts > 0;
        let mut is_unpaid = replaced.is_some();
        loop {
            let attempt = AttemptGuard::new(self.gateway.clone(), self.request_id.clone());
            let error = |code: Code, retry_after| {
                // `code` states that the request did not run; that may not be true any more.
                let is_false = may_have_run && code.outcome() == Outcome::NotRun;
                if is_false { (Code::AnswerBroken, Millis::ZERO) } else { (code, retry_after) }
            };
            let grant = match self.await_verdict(&attempt, replaced.as_ref()).await {
                Verdict::Start(grant) => grant,
                Verdict::Refuse { code, retry_after } => return Err(error(code, retry_after)),
            };
            if is_unpaid && !self.may_repeat() {
                return Err((Code::AnswerTimeout, Millis::ZERO));
            }
            is_unpaid = false;
            let taken_up_after = self.taken_up.as_ref().and_then(|stream| stream.last_event);
            self.report_placed(&grant, last_event.or(taken_up_after));
            replaced.iter().for_each(|replaced| replaced.is_sent.set(true));
            match self.send_or_replace(&grant, attempt, last_event).await {
                SendResult::Replaced(Ok(response)) => return Ok(response),
                SendResult::Replaced(Err(failure)) => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if !self.may_repeat() {
                        return Err(failure);
                    }
                    may_have_run = true;
                }
                SendResult::Response(response) => return Ok(response),
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

    /// Sends the request to the granted upstream. If that is silent for too long, asks another one as
    /// well, and returns the response whose head is the first to arrive.
    async fn send_or_replace(
        self: &Rc<ProxiedRequest<E>>,
        grant: &Grant,
        attempt: AttemptGuard<E>,
        last_event: Option<u64>,
    ) -> SendResult<E> {
        let end_on_drop = attempt.end_on_drop();
        let (request, granted) = (self.clone(), grant.clone());
        let sending = async move { request.send_once(&granted, attempt, last_event).await };
        let mut sending = Box::pin(sending);
        if !self.can_be_replaced() {
            return sending.await;
        }
        loop {
            if let Ok(result) = timeout_at(self.hang_deadline(), sending.as_mut()).await {
                return result;
            }
            if Instant::now() >= self.deadline {
                return sending.await;
            }
            if !self.may_replace() {
                continue;
            }
            let (upstream, is_sent) = (grant.upstream.clone(), Rc::<Cell<bool>>::default());
            let silent = vec![upstream.clone()];
            let mut replacement = self.fetch_replacement(silent, last_event, is_sent.clone());
            match first_of(sending.as_mut(), &mut replacement).await {
                First::Silent(SendResult::Response(mut response)) => {
                    let purpose = Purpose::Replacement(is_sent);
                    response.rivals.push(Contender::Fetching { response: replacement, purpose });
                    return SendResult::Response(response);
                }
                First::Silent(_) => return SendResult::Replaced(replacement.await),
                First::Replacement(Ok(mut response)) if self.is_usable(&response) => {
                    let purpose = Purpose::Silent(SilentSend { upstream, end_on_drop });
                    let silent = Box::pin(async move { sending.await.into_fetched() });
                    response.rivals.push(Contender::Fetching { response: silent, purpose });
                    return SendResult::Replaced(Ok(response));
                }
                First::Replacement(Ok(response)) => response.attempt.end(SendEnd::Failed),
                First::Replacement(Err((code, _))) if is_sent.get() => {
                    self.log_failed_replacement(code);
                }
                First::Replacement(Err(_)) => {}
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
            && self.take_retry()
    }

    /// Returns what the request asks of an upstream, in place of a silent attempt if there is one.
    fn demand(&self, no: RequestNo, replaced: Option<&Replaced>) -> Demand {
        let progress = self.progress.borrow();
        let is_resumption = replaced.is_none() && progress.stream_has_begun();
        let target = match is_resumption {
            true => self.gateway.now() + RESUMPTION_TIME,
            false => self.target,
        };
        let silent = replaced.into_iter().flat_map(|replaced| &replaced.upstreams);
        Demand {
            no,
            digest: self.digest,
            service: self.service.clone(),
            route: self.route_name.clone(),
            organisation: charged_organisation(self.organisation.as_ref()),
            arrived: self.arrived,
            target,
            deadline: self.deadline_at,
            prompt: self.prompt.clone(),
            expected_output: self.output,
            avoid: progress.avoid.iter().chain(silent).cloned().collect(),
            is_repeat: replaced.is_some() || progress.attempts > 0,
            may_repeat: self.route.kind.is_idempotent(),
            is_resumption,
            version: progress.version.clone(),
        }
    }

    /// Returns the scheduler's verdict, for which the request may have to queue until its deadline.
    async fn await_verdict(
        &self,
        attempt: &AttemptGuard<E>,
        replaced: Option<&Replaced>,
    ) -> Verdict {
        let demand = self.demand(attempt.no, replaced);
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

    /// Returns whether another upstream may be asked while one is silent.
    fn can_be_replaced(&self) -> bool {
        self.route.kind.is_idempotent() && self.route.max_attempts > 1
    }

    /// Returns whether an upstream beyond the next one may be asked.
    pub(in crate::transport::gateway) fn has_spare_attempts(&self) -> bool {
        self.route.kind.is_idempotent()
            && self.progress.borrow().attempts + 1 < self.route.max_attempts
    }

    /// Returns the time at which an upstream that sends nothing is taken for silent.
    pub(in crate::transport::gateway) fn hang_deadline(&self) -> Instant {
        let span = Millis(self.route.target_latency.0 * HANG_TARGETS).max(MIN_HANG);
        self.deadline.min(Instant::now() + span.as_duration())
    }
}
