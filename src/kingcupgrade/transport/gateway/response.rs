//! Bodies of responses to callers, and responses that this entry generates itself.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::{adapter::PlatformAdapter, relay::Relay};
use crate::{
    core::{Code, Millis},
    transport::{bodies::SegmentBody, connection_limit::Serving, head_watch::Answering},
};

/// The body of a response to a caller.
pub(super) struct ResponseBody<E: PlatformAdapter> {
    content: Content<E>,
    /// Held until the body has been handed over to the HTTP server.
    _serving: Option<Serving>,
    _answering: Option<Answering>,
}

/// The content of a response to a caller.
pub(super) enum Content<E: PlatformAdapter> {
    /// A text of this entry.
    Text(Full<Bytes>),
    /// An upstream's answer that was read to the end.
    Held(SegmentBody),
    /// An upstream's stream, forwarded as it arrives.
    Streamed(Box<Relay<E>>),
}

/// The error that aborts a streamed response. The connection to the caller is closed without the
/// body's terminator, so that the caller can't mistake the truncated body for a complete one.
#[derive(Clone, Copy, Debug)]
pub(super) struct TruncatedResponse;

impl std::fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the upstream's response was truncated")
    }
}

impl std::error::Error for TruncatedResponse {}

impl<E: PlatformAdapter> ResponseBody<E> {
    /// Has the connection count as serving until the body has been handed over.
    pub(super) fn served_by(self, serving: Serving) -> ResponseBody<E> {
        ResponseBody { _serving: Some(serving), ..self }
    }

    /// Has the bytes that are read meanwhile not count as the head of another request.
    pub(super) fn answered_as(self, answering: Answering) -> ResponseBody<E> {
        ResponseBody { _answering: Some(answering), ..self }
    }
}

impl<E: PlatformAdapter> From<Content<E>> for ResponseBody<E> {
    fn from(content: Content<E>) -> ResponseBody<E> {
        ResponseBody { content, _serving: None, _answering: None }
    }
}

impl<E: PlatformAdapter> Body for ResponseBody<E> {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut self.get_mut().content {
            Content::Text(body) => Pin::new(body).poll_frame(cx).map_err(|err| match err {}),
            Content::Held(body) => Pin::new(body).poll_frame(cx).map_err(|err| match err {}),
            Content::Streamed(relay) => relay.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Text(body) => body.is_end_stream(),
            Content::Held(body) => body.is_end_stream(),
            Content::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Text(body) => body.size_hint(),
            Content::Held(body) => body.size_hint(),
            Content::Streamed(relay) => relay.size_hint(),
        }
    }
}

/// Builds the error response to a request that is refused or has failed.
pub(super) fn error_response<E: PlatformAdapter>(
    adapter: &E,
    code: Code,
    retry_after: Millis,
    request_id: Option<&str>,
) -> Response<ResponseBody<E>> {
    let text = format!("{code}\n");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if retry_after > Millis::ZERO {
        let seconds = format!("{:.2}", retry_after.0 as f64 / 1000.0);
        let value = HeaderValue::from_str(&seconds).expect("a decimal number is a valid header");
        headers.insert(header::RETRY_AFTER, value);
    }
    if let Some(request_id) = request_id {
        adapter.add_request_id(&mut headers, request_id);
    }
    let mut response = Response::new(Content::Text(Full::new(text.into())).into());
    *response.status_mut() =
        http::StatusCode::from_u16(code.status()).expect("every code maps to an HTTP status");
    *response.headers_mut() = headers;
    response
}

/// Removes the hop-by-hop headers, which apply to a single connection only.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
