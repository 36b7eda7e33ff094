//! Responses to callers: forwarded, replayed, refused or aborted, always with code and outcome.

use metrics::counter;

use super::relay::content_type;
use crate::{
    core::{Code, Millis, code::CodedError},
    protocol::record::StoredAnswer,
    transport::http::{self, Request, Responder, ResponseStream, error_body},
};

/// The state of the response to a caller.
pub(super) enum ResponseState {
    /// Nothing has been sent.
    Pending(Responder),
    /// A stream has begun, and this many events have been sent.
    Streaming { stream: ResponseStream, events: u64 },
}

impl ResponseState {
    /// Returns the number of events that have been sent.
    pub(super) fn events(&self) -> u64 {
        match self {
            ResponseState::Pending(_) => 0,
            ResponseState::Streaming { events, .. } => *events,
        }
    }
}

/// Begins a streamed response.
pub(super) fn begin_stream(
    pending: Responder,
    response: &ureq::http::Response<ureq::Body>,
) -> ResponseStream {
    let status = response.status().as_u16();
    let head = http::ServerResponse::new(status, &content_type(response), Vec::new())
        .with("cache-control", "no-store")
        .with("kingcup-code", Code::Done.number().to_string());
    pending.stream(head)
}

/// Responds with the stored response to an earlier request with the same idempotency key.
pub(super) fn replay(state: ResponseState, kept: &StoredAnswer) {
    let ResponseState::Pending(pending) = state else { return };
    let body = kept.body.clone().unwrap_or_default().into_bytes();
    count(Code::Replayed);
    respond_complete(pending, Code::Replayed, kept.status, &kept.content_type, body);
}

/// Responds with an error, as an error event if a stream has begun.
pub(super) fn fail(state: ResponseState, code: Code, retry_after: Millis) {
    count(code);
    let err = CodedError::new(code, "");
    match state {
        ResponseState::Pending(pending) => {
            pending.respond(http::ServerResponse::refusal(&err, retry_after))
        }
        ResponseState::Streaming { mut stream, .. } => {
            let event = format!("event: error\ndata: {}\n\n", error_body(&err));
            // An error means that the caller has disconnected.
            let _ = stream.write(event.as_bytes());
            let _ = stream.end();
        }
    }
}

/// Refuses a request that has not been passed to the node.
pub(super) fn refuse(request: Request, err: &CodedError, retry_after: Millis) {
    count(err.code);
    request.respond(http::ServerResponse::refusal(err, retry_after));
}

/// Responds with a complete body and the headers of a result code.
pub(super) fn respond_complete(
    pending: Responder,
    code: Code,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) {
    pending.respond(http::ServerResponse::new(status, content_type, body).with_result(code));
}

/// Counts a response by its code.
pub(super) fn count(code: Code) {
    counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
}
