//! Answers: whole ones, numbered refusals, and streams that pass each piece on at once.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Response,
    body::{Body, Frame},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::json;
use tokio::sync::mpsc;

use crate::core::{Code, Millis, code::CodedError};

/// Pieces of a stream on their way to a caller who reads slowly; more make its thread wait.
const PIECES_UNDER_WAY: usize = 4;

/// The head of an answer, and its body if it is a whole one.
#[derive(Clone, Debug)]
pub struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Answer {
    /// Makes an answer. Every one names its content type; that is how it is told from a refusal
    /// by the library, which has none.
    pub fn new(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Answer {
        let headers = vec![("content-type", content_type.to_owned())];
        Answer { status, headers, body: body.into() }
    }

    /// Makes an answer of plain text.
    pub fn text(status: u16, body: impl Into<String>) -> Answer {
        Answer::new(status, "text/plain; charset=utf-8", body.into())
    }

    /// Makes the answer to a request that is not passed on, or not any more.
    pub fn refusal(err: &CodedError, retry_after: Millis) -> Answer {
        let body = refusal_body(err).to_string();
        let answer = Answer::new(err.code.status(), "application/json", body).with_result(err.code);
        if retry_after == Millis::ZERO {
            return answer;
        }
        answer.with("retry-after", retry_after.0.div_ceil(1_000).to_string())
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Answer {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds the headers of a numbered result.
    #[must_use]
    pub fn with_result(self, code: Code) -> Answer {
        self.with("kingcup-code", code.number().to_string())
            .with("kingcup-outcome", code.outcome().as_str())
    }

    /// Writes the answer as the last one of a connection, with its length and as plain bytes.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let reason = hyper::StatusCode::from_u16(self.status).ok();
        let reason = reason.and_then(|status| status.canonical_reason()).unwrap_or("");
        let len = self.body.len();
        let mut text = format!("HTTP/1.1 {} {reason}\r\ncontent-length: {len}\r\n", self.status);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "connection: close\r\n\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    pub(super) fn into_whole(mut self) -> Response<AnswerBody> {
        let body = Bytes::from(std::mem::take(&mut self.body));
        self.into_response(AnswerBody::Whole(body))
    }

    pub(super) fn into_stream(self) -> (AnswerStream, Response<AnswerBody>) {
        let (tx, rx) = mpsc::channel(PIECES_UNDER_WAY);
        (AnswerStream { tx }, self.into_response(AnswerBody::Stream(rx)))
    }

    fn into_response(self, body: AnswerBody) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        if let Ok(status) = hyper::StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().append(name, value);
            }
        }
        let unnamed = HeaderValue::from_static("application/octet-stream");
        response.headers_mut().entry(CONTENT_TYPE).or_insert(unnamed);
        response
    }
}

/// Returns what a refusal says in its body.
pub(crate) fn refusal_body(err: &CodedError) -> serde_json::Value {
    json!({
        "code": err.code.number(),
        "outcome": err.code.outcome().as_str(),
        "message": err.code.text(),
        "detail": err.detail,
    })
}

/// Says that a caller is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HungUp;

/// A piece of a stream.
pub(super) enum Piece {
    Bytes(Bytes),
    End,
}

/// An answer whose body is under way.
///
/// Dropped without [`AnswerStream::end`], it breaks the connection off, so that the caller never
/// takes a part for the whole.
pub struct AnswerStream {
    tx: mpsc::Sender<Piece>,
}

impl AnswerStream {
    /// Passes a piece on.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has hung up.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), HungUp> {
        let piece = Piece::Bytes(Bytes::copy_from_slice(bytes));
        self.tx.blocking_send(piece).map_err(|_| HungUp)
    }

    /// Ends the answer as a whole one.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has hung up.
    pub fn end(self) -> Result<(), HungUp> {
        self.tx.blocking_send(Piece::End).map_err(|_| HungUp)
    }
}

/// The body of an answer, as the library sends it.
pub(super) enum AnswerBody {
    Whole(Bytes),
    Stream(mpsc::Receiver<Piece>),
}

/// Says that an answer broke off.
#[derive(Debug)]
pub(super) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Stream(rx) => rx.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(BrokenOff)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            AnswerBody::Whole(bytes) => hyper::body::SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}
