//! Answers to callers: relayed, kept, refused or broken off, always with code and outcome.

use std::io::{self, Write};

use metrics::counter;
use serde_json::json;
use tiny_http::{Header, Response};

use super::relay::content_type;
use crate::{
    core::{Code, Millis, code::CodedError},
    protocol::record::KeptAnswer,
};

/// The answer's way to the caller: not begun, or a stream under way.
pub(super) enum Answer {
    Pending(tiny_http::Request),
    Streaming { writer: Box<dyn Write + Send>, events: u64 },
}

/// Writes the head of a streaming answer.
///
/// The server library holds back the pieces of an answer of unknown length until its end, so head
/// and chunks are written and flushed here.
pub(super) fn begin_stream(
    request: tiny_http::Request,
    response: &ureq::http::Response<ureq::Body>,
) -> io::Result<Box<dyn Write + Send>> {
    let mut writer = request.into_writer();
    let status = response.status();
    write!(
        writer,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nTransfer-Encoding: chunked\r\nCache-Control: no-store\r\nKingcup-Code: {}\r\n\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or(""),
        content_type(response),
        Code::Done.number(),
    )?;
    writer.flush()?;
    Ok(writer)
}

pub(super) fn write_chunk(writer: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    write!(writer, "{:x}\r\n", bytes.len())?;
    writer.write_all(bytes)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}

pub(super) fn end_stream(writer: &mut impl Write) -> io::Result<()> {
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

pub(super) fn replay(answer: Answer, kept: &KeptAnswer) {
    let Answer::Pending(request) = answer else { return };
    let body = kept.body.clone().unwrap_or_default().into_bytes();
    counter!("kingcup_requests", "code" => Code::Replayed.number().to_string()).increment(1);
    respond_whole(request, Code::Replayed, kept.status, &kept.content_type, body);
}

pub(super) fn give_up(answer: Answer, code: Code, retry_after: Millis) {
    match answer {
        Answer::Pending(request) => refuse(request, &CodedError::new(code, ""), retry_after),
        Answer::Streaming { mut writer, .. } => {
            counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
            let event =
                format!("event: error\ndata: {}\n\n", refusal_body(&CodedError::new(code, "")));
            // A caller that is gone needs no word of it.
            let _ = write_chunk(&mut writer, event.as_bytes());
            let _ = end_stream(&mut writer);
        }
    }
}

fn refusal_body(err: &CodedError) -> serde_json::Value {
    json!({
        "code": err.code.number(),
        "outcome": err.code.outcome().as_str(),
        "message": err.code.text(),
        "detail": err.detail,
    })
}

/// Answers a request that is not passed on, or not any more.
pub(super) fn refuse(request: tiny_http::Request, err: &CodedError, retry_after: Millis) {
    counter!("kingcup_requests", "code" => err.code.number().to_string()).increment(1);
    let body = refusal_body(err).to_string();
    let mut response = Response::from_string(body)
        .with_status_code(err.code.status())
        .with_header(make_header("Content-Type", "application/json"))
        .with_header(make_header("Kingcup-Code", &err.code.number().to_string()))
        .with_header(make_header("Kingcup-Outcome", err.code.outcome().as_str()));
    if retry_after > Millis::ZERO {
        let seconds = retry_after.0.div_ceil(1_000).to_string();
        response.add_header(make_header("Retry-After", &seconds));
    }
    // A caller that is gone needs no word of it.
    let _ = request.respond(response);
}

pub(super) fn respond_whole(
    request: tiny_http::Request,
    code: Code,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) {
    let response = Response::from_data(body)
        .with_status_code(status)
        .with_header(make_header("Content-Type", content_type))
        .with_header(make_header("Kingcup-Code", &code.number().to_string()))
        .with_header(make_header("Kingcup-Outcome", code.outcome().as_str()));
    // A caller that is gone asks again under the same key.
    let _ = request.respond(response);
}

fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .unwrap_or_else(|()| Header::from_bytes("Kingcup-Note", "unprintable").expect("plain text"))
}
