//! A caller's request: queueing, sending to an upstream, and retries.

mod attempt;
mod digest;
mod exchange;
mod replacement;
mod reporting;
mod routed;
mod routing;
mod sending;

use std::{rc::Rc, sync::Arc};

use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header, request};
use metrics::{counter, histogram};
use tokio::time::{Instant, timeout_at};

use self::digest::digest_of;
pub(super) use self::{
    attempt::{AttemptGuard, UpstreamResponse},
    replacement::Fetched,
    routed::RoutedRequest,
};
use super::{
    Gateway,
    adapter::{PlatformAdapter, RequestHead, TakenUpStream},
    caller::Caller,
    collected::{CollectedBody, ResponseTooLong},
    memory::{AnswerBuffer, CountedBody},
    race::Contender,
    relay::Relay,
    response::{Content, ResponseBody, strip_hop_headers},
};
use crate::{
    coordination::{
        required_version::RequiredVersion,
        traffic::{PromptPart, SendEnd},
    },
    core::{
        Code, Millis, Organisation, RequestDigest, Service, UpstreamName, Version,
        configuration::{Configuration, Route, RouteKind},
    },
    protocol::fleet::StreamOrigin,
    transport::bodies::{HeldBody, Segments},
};

/// A caller's request and the state of its processing.
pub(super) struct ProxiedRequest<E: PlatformAdapter> {
    pub(super) gateway: Rc<Gateway<E>>,
    caller: Caller,
    request_id: Option<String>,
    /// The same over all attempts of the caller.
    digest: RequestDigest,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: HeldBody,
    pub(super) route: Arc<Route>,
    route_name: Arc<str>,
    service: Service,
    organisation: Option<Organisation>,
    prompt: Arc<[PromptPart]>,
    /// The stream that the caller takes up again, if it does.
    taken_up: Option<TakenUpStream>,
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
    /// The number of upstreams that the request was sent to, or is being sent to.
    attempts: u32,
    /// The number of attempts that failed before any byte was sent.
    unsent: u32,
    /// The total time spent in the queue.
    queued: Millis,
    /// The last attempt before the first byte arrived.
    sent: Option<LastSend>,
    /// The head of the stream, once it has been forwarded.
    stream_head: Option<StreamHead>,
    /// The versions that may serve the request: the one that began its stream, once it has begun.
    version: RequiredVersion,
    /// When the first event of a stream arrived, or the end of a response that is not streamed.
    first_byte: Option<Millis>,
}

impl Progress {
    /// Returns whether events of a stream have arrived.
    fn stream_has_begun(&self) -> bool {
        self.stream_head.is_some() && self.first_byte.is_some()
    }
}

/// What the heads of all answers that one stream is made of have in common.
#[derive(PartialEq, Eq)]
struct StreamHead {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    fn of(head: &http::response::Parts) -> StreamHead {
        let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
        StreamHead { status: head.status, content_type }
    }
}

