//! One caller's request: waiting for a place, sending, and what follows from each answer.

mod exchange;
mod telling;
mod ticket;

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, header, request};
use http_body_util::{BodyExt, Full, Limited};
use metrics::{counter, histogram};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use self::exchange::SendResult;
pub(super) use self::ticket::{Begun, Ticket};
use super::{
    Gateway,
    answer::{AnswerBody, strip_hop_headers},
    edge::{CallerHead, Edge},
    relay::Relay,
};
use crate::{
    coordination::traffic::{Demand, PromptPart, RequestNo, SendEnd, Verdict},
    core::{
        Code, Millis, Organisation, Service, UpstreamName,
        configuration::{Configuration, Route, RouteKind},
    },
};

/// How long a caller is taken to wait if it doesn't say.
const DEFAULT_PATIENCE: Millis = Millis(30_000);
/// Sends that reached nobody before a request is given up; each is to another upstream.
const MAX_UNSENT: u32 = 4;
/// Bytes of an answer that is not streamed; larger ones are refused rather than held.
const MAX_ANSWER_LEN: usize = 16 << 20;
/// An idempotent request not answered within this many times its target goes elsewhere: by then
/// the upstream more likely hangs than works.
const HANG_TARGETS: u64 = 2;
/// Never sooner than this, in milliseconds: the tail of ordinary work.
const MIN_HANG: Millis = Millis(150);
/// When to come back after an upstream refused a request before it ran.
const RETRY_AFTER_REJECTED: Millis = Millis(500);

/// What one caller asked, and how far it has come.
pub(super) struct Caller<E: Edge> {
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
    output: u32,
    pub(super) stride: u32,
    arrived: Millis,
    target: Millis,
    pub(super) deadline: Instant,
    deadline_at: Millis,
    progress: std::cell::RefCell<Progress>,
}

/// What was tried so far.
#[derive(Default)]
struct Progress {
    avoid: Vec<UpstreamName>,
    /// Upstreams the request arrived at.
    attempts: u32,
    unsent: u32,
    /// How long it waited for places.
    queued: Millis,
    /// Where it was sent last before its first byte came.
    sent: Option<LastSend>,
    /// When its first byte came: of a stream the first event's, otherwise the answer's end.
    first_byte: Option<Millis>,
}

/// Where and when a request was sent, and what was expected then.
struct LastSend {
    upstream: UpstreamName,
    at: Millis,
    /// After how long the first byte was expected; zero where nothing was.
    expected: Millis,
}

