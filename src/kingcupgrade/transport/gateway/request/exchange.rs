//! A single attempt to send a request, and the evaluation of the response head.

use std::time::Duration;

use http::{HeaderMap, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use super::{AttemptGuard, ProxiedRequest, StreamHead, UpstreamResponse, replacement::Fetched};
use crate::{
    coordination::{
        notices::UpstreamNotice,
        traffic::{Grant, ReportedLoad, SendEnd},
    },
    core::{Code, Millis},
    transport::{
        answer_head,
        bodies::SegmentBody,
        gateway::{
            adapter::{ForwardContext, PlatformAdapter},
            decisions::{RejectionLine, WithheldLine, WithheldReason},
            pool::{CheckoutError, Connection},
            response::strip_hop_headers,
        },
        notice,
    },
    util::log,
};

/// The number of connections tried per attempt, as each pooled one may turn out to be stale: closed
/// by the upstream before any byte of the request was written.
const MAX_STALE: usize = 3;
/// The maximum length in bytes of a rejection that is read so that its connection can be reused.
const MAX_REJECTION_LEN: usize = 64 << 10;
/// The timeout for reading a rejection.
const REJECTION_TIMEOUT: Millis = Millis(100);

/// The result of one attempt to send a request.
pub(super) enum SendResult<E: PlatformAdapter> {
    /// The head of an acceptable response has arrived.
    Response(Box<UpstreamResponse<E>>),
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, since the upstream has asked for no requests meanwhile.
    Withheld,
    /// No byte of the request was sent, since its caller has left meanwhile.
    CallerLeft,
    /// The upstream stated that it did not run the request.
    Rejected,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// The request was sent, and no response arrived in time.
    TimedOut,
    /// The upstream was silent, and another one was asked: what became of the request there.
    Replaced(Fetched<E>),
}

impl<E: PlatformAdapter> SendResult<E> {
    /// Returns the response, or that there is none.
    pub(super) fn into_fetched(self) -> Fetched<E> {
        match self {
            SendResult::Response(response) => Ok(response),
            SendResult::Replaced(fetched) => fetched,
            _ => Err((Code::AnswerBroken, Millis::ZERO)),
        }
    }
}

/// The result of sending a request on one connection.
enum ExchangeResult {
    /// The upstream had closed the connection, and no byte was written.
    Stale,
    /// The response head has arrived.
    Response(Box<(http::response::Parts, Incoming, Connection)>),
    /// The connection failed after bytes of the request were written.
    Broken,
    /// No response arrived in time.
    TimedOut,
}

impl<E: PlatformAdapter> ProxiedRequest<E> {
    /// Sends the request to the granted upstream, asking for a resumption after `last_event` if
    /// set.
    pub(super) async fn send_once(
        &self,
        grant: &Grant,
        attempt: AttemptGuard<E>,
        last_event: Option<u64>,
    ) -> SendResult<E> {
        // Counted from the beginning, as another attempt may be made meanwhile.
        self.progress.borrow_mut().attempts += 1;
        let result = self.try_connections(grant, attempt, last_event).await;
        if let SendResult::NotSent | SendResult::Withheld | SendResult::CallerLeft = result {
            self.progress.borrow_mut().attempts -= 1;
        }
        result
    }

    /// Sends the request on the first connection that the upstream has not closed.
    async fn try_connections(
        &self,
        grant: &Grant,
        attempt: AttemptGuard<E>,
        last_event: Option<u64>,
    ) -> SendResult<E> {
        for _ in 0..MAX_STALE {
            let pool = &self.gateway.pool;
            let opened = pool.checkout(&grant.upstream, grant.address, grant.max_connections);
            let connection = match opened.await {
                Ok(connection) => connection,
                Err(err) => {
                    let end = match err {
                        CheckoutError::Full => SendEnd::Cancelled,
                        CheckoutError::Unreachable => SendEnd::Unreachable,
                    };
                    attempt.end(end);
                    return SendResult::NotSent;
                }
            };
            if !self.gateway.traffic.borrow().may_send(self.gateway.now(), attempt.no) {
                pool.checkin(connection);
                attempt.end(SendEnd::Cancelled);
                self.log_withheld(grant, WithheldReason::UpstreamAsked);
                return SendResult::Withheld;
            }
            if self.caller.has_left() {
                pool.checkin(connection);
                attempt.end(SendEnd::Cancelled);
                self.log_withheld(grant, WithheldReason::CallerLeft);
                return SendResult::CallerLeft;
            }
            match self.send_on(connection, grant, last_event).await {
                ExchangeResult::Stale => {}
                ExchangeResult::Response(response) => {
                    let (head, body, connection) = *response;
                    return self.evaluate_head(head, body, connection, attempt, grant).await;
                }
                ExchangeResult::Broken => {
                    attempt.end_closed().await;
                    return SendResult::Unknown;
                }
                ExchangeResult::TimedOut => {
                    attempt.end(SendEnd::Broken);
                    return SendResult::TimedOut;
                }
            }
        }
        attempt.end(SendEnd::Unreachable);
        SendResult::NotSent
    }

    fn log_withheld(&self, grant: &Grant, reason: WithheldReason) {
        self.gateway.decisions.withheld(&WithheldLine {
            request: self.request_id.as_deref(),
            upstream: &grant.upstream,
            reason,
            after_ms: self.gateway.now().since(self.arrived),
        });
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        grant: &Grant,
        last_event: Option<u64>,
    ) -> ExchangeResult {
        let request = self.build_request(grant, last_event);
        let sending = connection.sender.try_send_request(request);
        match timeout_at(self.deadline, connection.receive_head(sending)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                ExchangeResult::Response(Box::new((head, body, connection)))
            }
            // hyper returns the request with the error if no byte of it was written.
            Ok(Err(mut err)) => match err.take_message() {
                Some(_) => ExchangeResult::Stale,
                None => ExchangeResult::Broken,
            },
            Err(_) => ExchangeResult::TimedOut,
        }
    }

    fn build_request(&self, grant: &Grant, last_event: Option<u64>) -> Request<SegmentBody> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let context = ForwardContext {
            upstream: &grant.upstream,
            organisation: self.organisation.as_ref(),
            time_left: self.deadline_at.since(self.gateway.now()),
            last_event,
        };
        self.gateway.adapter.prepare_request(&mut headers, &context);
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(self.body.segments().body());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::try_from(path).unwrap_or_else(|_| self.uri.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Determines from the response head what became of the request.
    async fn evaluate_head(
        &self,
        head: http::response::Parts,
        body: Incoming,
        mut connection: Connection,
        attempt: AttemptGuard<E>,
        grant: &Grant,
    ) -> SendResult<E> {
        if let Err(fault) = answer_head::check(head.status, head.version, &head.headers) {
            let request = self.request_id.as_deref();
            log::warning("answer-head", &(&grant.upstream, request, fault.to_string()));
            attempt.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        let decoded = self.gateway.adapter.decode_response_head(&head);
        connection.keep_alive = keep_alive_of(&head.headers);
        if let Some(load) = decoded.load.filter(ReportedLoad::is_plausible) {
            let now = self.gateway.now();
            self.gateway.traffic.borrow_mut().on_load(now, &grant.upstream, load);
        }
        let notice = UpstreamNotice {
            backoff: notice::backoff_of(&grant.upstream, head.status, &head.headers),
            is_leaving: decoded.is_leaving,
        };
        // Another upstream at the address speaks for itself only.
        if !decoded.is_misdirected {
            self.gateway.on_notice(grant, notice);
        }
        if decoded.request_id != self.request_id {
            let (asked, answered) = (&self.request_id, &decoded.request_id);
            log::warning("answer-of-another-request", &(&grant.upstream, asked, answered));
            attempt.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        if decoded.is_not_run || decoded.is_misdirected {
            self.gateway.decisions.rejected(&RejectionLine {
                request: self.request_id.as_deref(),
                upstream: &grant.upstream,
                status: head.status.as_u16(),
                notice,
            });
            let end = if decoded.is_misdirected { SendEnd::Replaced } else { SendEnd::Rejected };
            attempt.end(end);
            self.drain_rejection(body, connection).await;
            return SendResult::Rejected;
        }
        // A success without the upstream's seal would mislead the caller, and so would a status
        // that implies that the request did not run although the upstream did not state that.
        let implies_not_run = matches!(
            head.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        if (head.status.is_success() && !decoded.is_sealed) || implies_not_run {
            attempt.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        if !self.goes_on_with(&head) {
            log::warning("resumed-otherwise", &(&grant.upstream, &self.request_id));
            attempt.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        attempt.on_head();
        let version = grant.version.clone();
        SendResult::Response(Box::new(UpstreamResponse {
            head,
            body,
            connection,
            attempt,
            version,
            rivals: Vec::new(),
        }))
    }

    /// Returns whether the stream that has begun, if one has, may go on with this answer.
    fn goes_on_with(&self, head: &http::response::Parts) -> bool {
        let progress = self.progress.borrow();
        progress.stream_head.as_ref().is_none_or(|begun| *begun == StreamHead::of(head))
    }

    /// Reads the body of a rejection, and returns the connection to the pool if that succeeds.
    async fn drain_rejection(&self, body: Incoming, mut connection: Connection) {
        let reading = connection.drive(Limited::new(body, MAX_REJECTION_LEN).collect());
        if let Ok(Ok(_)) = timeout(REJECTION_TIMEOUT.as_duration(), reading).await {
            self.gateway.pool.checkin(connection);
        }
    }
}

/// Returns how long the upstream keeps an idle connection open according to its `Keep-Alive`
/// header.
fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
