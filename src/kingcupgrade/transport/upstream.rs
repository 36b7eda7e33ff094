//! The HTTP client for a single attempt to send a request to an upstream.
//!
//! Connections are not reused. If the upstream has closed an idle connection, the attempt fails
//! only after the request has been written, and an outcome that should be "not run" would be
//! "unknown".

use std::{
    io::{self, Read},
    mem,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use ureq::{
    Body, SendBody,
    http::{Request, Response},
};

use super::{answer_head, notice};
use crate::{
    coordination::{entry::AttemptEnd, notices::UpstreamNotice},
    core::UpstreamName,
    util::log,
};

/// The timeout for connecting: short, since the upstream may ask for no requests meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The size of an attempt's input and output buffers, in bytes. ureq's defaults are sixteen times
/// as large; with a thousand open requests they would take more memory than everything else
/// together.
const BUFFER_LEN: usize = 16 << 10;
/// The header in which an upstream states the outcome of a request.
pub const OUTCOME_HEADER: &str = "kingcup-outcome";
/// The header that an upstream that is shutting down sets to `1` on all its answers.
pub const LEAVING_HEADER: &str = "kingcup-leaving";
/// The header that asks an upstream to resume a response after this many events.
pub const RESUME_HEADER: &str = "resume-from";
/// The header in which an upstream confirms after how many events it has resumed.
pub const RESUMED_HEADER: &str = "resumed-from";
/// The headers of callers that are forwarded to upstreams.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "idempotency-key", "user-agent"];

/// A request for an upstream, the same for every attempt.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: String,
    /// The path and query, without the service.
    pub path: String,
    /// The forwarded headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The timeout for each read of the response.
    pub read_timeout: Duration,
}

/// Returns whether a caller's header is forwarded.
pub fn is_forwarded(name: &str) -> bool {
    FORWARDED_HEADERS.iter().any(|forwarded| name.eq_ignore_ascii_case(forwarded))
}

/// The result of sending a request.
pub struct SendResult {
    /// What the upstream asks for on its answer, if there is one.
    pub notice: UpstreamNotice,
    /// The response, of which only the head has been read, or how the attempt ended if there is
    /// none to forward.
    pub response: Result<Response<Body>, AttemptEnd>,
}

impl SendResult {
    fn without_answer(end: AttemptEnd) -> SendResult {
        SendResult { notice: UpstreamNotice::default(), response: Err(end) }
    }
}

/// Ends the attempt in progress when the caller leaves: the upstream would work on for nobody, and
/// the thread that waits for it would not notice before the next event.
#[derive(Clone, Default)]
pub struct Cancellation(Arc<Mutex<Attempt>>);

/// What there is to cancel.
#[derive(Default)]
enum Attempt {
    #[default]
    None,
    Running(ureq::Agent),
    Cancelled,
}

impl Cancellation {
    /// Closes the connection of the attempt in progress, and lets none begin.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked in another call.
    pub fn cancel(&self) {
        let attempt = mem::replace(&mut *self.lock(), Attempt::Cancelled);
        if let Attempt::Running(agent) = attempt {
            agent.shutdown();
        }
    }

    /// Returns whether the attempts are cancelled.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked in another call.
    pub fn is_cancelled(&self) -> bool {
        matches!(*self.lock(), Attempt::Cancelled)
    }

    /// Begins an attempt; returns false if it is cancelled already.
    fn begin(&self, agent: &ureq::Agent) -> bool {
        let mut attempt = self.lock();
        if matches!(*attempt, Attempt::Cancelled) {
            return false;
        }
        *attempt = Attempt::Running(agent.clone());
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Attempt> {
        self.0.lock().expect("no thread panics holding an attempt")
    }
}

/// Sends a request to an upstream. If it is cancelled, it ends as a caller's disconnect.
pub fn send(
    request: &UpstreamRequest,
    upstream: &UpstreamName,
    address: SocketAddr,
    resume_from: u64,
    remaining: Duration,
    cancellation: &Cancellation,
) -> SendResult {
    let config = ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_per_read(Some(request.read_timeout))
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
    let Ok(prepared) = with_length.body(body) else {
        return SendResult::without_answer(AttemptEnd::NotSent);
    };
    if !cancellation.begin(&agent) {
        return SendResult::without_answer(AttemptEnd::HungUp);
    }
    match agent.run(prepared) {
        Ok(response) if !has_sound_head(upstream, &response) => {
            SendResult::without_answer(AttemptEnd::Broken)
        }
        Ok(response) => {
            let notice = notice_of(upstream, &response);
            let was_refused = was_refused(&response);
            let response = if was_refused { Err(AttemptEnd::Refused) } else { Ok(response) };
            SendResult { notice, response }
        }
        Err(_) if cancellation.is_cancelled() => SendResult::without_answer(AttemptEnd::HungUp),
        Err(err) => SendResult::without_answer(classify(&err)),
    }
}

/// Returns whether the head of an answer is valid, and logs what is wrong with it.
pub fn has_sound_head(upstream: &UpstreamName, response: &Response<Body>) -> bool {
    let checked = answer_head::check(response.status(), response.version(), response.headers());
    if let Err(fault) = &checked {
        log::warning("answer-head", &(upstream, fault.to_string()));
    }
    checked.is_ok()
}

/// Returns what an upstream asks for on an answer.
pub fn notice_of(upstream: &UpstreamName, response: &Response<Body>) -> UpstreamNotice {
    let leaving = response.headers().get(LEAVING_HEADER);
    UpstreamNotice {
        backoff: notice::backoff_of(upstream, response.status(), response.headers()),
        is_leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
    }
}

/// Returns whether the upstream states that it did not run the request.
fn was_refused(response: &Response<Body>) -> bool {
    let outcome = response.headers().get(OUTCOME_HEADER);
    let is_not_run = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
    is_not_run && response.status().is_server_error() || response.status() == 429
}

/// Determines from an error what became of the request.
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
            _ => end_of_read(err),
        },
        ureq::Error::Timeout(ureq::Timeout::Global) => AttemptEnd::TimedOut,
        ureq::Error::Timeout(_) => AttemptEnd::Silent,
        _ => AttemptEnd::Broken,
    }
}

/// Returns whether an error means that the upstream has closed the connection.
fn is_disconnect(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::UnexpectedEof
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
    )
}

/// Returns how an attempt ended whose response could not be read to its end.
pub fn end_of_read(err: &io::Error) -> AttemptEnd {
    match err.kind() {
        _ if is_disconnect(err) => AttemptEnd::Disconnected,
        _ if is_timeout(err) => AttemptEnd::Silent,
        _ => AttemptEnd::Broken,
    }
}

/// Returns whether an error means that nothing has arrived for too long.
fn is_timeout(err: &io::Error) -> bool {
    let cause = err.get_ref().and_then(|cause| cause.downcast_ref::<ureq::Error>());
    err.kind() == io::ErrorKind::TimedOut || matches!(cause, Some(ureq::Error::Timeout(_)))
}

/// Reads the body of a response to the end.
///
/// # Errors
///
/// Returns an error if the body is incomplete or exceeds `limit`.
pub fn read_whole(body: &mut Body, limit: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    body.as_reader().take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::Error::other("the response exceeds the size limit"));
    }
    Ok(bytes)
}
