//! A caller's request: queueing, sending to an upstream, and retries.

mod attempt;
mod exchange;
mod reporting;
mod routing;

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, header, request};
use http_body_util::{BodyExt, Full, Limited};
use metrics::{counter, histogram};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

pub(super) use self::attempt::{AttemptGuard, UpstreamResponse};
use self::{
    exchange::SendResult,
    routing::{choose_service, host_of},
};
use super::{
    Gateway,
    adapter::{PlatformAdapter, RequestHead},
    relay::Relay,
    response::{ResponseBody, strip_hop_headers},
};
use crate::{
    coordination::traffic::{Demand, PromptPart, RequestNo, SendEnd, Verdict},
    core::{
        Code, Millis, Organisation, Service, UpstreamName,
        configuration::{Configuration, Route, RouteKind},
    },
};

/// The timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);
/// The number of upstreams to which sending may fail before any byte is written; then the request
/// is refused.
const MAX_UNSENT: u32 = 4;
/// The maximum length in bytes of a response that is not streamed; a longer one is treated as
/// broken rather than held in memory.
const MAX_RESPONSE_LEN: usize = 16 << 20;
/// An idempotent request is sent to another upstream if there is no response within this many times
/// its target: by then the upstream is more likely to hang than to be working.
const HANG_TARGETS: u64 = 2;
/// The minimum of that time: ordinary requests in the tail of the latency distribution take as
/// long.
const MIN_HANG: Millis = Millis(150);
/// The retry delay sent after upstreams rejected a request or could not be reached.
const RETRY_AFTER_REJECTED: Millis = Millis(500);

/// A caller's request and the state of its processing.
pub(super) struct ProxiedRequest<E: PlatformAdapter> {
    pub(super) gateway: Rc<Gateway<E>>,
    request_id: Option<String>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(super) route: Arc<Route>,
    route_name: Arc<str>,
    service: Service,
    organisation: Option<Organisation>,
    prompt: Arc<[PromptPart]>,
    /// The expected number of tokens to be generated.
    output: u32,
    /// The number of tokens in one event of the response.
    pub(super) stride: u32,
    arrived: Millis,
    /// When the first byte of the response is due.
    target: Millis,
    pub(super) deadline: Instant,
    /// The deadline by the process's clock.
    deadline_at: Millis,
    progress: std::cell::RefCell<Progress>,
}

/// The attempts so far and their times.
#[derive(Default)]
struct Progress {
    /// Upstreams to which sending was attempted without success.
    avoid: Vec<UpstreamName>,
    /// The number of upstreams that received the request.
    attempts: u32,
    /// The number of attempts that failed before any byte was sent.
    unsent: u32,
    /// The total time spent in the queue.
    queued: Millis,
    /// The last attempt before the first byte arrived.
    sent: Option<LastSend>,
    /// When the first event of a stream arrived, or the end of a response that is not streamed.
    first_byte: Option<Millis>,
}

