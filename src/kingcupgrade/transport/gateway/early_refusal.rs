//! Refusal of the first request on a connection without the HTTP server.
//!
//! One caller may send an entry many times what its processor can serve. What each refusal costs
//! then decides how many requests are served besides, and most of the cost of a short exchange is
//! the set-up of the server for its connection. So while an entry sheds load, the head of the first
//! request is parsed here, and the server gets only those connections whose request is served.

use std::io;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, header, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{
    Gateway,
    adapter::{PlatformAdapter, RequestHead},
    request::RoutedRequest,
    response::error_response,
};
use crate::core::{Code, Millis};

/// The size of the buffer for a request head, in bytes. Longer ones are left to the server.
const BUF_LEN: usize = 8 << 10;
/// The limit of headers in a request; one with more is left to the server.
const MAX_HEADERS: usize = 48;
/// The timeout for the first bytes of a request, and for the rest of one that is refused.
const READ_TIMEOUT: Millis = Millis(1_000);

/// The start of a connection, as far as it was read.
pub enum FirstRequest {
    /// The head is incomplete, or the request needs the server.
    Unsuitable,
    /// The head of a request, and the number of bytes of its body that were not read yet.
    Complete(Box<request::Parts>, u64),
}

impl FirstRequest {
    /// Parses the bytes that were read first on a connection.
    ///
    /// A request whose body has no stated length, or whose caller waits for leave to send it, is
    /// unsuitable: its body would have to be decoded before the connection can be closed.
    pub fn parse(bytes: &[u8]) -> FirstRequest {
        parse(bytes).unwrap_or(FirstRequest::Unsuitable)
    }
}

fn parse(bytes: &[u8]) -> Option<FirstRequest> {
    let mut buf = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut buf);
    let httparse::Status::Complete(head_len) = parsed.parse(bytes).ok()? else { return None };
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let body_len = body_len(&headers)?;
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    head.uri = parsed.path?.parse::<Uri>().ok()?;
    head.headers = headers;
    // Bytes beyond the body belong to a further request, which the server has to answer.
    let body_left = body_len.checked_sub((bytes.len() - head_len) as u64)?;
    Some(FirstRequest::Complete(Box::new(head), body_left))
}

fn body_len(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(header::TRANSFER_ENCODING) || headers.contains_key(header::EXPECT) {
        return None;
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Some(0) };
    if lengths.next().is_some() {
        return None;
    }
    length.to_str().ok()?.parse().ok()
}

/// What became of the first request on a connection.
pub(super) enum EarlyOutcome {
    /// It was refused, and answered.
    Refused,
    /// It is left to the server, with the bytes that were read.
    Served {
        /// The bytes.
        pending: Bytes,
        /// Whether it was decided that load shedding spares it.
        is_spared: bool,
    },
}

impl<E: PlatformAdapter> Gateway<E> {
    /// Reads the first request on a connection, and refuses it if this entry has to shed it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or if the body of a refused request doesn't arrive in
    /// time.
    pub(super) async fn refuse_early(&self, stream: &mut TcpStream) -> io::Result<EarlyOutcome> {
        let mut bytes = Vec::with_capacity(BUF_LEN);
        // A caller may open a connection before it has a request; the server waits for it.
        if let Ok(read) = timeout(READ_TIMEOUT.as_duration(), stream.read_buf(&mut bytes)).await {
            read?;
        }
        let FirstRequest::Complete(head, body_left) = FirstRequest::parse(&bytes) else {
            return Ok(EarlyOutcome::Served { pending: bytes.into(), is_spared: false });
        };
        let decoded = self.adapter.decode_request_head(&head);
        let Some((code, retry_after)) = self.refusal_of(&head, &decoded) else {
            return Ok(EarlyOutcome::Served { pending: bytes.into(), is_spared: true });
        };
        drop(bytes);
        // A connection that is closed with unread bytes is reset, and its answer lost.
        timeout(READ_TIMEOUT.as_duration(), discard(stream, body_left)).await??;
        let response =
            error_response(&*self.adapter, code, retry_after, decoded.request_id.as_deref());
        stream.write_all(&encode_last(&response, &format!("{code}\n"))).await?;
        Ok(EarlyOutcome::Refused)
    }

    /// Decides whether to refuse a request now.
    fn refusal_of(&self, head: &request::Parts, decoded: &RequestHead) -> Option<(Code, Millis)> {
        let configuration = self.traffic.borrow().configuration().cloned()?;
        let routed = RoutedRequest::new(self, &configuration, head, decoded).ok()?;
        let refusal = routed.refuse_early(self, decoded)?;
        routed.count(self);
        Some(refusal)
    }
}

/// Encodes an answer after which the connection is closed.
pub(super) fn encode_last<T>(response: &Response<T>, text: &str) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let rest = format!("connection: close\r\ncontent-length: {}\r\n\r\n{text}", text.len());
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

/// Reads and drops this many bytes.
async fn discard(stream: &mut TcpStream, mut left: u64) -> io::Result<()> {
    let mut buf = [0; 4 << 10];
    while left > 0 {
        let len = buf.len().min(left as usize);
        match stream.read(&mut buf[..len]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => left -= count as u64,
        }
    }
    Ok(())
}
