//! Answers to callers: relayed, kept, refused or broken off, always with code and outcome.

use metrics::counter;

use super::relay::content_type;
use crate::{
    core::{Code, Millis, code::CodedError},
    protocol::record::StoredAnswer,
    transport::http::{self, AnswerStream, PendingAnswer, Request, refusal_body},
};

/// The answer's way to the caller: not begun, or a stream under way.
pub(super) enum Answer {
    Pending(PendingAnswer),
    Streaming { stream: AnswerStream, events: u64 },
}

/// Begins a streaming answer.
pub(super) fn begin_stream(
    pending: PendingAnswer,
    response: &ureq::http::Response<ureq::Body>,
) -> AnswerStream {
    let status = response.status().as_u16();
    let head = http::Answer::new(status, &content_type(response), Vec::new())
        .with("cache-control", "no-store")
        .with("kingcup-code", Code::Done.number().to_string());
    pending.stream(head)
}

pub(super) fn replay(answer: Answer, kept: &StoredAnswer) {
    let Answer::Pending(pending) = answer else { return };
    let body = kept.body.clone().unwrap_or_default().into_bytes();
    count(Code::Replayed);
    respond_whole(pending, Code::Replayed, kept.status, &kept.content_type, body);
}

pub(super) fn give_up(answer: Answer, code: Code, retry_after: Millis) {
    count(code);
    let err = CodedError::new(code, "");
    match answer {
        Answer::Pending(pending) => pending.respond(http::Answer::refusal(&err, retry_after)),
        Answer::Streaming { mut stream, .. } => {
            let event = format!("event: error\ndata: {}\n\n", refusal_body(&err));
            // A caller that is gone needs no word of it.
            let _ = stream.write(event.as_bytes());
            let _ = stream.end();
        }
    }
}

/// Refuses a request that the node has not heard of.
pub(super) fn refuse(request: Request, err: &CodedError, retry_after: Millis) {
    count(err.code);
    request.respond(http::Answer::refusal(err, retry_after));
}

pub(super) fn respond_whole(
    pending: PendingAnswer,
    code: Code,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) {
    pending.respond(http::Answer::new(status, content_type, body).with_result(code));
}

fn count(code: Code) {
    counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
}
