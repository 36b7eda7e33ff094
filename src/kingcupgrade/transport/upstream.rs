//! One attempt at a request: its connection to an upstream.
//!
//! No connection is used twice. A kept connection that the upstream has closed meanwhile fails
//! after the request was written to it, and "not run" would become "unknown" for no reason.

use std::{io, io::Read, net::SocketAddr, time::Duration};

use ureq::{
    Body, SendBody,
    http::{Request, Response},
};

use crate::coordination::entry::AttemptEnd;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The buffers of one attempt, in bytes; the library's own are sixteen times as large, which over
/// a thousand open requests is more memory than all else together.
const BUFFER_LEN: usize = 16 << 10;
/// The header by which an upstream says what became of a request.
pub const OUTCOME_HEADER: &str = "kingcup-outcome";
/// The header that asks an upstream to resume an answer after this many events.
pub const RESUME_HEADER: &str = "resume-from";
/// The header by which an upstream confirms where it resumed.
pub const RESUMED_HEADER: &str = "resumed-from";
/// Headers of callers that are passed on.
const PASSED_ON: [&str; 4] = ["content-type", "accept", "idempotency-key", "user-agent"];

/// What is sent, the same in every attempt.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// How long the answer may stand still.
    pub silence: Duration,
}

/// Tells whether a caller's header is passed on.
pub fn is_passed_on(name: &str) -> bool {
    PASSED_ON.iter().any(|passed| name.eq_ignore_ascii_case(passed))
}

/// Sends a request and returns the head of its answer.
///
/// # Errors
///
/// Returns how the attempt ended if there is no answer to pass on.
pub fn send(
    request: &UpstreamRequest,
    address: SocketAddr,
    resume_from: u64,
    remaining: Duration,
) -> Result<Response<Body>, AttemptEnd> {
    let config = ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(request.silence))
        .timeout_global(Some(remaining))
        .input_buffer_size(BUFFER_LEN)
        .output_buffer_size(BUFFER_LEN)
        .max_idle_connections(0)
        .max_redirects(0)
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(format!("http://{address}{}", request.path));
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    if resume_from > 0 {
        builder = builder.header(RESUME_HEADER, resume_from);
    }
    let body = if request.body.is_empty() {
        SendBody::none()
    } else {
        SendBody::from_owned_reader(io::Cursor::new(request.body.clone()))
    };
    let length = request.body.len();
    let with_length = if length > 0 { builder.header("content-length", length) } else { builder };
    let Ok(prepared) = with_length.body(body) else { return Err(AttemptEnd::NotSent) };
    let response = agent.run(prepared).map_err(|err| classify(&err))?;
    if was_refused(&response) { Err(AttemptEnd::Refused) } else { Ok(response) }
}

/// Tells whether an upstream says that it did not run the request.
fn was_refused(response: &Response<Body>) -> bool {
    let outcome = response.headers().get(OUTCOME_HEADER);
    let says_not_run = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
    says_not_run && response.status().is_server_error() || response.status() == 429
}

/// Tells what an error says about the request.
fn classify(err: &ureq::Error) -> AttemptEnd {
    match err {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => AttemptEnd::NotSent,
        ureq::Error::Io(err) => match err.kind() {
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => AttemptEnd::NotSent,
            _ => AttemptEnd::Broken,
        },
        ureq::Error::Timeout(ureq::Timeout::Global) => AttemptEnd::TimedOut,
        _ => AttemptEnd::Broken,
    }
}

/// Reads a whole answer's body.
///
/// # Errors
///
/// Returns an error if the body is incomplete or exceeds `limit`.
pub fn read_whole(body: &mut Body, limit: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    body.as_reader().take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::Error::other("the answer exceeds the limit"));
    }
    Ok(bytes)
}