impl<E: Edge> Caller<E> {
    /// Finds a request's route and organisation.
    ///
    /// # Errors
    ///
    /// Returns the code to refuse it with.
    pub(super) fn new(
        gateway: Rc<Gateway<E>>,
        configuration: &Configuration,
        head: request::Parts,
        decoded: CallerHead,
        body: Bytes,
    ) -> Result<Caller<E>, Code> {
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
        let patience = decoded.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
        let mut traffic = gateway.traffic.borrow_mut();
        let output = match decoded.max_output {
            0 => 0,
            most => traffic.expected_output(&route.name, decoded.output_hint, most),
        };
        traffic.on_request(arrived, &service);
        drop(traffic);
        let target = route.target_latency.min(patience);
        Ok(Caller {
            request_id: decoded.request_id,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            route_name: route.name.as_str().into(),
            prompt: decoded.prompt.into(),
            target: arrived + target,
            deadline: Instant::now() + patience.as_duration(),
            deadline_at: arrived + patience,
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

    /// Tells whether the answer is a stream.
    fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Returns how long the request may take.
    pub(super) fn patience(&self) -> Millis {
        self.deadline_at.since(self.arrived)
    }

    /// Refuses the request for want of this entry's processor time.
    pub(super) fn turn_away(&self) -> Response<AnswerBody<E>> {
        // Nothing is kept of it that its number would name.
        let demand = self.demand(0);
        let retry_after = self.gateway.traffic.borrow_mut().turn_away(self.arrived, &demand);
        self.refuse(Code::TooBusy, retry_after)
    }

    /// Serves the request to its answer's head, or to its end where it is not streamed.
    pub(super) async fn serve(self: Rc<Caller<E>>) -> Response<AnswerBody<E>> {
        let begun = match self.obtain(None).await {
            Ok(begun) => begun,
            Err((code, retry_after)) => return self.refuse(code, retry_after),
        };
        let took = self.gateway.now().since(self.arrived);
        histogram!("kingcup_first_byte_ms").record(took.0 as f64);
        let number = Code::Done.number().to_string();
        counter!("kingcup_requests", "code" => number).increment(1);
        if self.is_stream() && begun.head.status.is_success() {
            return self.relay(begun);
        }
        self.collect(begun).await
    }

    fn relay(self: Rc<Caller<E>>, begun: Begun<E>) -> Response<AnswerBody<E>> {
        let mut head = begun.head;
        strip_hop_headers(&mut head.headers);
        head.version = http::Version::HTTP_11;
        let relay = Relay::new(self, begun.body, begun.connection, begun.ticket);
        Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
    }

    /// Reads an answer whole before anything of it is passed on, so that one that breaks off can
    /// be asked for again or be told as such.
    async fn collect(self: Rc<Caller<E>>, first: Begun<E>) -> Response<AnswerBody<E>> {
        let mut begun = first;
        loop {
            let Begun { head, body, mut connection, ticket } = begun;
            let reading = connection.drive(Limited::new(body, MAX_ANSWER_LEN).collect());
            let read = timeout_at(self.deadline, reading).await;
            let may_repeat = self.route.kind.is_idempotent();
            match read {
                Ok(Ok(body)) if !head.status.is_server_error() || !may_repeat => {
                    let is_failure = head.status.is_server_error();
                    if !is_failure {
                        self.on_first_byte();
                        self.tell_answered(Millis::ZERO);
                    }
                    ticket.end(if is_failure { SendEnd::Failed } else { SendEnd::Answered });
                    self.gateway.pool.give_back(connection);
                    return whole(head, body.to_bytes());
                }
                Ok(Ok(body)) => {
                    ticket.end(SendEnd::Failed);
                    self.gateway.pool.give_back(connection);
                    match self.obtain_again().await {
                        Some(again) => begun = again,
                        None => return whole(head, body.to_bytes()),
                    }
                }
                Ok(Err(_)) => {
                    ticket.end(SendEnd::Broken);
                    drop(connection);
                    match self.obtain_again().await {
                        Some(again) => begun = again,
                        None => return self.refuse(Code::AnswerBroken, Millis::ZERO),
                    }
                }
                Err(_) => {
                    ticket.end(SendEnd::Broken);
                    return self.refuse(Code::AnswerTimeout, Millis::ZERO);
                }
            }
        }
    }

    /// Sends an idempotent request again, if it may be.
    async fn obtain_again(self: &Rc<Caller<E>>) -> Option<Begun<E>> {
        if !self.may_repeat() {
            return None;
        }
        self.obtain(None).await.ok()
    }

    /// Tells whether a request that may have run may be sent again, and spends a repeat for it.
    pub(super) fn may_repeat(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        self.route.kind.is_idempotent()
            && attempts < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.gateway.traffic.borrow_mut().try_repeat(self.gateway.now(), &self.service)
    }

    /// Waits for a place and sends, again and again as far as that is allowed, until an answer
    /// begins.
    ///
    /// # Errors
    ///
    /// Returns why the request is given up, and when to come back.
    pub(super) async fn obtain(
        self: &Rc<Caller<E>>,
        last_event: Option<u64>,
    ) -> Result<Begun<E>, (Code, Millis)> {
        // Whether an earlier attempt may have run.
        let mut may_have_run = self.progress.borrow().attempts > 0;
        loop {
            let ticket = Ticket::new(self.gateway.clone());
            let given_up = |code: Code, retry_after| {
                // "Not run" would not be true any more.
                if may_have_run { (Code::AnswerBroken, Millis::ZERO) } else { (code, retry_after) }
            };
            let grant = match self.await_verdict(&ticket).await {
                Verdict::Start(grant) => grant,
                Verdict::Refuse { code, retry_after } => return Err(given_up(code, retry_after)),
            };
            self.tell_placed(&grant);
            match self.send_once(&grant, ticket, last_event).await {
                SendResult::Begun(begun) => return Ok(*begun),
                SendResult::NotSent => {
                    let mut progress = self.progress.borrow_mut();
                    progress.avoid.push(grant.upstream);
                    progress.unsent += 1;
                    if progress.unsent >= MAX_UNSENT {
                        return Err(given_up(Code::NoUpstream, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::Rejected => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if !self.may_send_after_rejection() {
                        return Err(given_up(Code::UpstreamRefused, RETRY_AFTER_REJECTED));
                    }
                }
                SendResult::Unknown => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if !self.may_repeat() {
                        return Err((Code::AnswerBroken, Millis::ZERO));
                    }
                    may_have_run = true;
                }
                SendResult::Silent => {
                    self.progress.borrow_mut().avoid.push(grant.upstream);
                    if Instant::now() >= self.deadline || !self.may_repeat() {
                        return Err((Code::AnswerTimeout, Millis::ZERO));
                    }
                    may_have_run = true;
                }
            }
        }
    }

    /// Tells whether a request that surely did not run may be sent to another upstream; its arrival
    /// counts as a repeat all the same.
    fn may_send_after_rejection(&self) -> bool {
        let attempts = self.progress.borrow().attempts;
        attempts < self.route.max_attempts.max(2)
            && Instant::now() < self.deadline
            && self.gateway.traffic.borrow_mut().try_repeat(self.gateway.now(), &self.service)
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
            output: self.output,
            avoid: self.progress.borrow().avoid.clone(),
        }
    }

    async fn await_verdict(&self, ticket: &Ticket<E>) -> Verdict {
        let demand = self.demand(ticket.no);
        let now = self.gateway.now();
        if let Some(verdict) = self.gateway.traffic.borrow_mut().admit(now, demand) {
            return verdict;
        }
        let (tx, rx) = oneshot::channel();
        self.gateway.waiting.borrow_mut().insert(ticket.no, tx);
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

    /// Returns until when an upstream may stay silent.
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

fn host_of(head: &request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or(head.uri.host())?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// Chooses one of a route's services by its weights; the same for the same request.
fn choose_service<'a>(route: &'a Route, request_id: &str) -> &'a Service {
    let sum: u32 = route.services.iter().map(|(_, weight)| *weight).sum();
    let mut point = crc32fast::hash(request_id.as_bytes()) % sum.max(1);
    for (service, weight) in &route.services {
        if point < *weight {
            return service;
        }
        point -= weight;
    }
    &route.services[0].0
}

fn whole<E: Edge>(mut head: http::response::Parts, body: Bytes) -> Response<AnswerBody<E>> {
    strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, AnswerBody::Own(Full::new(body)))
}