/// The upstream and time of an attempt.
struct LastSend {
    upstream: UpstreamName,
    at: Millis,
    /// The expected time to the first byte; zero if there was no estimate.
    expected: Millis,
}

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Prepares a request for admission.
    pub(super) fn new(
        gateway: Rc<Gateway<E>>,
        caller: Caller,
        configuration: &Configuration,
        routed: RoutedRequest,
        head: request::Parts,
        decoded: RequestHead,
        body: HeldBody,
    ) -> ProxiedRequest<E> {
        let RoutedRequest { route, organisation, service, output, arrived, timeout, .. } = routed;
        let digest = digest_of(&head, &decoded, organisation.as_ref(), body.segments());
        let plan = configuration.services.get(&service);
        let stride =
            plan.and_then(|plan| plan.engine.as_ref()).map_or(1, |engine| engine.tokens_per_event);
        let target = route.target_latency.min(timeout);
        ProxiedRequest {
            request_id: decoded.request_id,
            digest,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            route_name: route.name.as_str().into(),
            prompt: decoded.prompt.into(),
            taken_up: decoded.taken_up,
            target: arrived + target,
            deadline: Instant::now() + (arrived + timeout).since(gateway.now()).as_duration(),
            deadline_at: arrived + timeout,
            progress: std::cell::RefCell::default(),
            gateway,
            caller,
            route,
            service,
            organisation,
            output,
            stride,
            arrived,
        }
    }

    /// Returns whether the response is a stream.
    fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    pub(super) fn now(&self) -> Millis {
        self.gateway.now()
    }

    /// Returns what is buffered for the caller; `None` if that is not counted.
    pub(super) fn answer_buffer(&self) -> Option<Rc<AnswerBuffer>> {
        self.caller.buffer().cloned()
    }

    /// Finds out which version has to serve the request, if its caller takes a stream up again.
    ///
    /// # Errors
    ///
    /// Returns the code with which the request is to be refused, if that can't be shown.
    pub(super) async fn find_version(&mut self) -> Result<(), Code> {
        let Some(stream) = self.taken_up.as_ref().filter(|_| self.is_stream()) else {
            return Ok(());
        };
        let allowed = || self.route.services.iter().filter(|(_, weight)| *weight > 0);
        let only = allowed().next().filter(|_| allowed().count() == 1);
        let only = only.map(|(service, _)| service);
        let origin = self.gateway.find_origin(self.request_id.as_deref(), stream, only).await;
        let StreamOrigin::Begun { service, version, .. } = origin else {
            return Err(Code::OriginUnknown);
        };
        // The configuration may have changed since the stream began.
        if !allowed().any(|(allowed, _)| *allowed == service) {
            return Err(Code::NoUpstreamOfVersion);
        }
        self.service = service;
        self.progress.borrow_mut().version = RequiredVersion::Exactly(version);
        Ok(())
    }

    /// Records that the stream has begun for the caller, at this version: from now on it goes on
    /// only there.
    pub(super) fn on_stream_begun(&self, version: Option<&Version>) {
        self.progress.borrow_mut().version = RequiredVersion::Exactly(version.cloned());
        let is_resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true });
        if let Some(id) = self.request_id.as_deref().filter(|_| is_resumable) {
            let now = self.gateway.now();
            self.gateway.traffic.borrow_mut().on_stream_begun(now, id, &self.service, version);
        }
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
        let (mut head, source, rivals) = response.into_source();
        self.progress.borrow_mut().stream_head = Some(StreamHead::of(&head));
        strip_hop_headers(&mut head.headers);
        head.version = http::Version::HTTP_11;
        let relay = Relay::new(self, source, rivals);
        Response::from_parts(head, Content::Streamed(Box::new(relay)).into())
    }

    /// Reads a response to the end before forwarding any of it, so that if it breaks off the
    /// request can be retried or refused with an error.
    async fn collect(
        self: Rc<ProxiedRequest<E>>,
        first: UpstreamResponse<E>,
    ) -> Response<ResponseBody<E>> {
        let mut response = first;
        loop {
            let UpstreamResponse { head, body, mut connection, attempt, rivals, .. } = response;
            let reservation = self.gateway.memory.reserve();
            let body = CountedBody::new(body, reservation);
            let body = CollectedBody::new(body, self.gateway.collected.clone());
            let reading = connection.drive(Segments::collect(body));
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
                    rivals.into_iter().for_each(|rival| rival.give_way(&self));
                    return self.complete(head, &body);
                }
                Ok(Ok(body)) => {
                    attempt.end(SendEnd::Failed);
                    self.gateway.pool.checkin(connection);
                    match self.next_response(rivals).await {
                        Some(again) => response = again,
                        None => return self.complete(head, &body),
                    }
                }
                Ok(Err(err)) => {
                    drop(connection);
                    match err.is::<ResponseTooLong>() {
                        true => attempt.end(SendEnd::Broken),
                        false => attempt.end_closed().await,
                    }
                    match self.next_response(rivals).await {
                        Some(again) => response = again,
                        None => {
                            let (code, retry_after) = self.broken();
                            return self.refuse(code, retry_after);
                        }
                    }
                }
                Err(_) => {
                    // While memory is exhausted, it is this entry that doesn't read.
                    let is_unread = self.gateway.memory.is_exhausted();
                    attempt.end(if is_unread { SendEnd::Cancelled } else { SendEnd::Broken });
                    return self.refuse(Code::AnswerTimeout, Millis::ZERO);
                }
            }
        }
    }

    /// Returns the response of another attempt that is under way, or of a new one if that is permitted.
    async fn next_response(
        self: &Rc<ProxiedRequest<E>>,
        rivals: Vec<Contender<E>>,
    ) -> Option<UpstreamResponse<E>> {
        for fetching in rivals.into_iter().filter_map(Contender::into_fetching) {
            if let Ok(response) = fetching.await {
                return Some(*response);
            }
        }
        self.retry().await
    }

    fn complete(&self, head: http::response::Parts, body: &Segments) -> Response<ResponseBody<E>> {
        if let Some(buffer) = self.answer_buffer() {
            buffer.on_handed_over(body.len());
        }
        complete_response(head, body)
    }
}

fn complete_response<E: PlatformAdapter>(
    mut head: http::response::Parts,
    body: &Segments,
) -> Response<ResponseBody<E>> {
    strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, Content::Held(body.body()).into())
}