/// The upstream and time of an attempt.
struct LastSend {
    upstream: UpstreamName,
    at: Millis,
    /// The expected time to the first byte; zero if there was no estimate.
    expected: Millis,
}

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Determines the route, the organisation and the service of a request.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is to be refused.
    pub(super) fn new(
        gateway: Rc<Gateway<E>>,
        configuration: &Configuration,
        head: request::Parts,
        decoded: RequestHead,
        body: Bytes,
    ) -> Result<ProxiedRequest<E>, Code> {
        let host = host_of(&head).ok_or(Code::BadRequest)?;
        let route = configuration.route(host, head.uri.path()).ok_or(Code::UnknownService)?.clone();
        let holder = decoded.key.as_deref().and_then(|key| configuration.organisation_of(key));
        if configuration.needs_keys && !route.is_public && holder.is_none() {
            return Err(Code::UnknownToken);
        }
        let organisation = holder.cloned();
        let request_id = decoded.request_id.as_deref().unwrap_or_default();
        let service = choose_service(&route, request_id).clone();
        let plan = configuration.services.get(&service);
        let stride =
            plan.and_then(|plan| plan.engine.as_ref()).map_or(1, |engine| engine.tokens_per_event);
        let arrived = gateway.now();
        let timeout = decoded.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let mut traffic = gateway.traffic.borrow_mut();
        let output = match decoded.max_output {
            0 => 0,
            most => traffic.expected_output(&route.name, decoded.output_hint, most),
        };
        traffic.on_request(arrived, &service);
        drop(traffic);
        let target = route.target_latency.min(timeout);
        Ok(ProxiedRequest {
            request_id: decoded.request_id,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            route_name: route.name.as_str().into(),
            prompt: decoded.prompt.into(),
            target: arrived + target,
            deadline: Instant::now() + timeout.as_duration(),
            deadline_at: arrived + timeout,
            progress: std::cell::RefCell::default(),
            gateway,
            route,
            service,
            organisation,
            output,
            stride,
            arrived,
        })
    }

    /// Returns whether the response is a stream.
    fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Returns the time from arrival to the deadline.
    pub(super) fn timeout(&self) -> Millis {
        self.deadline_at.since(self.arrived)
    }

    /// Refuses the request because this entry is overloaded.
    pub(super) fn shed(&self) -> Response<ResponseBody<E>> {
        // The request isn't queued, so nothing is registered under its number.
        let demand = self.demand(0);
        let retry_after =
            self.gateway.traffic.borrow_mut().refuse_overloaded(self.arrived, &demand);
        self.refuse(Code::TooBusy, retry_after)
    }

    /// Returns the response: a streamed one as soon as its head has arrived, any other one once it
    /// is complete.
    pub(super) async fn serve(self: Rc<ProxiedRequest<E>>) -> Response<ResponseBody<E>> {
        let response = match self.fetch_response(None).await {
            Ok(response) => response,
            Err((code, retry_after)) => return self.refuse(code, retry_after),
        };
        let took = self.gateway.now().since(self.arrived);
        histogram!("kingcup_first_byte_ms").record(took.0 as f64);
        let number = Code::Done.number().to_string();
        counter!("kingcup_requests", "code" => number).increment(1);
        if self.is_stream() && response.head.status.is_success() {
            return self.relay(response);
        }
        self.collect(response).await
    }

    fn relay(
        self: Rc<ProxiedRequest<E>>,
        response: UpstreamResponse<E>,
    ) -> Response<ResponseBody<E>> {
        let mut head = response.head;
        strip_hop_headers(&mut head.headers);
        head.version = http::Version::HTTP_11;
        let relay = Relay::new(self, response.body, response.connection, response.attempt);
        Response::from_parts(head, ResponseBody::Streamed(Box::new(relay)))
    }

    /// Reads a response to the end before forwarding any of it, so that if it breaks off the
    /// request can be retried or refused with an error.
    async fn collect(
        self: Rc<ProxiedRequest<E>>,
        first: UpstreamResponse<E>,
    ) -> Response<ResponseBody<E>> {
        let mut response = first;
        loop {
            let UpstreamResponse { head, body, mut connection, attempt } = response;
            let reading = connection.drive(Limited::new(body, MAX_RESPONSE_LEN).collect());
            let read = timeout_at(self.deadline, reading).await;
            let may_repeat = self.route.kind.is_idempotent();
            match read {
                Ok(Ok(body)) if !head.status.is_server_error() || !may_repeat => {
                    let is_failure = head.status.is_server_error();
                    if !is_failure {
                        self.on_first_byte();
                        self.report_answered(Millis::ZERO);
                    }
                    attempt.end(if is_failure { SendEnd::Failed } else { SendEnd::Answered });
                    self.gateway.pool.checkin(connection);
                    return complete_response(head, body.to_bytes());
                }
                Ok(Ok(body)) => {
                    attempt.end(SendEnd::Failed);
                    self.gateway.pool.checkin(connection);
                    match self.retry().await {
                        Some(again) => response = again,
                        None => return complete_response(head, body.to_bytes()),
                    }
                }
                Ok(Err(_)) => {
                    attempt.end(SendEnd::Broken);
                    drop(connection);
                    match self.retry().await {
                        Some(again) => response = again,
                        None => return self.refuse(Code::AnswerBroken, Millis::ZERO),
                    }
                }
                Err(_) => {
                    attempt.end(SendEnd::Broken);
                    return self.refuse(Code::AnswerTimeout, Millis::ZERO);
                }
            }
        }
    }

    /// Retries the request if that is permitted.
    async fn retry(self: &Rc<ProxiedRequest<E>>) -> Option<UpstreamResponse<E>> {
        if !self.may_repeat() {
            return None;
        }
        self.fetch_response(None).await.ok()
    }

    /// Returns whether a request that may have run may be sent again; if so, takes the repeat from
    /// the retry budget.
    pub(super) fn may_repeat(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        self.route.kind.is_idempotent()
            && attempts < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.gateway.traffic.borrow_mut().try_retry(self.gateway.now(), &self.service)
    }

    /// Queues and sends the request, retrying as far as permitted, until the head of a response
    /// arrives.
    ///
    /// # Errors
    ///
    /// Returns the code with which to refuse the request, and the retry delay.
    pub(super) async fn fetch_response(
        self: &Rc<ProxiedRequest<E>>,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse<E>, (Code, Millis)> {
        // Whether an earlier attempt may have run.
        let mut may_have_run = self.progress.borrow().attempts > 0;
        loop {
            let attempt = AttemptGuard::new(self.gateway.clone());
            let error = |code: Code, retry_after| {
                // `code` states that the request did not run; that may not be true any more.
                if may_have_run { (Code::AnswerBroken, Millis::ZERO) } else { (code, retry_after) }
            };
            let grant = match self.await_verdict(&attempt).await {
                Verdict::Start(grant) => grant,
                Verdict::Refuse { code, retry_after } => return Err(error(code, retry_after)),
            };
            self.report_placed(&grant);
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
                SendResult::Rejected => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    let (traffic, now) = (&self.gateway.traffic, self.gateway.now());
                    let left = traffic.borrow().time_to_end_of_backoff(now, &self.service);
                    if let Some(left) = left {
                        return Err(error(Code::UpstreamsBackingOff, left));
                    }
                    if !self.may_send_after_rejection() {
                        return Err(error(Code::UpstreamRefused, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::Unknown => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if !self.may_repeat() {
                        return Err((Code::AnswerBroken, Millis::ZERO));
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

    /// Returns whether a request that is known not to have run may be sent to another upstream; the
    /// attempt is taken from the retry budget nevertheless.
    fn may_send_after_rejection(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        attempts < self.route.max_attempts.max(2)
            && Instant::now() < self.deadline
            && self.gateway.traffic.borrow_mut().try_retry(self.gateway.now(), &self.service)
    }

    fn demand(&self, no: RequestNo) -> Demand {
        Demand {
            no,
            service: self.service.clone(),
            route: self.route_name.clone(),
            organisation: self.organisation.clone().unwrap_or_else(|| Organisation::from("-")),
            arrived: self.arrived,
            target: self.target,
            deadline: self.deadline_at,
            prompt: self.prompt.clone(),
            expected_output: self.output,
            avoid: self.progress.borrow().avoid.clone(),
            is_repeat: self.progress.borrow().attempts > 0,
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
    pub(super) fn hang_deadline(&self) -> Instant {
        let can_repeat = self.route.kind.is_idempotent()
            && self.progress.borrow().attempts + 1 < self.route.max_attempts;
        if !can_repeat {
            return self.deadline;
        }
        let span = Millis(self.route.target_latency.0 * HANG_TARGETS).max(MIN_HANG);
        self.deadline.min(Instant::now() + span.as_duration())
    }
}

fn complete_response<E: PlatformAdapter>(
    mut head: http::response::Parts,
    body: Bytes,
) -> Response<ResponseBody<E>> {
    strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, ResponseBody::Full(Full::new(body)))
}
