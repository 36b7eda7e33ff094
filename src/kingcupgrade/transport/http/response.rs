//! Responses: complete ones, coded refusals, and streams that send each chunk immediately.

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

use super::request::DisconnectGuard;
use crate::{
    core::{Code, Millis, code::CodedError},
    transport::{bodies::BodyMemory, head_watch::Answering},
};

/// The number of chunks of a stream that may be queued for a caller who reads slowly; then the
/// thread that writes them blocks.
const CHUNK_QUEUE_LEN: usize = 4;

/// The head of a response, and its body unless it is streamed.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl ServerResponse {
    /// Creates a response. Every response has a content type, which distinguishes it from the error
    /// responses that hyper generates.
    pub fn new(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> ServerResponse {
        let headers = vec![("content-type", content_type.to_owned())];
        ServerResponse { status, headers, body: body.into() }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, body: impl Into<String>) -> ServerResponse {
        ServerResponse::new(status, "text/plain; charset=utf-8", body.into())
    }

    /// Creates the error response to a request that is refused or has failed.
    pub fn refusal(err: &CodedError, retry_after: Millis) -> ServerResponse {
        let body = error_body(err).to_string();
        let response =
            ServerResponse::new(err.code.status(), "application/json", body).with_result(err.code);
        if retry_after == Millis::ZERO {
            return response;
        }
        response.with("retry-after", retry_after.0.div_ceil(1_000).to_string())
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> ServerResponse {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds the headers of a result code.
    #[must_use]
    pub fn with_result(self, code: Code) -> ServerResponse {
        self.with("kingcup-code", code.number().to_string())
            .with("kingcup-outcome", code.outcome().as_str())
    }

    /// Serializes the response as the last one of its connection.
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

    pub(super) fn into_complete(mut self) -> Response<ResponseBody> {
        let body = Bytes::from(std::mem::take(&mut self.body));
        self.into_response(Content::Complete(body))
    }

    pub(super) fn into_stream(
        self,
        memory: Option<BodyMemory>,
    ) -> (ResponseStream, Response<ResponseBody>) {
        let (tx, rx) = mpsc::channel(CHUNK_QUEUE_LEN);
        let body = Content::Stream { chunks: rx, watch: None };
        (ResponseStream { tx, _memory: memory }, self.into_response(body))
    }

    fn into_response(self, content: Content) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::from(content));
        if let Ok(status) = hyper::StatusCode::from_u16(self.status) {
            *response.status_mut() = status;
        }
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().append(name, value);
            }
        }
        let default_type = HeaderValue::from_static("application/octet-stream");
        response.headers_mut().entry(CONTENT_TYPE).or_insert(default_type);
        response
    }
}

/// Returns the body of the error response for an error.
pub(crate) fn error_body(err: &CodedError) -> serde_json::Value {
    json!({
        "code": err.code.number(),
        "outcome": err.code.outcome().as_str(),
        "message": err.code.text(),
        "detail": err.detail,
    })
}

/// The error returned when the caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// A chunk of a stream, or its regular end.
pub(super) enum Chunk {
    Bytes(Bytes),
    End,
}

/// A response whose body is being streamed.
///
/// If it is dropped without [`ResponseStream::end`], the connection is aborted, so that the caller
/// never takes a truncated body for a complete one.
pub struct ResponseStream {
    tx: mpsc::Sender<Chunk>,
    /// The memory of the request's body.
    _memory: Option<BodyMemory>,
}

impl ResponseStream {
    /// Sends a chunk of the body. Blocks while too many chunks are queued.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let chunk = Chunk::Bytes(Bytes::copy_from_slice(bytes));
        self.tx.blocking_send(chunk).map_err(|_| Disconnected)
    }

    /// Ends the body regularly, which marks the response as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn end(self) -> Result<(), Disconnected> {
        self.tx.blocking_send(Chunk::End).map_err(|_| Disconnected)
    }
}

/// The body of a response, as hyper sends it.
pub(super) struct ResponseBody {
    content: Content,
    /// Held until the body has been handed over to hyper.
    _answering: Option<Answering>,
}

enum Content {
    Complete(Bytes),
    Stream { chunks: mpsc::Receiver<Chunk>, watch: Option<DisconnectGuard> },
}

impl ResponseBody {
    /// Keeps watching for a disconnect of the caller until a stream has ended.
    pub(super) fn watched_by(mut self, mut guard: DisconnectGuard) -> ResponseBody {
        match &mut self.content {
            Content::Complete(_) => guard.disarm(),
            Content::Stream { watch, .. } => *watch = Some(guard),
        }
        self
    }

    /// Has the bytes that are read meanwhile not count as the head of another request.
    pub(super) fn answered_as(self, answering: Answering) -> ResponseBody {
        ResponseBody { _answering: Some(answering), ..self }
    }
}

impl From<Content> for ResponseBody {
    fn from(content: Content) -> ResponseBody {
        ResponseBody { content, _answering: None }
    }
}

/// The error that aborts a response because its stream was dropped before the end.
#[derive(Debug)]
pub(super) struct TruncatedResponse;

impl std::fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was truncated")
    }
}

impl std::error::Error for TruncatedResponse {}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut self.content {
            Content::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Stream { chunks, watch } => {
                let polled = chunks.poll_recv(cx);
                if let (Poll::Ready(Some(Chunk::End) | None), Some(watch)) = (&polled, watch) {
                    watch.disarm();
                }
                polled.map(|chunk| match chunk {
                    Some(Chunk::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(Chunk::End) => None,
                    None => Some(Err(TruncatedResponse)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.content {
            Content::Complete(bytes) => hyper::body::SizeHint::with_exact(bytes.len() as u64),
            Content::Stream { .. } => hyper::body::SizeHint::default(),
        }
    }
}
