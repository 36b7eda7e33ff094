//! Sending a request once, and what its answer's head says about it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at};

use super::{Begun, Caller, Ticket};
use crate::{
    coordination::traffic::{Grant, SendEnd},
    core::Millis,
    transport::gateway::{
        answer::strip_hop_headers,
        edge::{Edge, Mark},
        pool::{Connection, NoConnection},
    },
    util::log,
};

/// Kept connections tried before a new one is made: each may have been closed meanwhile.
const MAX_STALE: usize = 3;
/// Bytes of a rejection read to keep its connection.
const MAX_REJECTION_LEN: usize = 64 << 10;
/// How long reading a rejection may take.
const REJECTION_TIMEOUT: Millis = Millis(100);

/// What became of sending a request once.
pub(super) enum SendResult<E: Edge> {
    /// An answer has begun.
    Begun(Box<Begun<E>>),
    /// Nothing was sent.
    NotSent,
    /// The upstream says that it did not run the request.
    Rejected,
    /// It was sent, and nothing is known of it.
    Unknown,
    /// It was sent, and no answer came in time.
    Silent,
}

/// What became of a request on one connection.
enum Exchange {
    Stale,
    Answer(Box<(http::response::Parts, Incoming, Connection)>),
    Broken,
    Silent,
}

impl<E: Edge> Caller<E> {
    pub(super) async fn send_once(
        &self,
        grant: &Grant,
        ticket: Ticket<E>,
        last_event: Option<u64>,
    ) -> SendResult<E> {
        for _ in 0..MAX_STALE {
            let pool = &self.gateway.pool;
            let opened = pool.checkout(&grant.upstream, grant.address, grant.max_connections);
            let connection = match opened.await {
                Ok(connection) => connection,
                Err(err) => {
                    let end = match err {
                        NoConnection::Full => SendEnd::Cancelled,
                        NoConnection::Unreachable => SendEnd::Unreachable,
                    };
                    ticket.end(end);
                    return SendResult::NotSent;
                }
            };
            match self.send_on(connection, grant, last_event).await {
                Exchange::Stale => {}
                Exchange::Answer(answer) => {
                    let (head, body, connection) = *answer;
                    return self.judge(head, body, connection, ticket, grant).await;
                }
                Exchange::Broken => {
                    self.progress.borrow_mut().attempts += 1;
                    ticket.end(SendEnd::Broken);
                    return SendResult::Unknown;
                }
                Exchange::Silent => {
                    self.progress.borrow_mut().attempts += 1;
                    ticket.end(SendEnd::Broken);
                    return SendResult::Silent;
                }
            }
        }
        ticket.end(SendEnd::Unreachable);
        SendResult::NotSent
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        grant: &Grant,
        last_event: Option<u64>,
    ) -> Exchange {
        let request = self.request(grant, last_event);
        let sending = connection.sender.try_send_request(request);
        match timeout_at(self.hang_deadline(), connection.drive(sending)).await {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                Exchange::Answer(Box::new((head, body, connection)))
            }
            // The library hands the request back if no byte of it was written.
            Ok(Err(mut err)) => match err.take_message() {
                Some(_) => Exchange::Stale,
                None => Exchange::Broken,
            },
            Err(_) => Exchange::Silent,
        }
    }

    fn request(&self, grant: &Grant, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let mark = Mark {
            upstream: &grant.upstream,
            organisation: self.organisation.as_ref(),
            patience: self.deadline_at.since(self.gateway.now()),
            last_event,
        };
        self.gateway.edge.mark_request(&mut headers, &mark);
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::try_from(path).unwrap_or_else(|_| self.uri.clone());
        *request.headers_mut() = headers;
        request
    }

    /// Decides what an answer's head says about the request.
    async fn judge(
        &self,
        head: http::response::Parts,
        body: Incoming,
        mut connection: Connection,
        ticket: Ticket<E>,
        grant: &Grant,
    ) -> SendResult<E> {
        let answer = self.gateway.edge.read_answer(&head);
        connection.keep_alive = keep_alive_of(&head.headers);
        if let Some((running, waiting)) = answer.load {
            let now = self.gateway.now();
            let mut traffic = self.gateway.traffic.borrow_mut();
            traffic.on_load(now, &grant.upstream, running, waiting);
        }
        self.progress.borrow_mut().attempts += 1;
        if answer.request_id != self.request_id {
            let (asked, answered) = (&self.request_id, &answer.request_id);
            log::warning("answer-of-another-request", &(&grant.upstream, asked, answered));
            ticket.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        if answer.is_not_run || answer.is_elsewhere {
            let end = if answer.is_elsewhere { SendEnd::Replaced } else { SendEnd::Rejected };
            ticket.end(end);
            self.keep_after_rejection(body, connection).await;
            return SendResult::Rejected;
        }
        // A success that nobody vouches for, or a promise "not run" that the upstream did not
        // give, would mislead the caller.
        let is_promise = matches!(
            head.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        if (head.status.is_success() && !answer.is_sealed) || is_promise {
            ticket.end(SendEnd::Broken);
            return SendResult::Unknown;
        }
        SendResult::Begun(Box::new(Begun { head, body, connection, ticket }))
    }

    async fn keep_after_rejection(&self, body: Incoming, mut connection: Connection) {
        let reading = connection.drive(Limited::new(body, MAX_REJECTION_LEN).collect());
        if let Ok(Ok(_)) = timeout(REJECTION_TIMEOUT.as_duration(), reading).await {
            self.gateway.pool.give_back(connection);
        }
    }
}

/// Returns how long an upstream keeps an idle connection, if it says so.
fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
