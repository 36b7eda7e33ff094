//! Connections from callers.

use std::{cell::Cell, convert::Infallible, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

use super::{
    Gateway,
    adapter::PlatformAdapter,
    caller::{Caller, CallerStream},
    early_refusal::{EarlyOutcome, encode_last},
    memory::AnswerBuffer,
    request::{ProxiedRequest, RoutedRequest},
    response::{ResponseBody, error_response},
};
use crate::{
    coordination::shutdown::DrainStage,
    core::{Code, Millis},
    transport::{
        bodies::{BodyError, BodyLimits},
        connection_limit::Place,
        head_watch::{HeadLimits, HeadWatch},
    },
    util::log,
};

/// The size of the read buffer of a caller's connection until a configuration is known, in bytes.
const DEFAULT_BUF_LEN: usize = 32 << 10;
/// The size of the read buffer beyond that of the longest permitted request head, in bytes.
const BUF_SLACK: usize = 4 << 10;
/// The memory in bytes that the HTTP server takes for a connection beside the read buffer.
const CONNECTION_LEN: usize = 4 << 10;
/// The fraction of the sockets that callers' connections may take; upstreams, other instances and
/// operators need the rest.
const CALLER_FRACTION: f64 = 0.75;
/// The fraction of the memory limit that the state of these connections may take.
const CALLER_MEMORY_FRACTION: f64 = 0.25;
/// The number of connections for which there is memory in any case.
const MIN_CALLERS: usize = 64;
/// The memory of a connection with a read buffer of the usual size, in bytes.
const USUAL_CONNECTION_LEN: usize = 20 << 10;
/// The size of the smallest read buffer that the HTTP server supports, in bytes.
const MIN_BUF_LEN: usize = 8 << 10;
/// The timeout for an idle connection and for reading a request head or body until a
/// configuration is known.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(30_000);
/// The fraction of the socket limit up to which callers' connections are kept open after a
/// response. Callers keep idle connections for many seconds, and once all sockets are in use no new
/// caller could connect.
const KEEP_ALIVE_FRACTION: f64 = 0.4;
/// Idle connections are kept open this much longer than the configured timeout, which callers
/// know.
const IDLE_SLACK: Millis = Millis(1_000);
/// The timeout for the head of a request on a connection that is accepted while idle connections
/// are being closed; callers send a request as soon as they have connected.
const DRAIN_HEAD_TIMEOUT: Millis = Millis(500);
/// The pause after a failed accept: without it, accepting would fail again at once for as long as
/// the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The retry delay sent by an entry that has no configuration yet.
const RETRY_AFTER_START: Millis = Millis(500);

/// The retry delay sent by an entry that is shutting down; another entry can take the request
/// immediately.
const RETRY_AFTER_DRAIN: Millis = Millis(50);

/// The retry delay sent when it can't be shown which version began a stream: entries tell each other
/// of new streams several times a second.
const RETRY_AFTER_UNKNOWN_ORIGIN: Millis = Millis(500);

/// The retry delay sent when there is no memory for a request's body; another entry can take it
/// immediately.
const RETRY_AFTER_MEMORY: Millis = Millis(50);
/// How many connections may be read at once whose callers still send what was refused.
const MAX_DISCARDING: usize = 64;

/// Increments a counter for as long as the value lives.
struct CountGuard<'a>(&'a std::cell::Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a std::cell::Cell<usize>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns how many connections of callers are kept open.
pub(super) fn max_callers(max_sockets: usize, memory_limit: Option<u64>) -> usize {
    let by_sockets = (max_sockets as f64 * CALLER_FRACTION) as usize;
    let by_memory = memory_limit.map_or(usize::MAX, |limit| {
        (limit as f64 * CALLER_MEMORY_FRACTION) as usize / USUAL_CONNECTION_LEN
    });
    by_sockets.min(by_memory.max(MIN_CALLERS)).max(1)
}

/// Accepts callers' connections until the shutdown reaches the stage that closes the listener.
pub(super) async fn accept_callers<E: PlatformAdapter>(
    gateway: Rc<Gateway<E>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    let mut drain = gateway.drain.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = drain.wait_for(|stage| *stage >= DrainStage::ListenerClosed) => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // A closed connection tells the caller that its request was not read.
                let accepted = gateway.now();
                let of_connection = gateway.clone();
                let serve = |place| {
                    spawn_local(async move {
                        let delay = of_connection.now().since(accepted);
                        of_connection.record_connection_delay(delay);
                        serve_connection(of_connection, stream, place).await;
                    })
                };
                gateway.connections.serve(serve).await;
            }
            // An entry that stopped accepting would still look healthy but serve no caller.
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                gateway.connections.close_one();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<E: PlatformAdapter>(
    gateway: Rc<Gateway<E>>,
    mut stream: TcpStream,
    place: Arc<Place>,
) {
    // Nagle's algorithm would hold back an event until the previous one is acknowledged. A failure
    // costs latency only.
    let _ = stream.set_nodelay(true);
    let _count_guard = CountGuard::new(&gateway.open_connections);
    let (pending, is_spared) = match gateway.refuses_early() {
        // An error is the caller's disconnect.
        true => match gateway.refuse_early(&mut stream).await {
            Ok(EarlyOutcome::Served { pending, is_spared }) => (pending, is_spared),
            Ok(EarlyOutcome::Refused) | Err(_) => return,
        },
        false => (Bytes::new(), false),
    };
    // Set while the next request is the one that load shedding has spared.
    let is_spared = Cell::new(is_spared);
    let limits = gateway.traffic.borrow().configuration().map(|c| c.limits.clone());
    let idle = limits.as_ref().map(|limits| limits.idle_timeout);
    let buf_len = limits.as_ref().map_or(DEFAULT_BUF_LEN, |l| l.max_head_len + BUF_SLACK);
    let head = HeadWatch::new(HeadLimits {
        bodies: gateway.memory.bodies().clone(),
        len: buf_len + CONNECTION_LEN,
        timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.head_timeout),
    });
    let is_closing = gateway.stage() >= DrainStage::Closing;
    let idle = match is_closing {
        true => DRAIN_HEAD_TIMEOUT,
        false => idle.unwrap_or(DEFAULT_IDLE_TIMEOUT) + IDLE_SLACK,
    };
    let buffer = gateway.memory.open_buffer();
    let stream = CallerStream::with_pending(stream, pending, buffer.clone(), head);
    let caller = stream.caller();
    let (closing_caller, refused_caller) = (caller.clone(), caller.clone());
    let ended = async move {
        answer_ended(buffer).await;
        closing_caller.reset_on_close();
    };
    let mut ended = std::pin::pin!(ended);
    let service = service_fn(|request| {
        let answering = caller.head().complete();
        let (gateway, caller, is_spared) = (gateway.clone(), caller.clone(), is_spared.take());
        let place = place.clone();
        async move {
            let response = serve_one(gateway.clone(), caller, &place, request, is_spared).await?;
            let mut response = response.map(|body| body.answered_as(answering));
            if !may_keep_connection(&gateway) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.as_duration())
        .max_buf_size(buf_len.max(MIN_BUF_LEN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut drain = gateway.drain.subscribe();
    let closing = async {
        // A graceful shutdown of a connection that is accepted now would make hyper close it before it
        // reads the request.
        if is_closing {
            return std::future::pending().await;
        }
        // The sender lives as long as the gateway.
        let _ = drain.wait_for(|stage| *stage >= DrainStage::Closing).await;
    };
    tokio::select! {
        // A disconnect is recorded where the request is handled, which cancels its attempt.
        _ = connection.as_mut() => return end_refused(&gateway, &refused_caller).await,
        () = ended.as_mut() => return,
        () = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        // Errors are ignored for the same reason as above.
        _ = connection => end_refused(&gateway, &refused_caller).await,
        () = ended => {}
    }
}

/// Refuses a head that did not arrive, and reads and drops what the caller of a refused request still
/// sends. A connection that is closed with unread bytes is reset, and the refusal lost.
async fn end_refused<E: PlatformAdapter>(gateway: &Gateway<E>, caller: &Caller) {
    if let Some(code) = caller.head().refusal() {
        let retry_after = if code == Code::TooBusy { RETRY_AFTER_MEMORY } else { Millis::ZERO };
        gateway.log_unrouted_refusal(code, retry_after, None);
        let response = error_response(&*gateway.adapter, code, retry_after, None);
        caller.write_last(&encode_last(&response, &format!("{code}\n")));
        caller.discard_on_close();
    }
    if caller.is_discarded_on_close() && gateway.discarding.get() < MAX_DISCARDING {
        let _count_guard = CountGuard::new(&gateway.discarding);
        caller.discard().await;
    }
}

/// Waits until the answer on a connection is to be ended because memory is short.
async fn answer_ended(buffer: Option<Rc<AnswerBuffer>>) {
    match buffer {
        Some(buffer) => buffer.ended().await,
        None => std::future::pending().await,
    }
}

/// Returns whether a caller may keep its connection open after a response.
///
/// An overloaded entry closes its callers' connections, so that they reconnect to the entry that
/// the load balancer then selects. An entry that is shutting down announces the close with each
/// response: if it closed the connection later, the close could cross with the caller's next
/// request, and the caller would lose an attempt.
fn may_keep_connection<E: PlatformAdapter>(gateway: &Gateway<E>) -> bool {
    let max_kept = gateway.settings.max_sockets as f64 * KEEP_ALIVE_FRACTION;
    gateway.stage() == DrainStage::Serving
        && !gateway.is_full()
        && gateway.open_connections.get() as f64 <= max_kept
}

async fn serve_one<E: PlatformAdapter>(
    gateway: Rc<Gateway<E>>,
    caller: Caller,
    place: &Arc<Place>,
    request: Request<Incoming>,
    is_spared: bool,
) -> Result<Response<ResponseBody<E>>, Infallible> {
    let _count_guard = CountGuard::new(&gateway.open_requests);
    let (head, body) = request.into_parts();
    let decoded = gateway.adapter.decode_request_head(&head);
    let request_id = decoded.request_id.clone();
    let refuse = |code, retry_after| {
        gateway.log_unrouted_refusal(code, retry_after, request_id.as_deref());
        error_response(&*gateway.adapter, code, retry_after, request_id.as_deref())
    };
    // Refuses a request whose body is not read to its end: what is left of it would be taken for
    // the next request.
    let refuse_unread = |code, retry_after| {
        let mut response = refuse(code, retry_after);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        caller.discard_on_close();
        response
    };
    let refuse_head = |code, retry_after| match body.is_end_stream() {
        true => Ok(refuse(code, retry_after)),
        false => Ok(refuse_unread(code, retry_after)),
    };
    let Some(configuration) = gateway.traffic.borrow().configuration().cloned() else {
        return refuse_head(Code::NotReady, RETRY_AFTER_START);
    };
    let routed = match RoutedRequest::new(&gateway, &configuration, &head, &decoded) {
        Ok(routed) => routed,
        Err(code) => return refuse_head(code, Millis::ZERO),
    };
    if !body.is_end_stream() {
        place.renew();
    }
    let limits = BodyLimits {
        holder: routed.organisation.clone(),
        max_len: configuration.limits.max_body_len,
        timeout: configuration.limits.idle_timeout.min(routed.timeout).as_duration(),
    };
    let body = match gateway.memory.bodies().read(body, limits).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => return Ok(refuse_unread(Code::BodyTooLarge, Millis::ZERO)),
        Err(BodyError::TooSlow) => return Ok(refuse_unread(Code::BodyTimeout, Millis::ZERO)),
        Err(BodyError::Broken(_)) => return Ok(refuse(Code::BadRequest, Millis::ZERO)),
        Err(BodyError::NoRoom) => {
            gateway.memory.on_refused_body();
            return Ok(refuse_unread(Code::TooBusy, RETRY_AFTER_MEMORY));
        }
    };
    let serving = place.serve();
    let current = gateway.traffic.borrow().configuration().cloned();
    let configuration = current.unwrap_or(configuration);
    let routed = match routed.under(&gateway, &configuration, &head, &decoded) {
        Ok(routed) => routed,
        Err(code) => return Ok(refuse(code, Millis::ZERO)),
    };
    if !gateway.has_time_for(routed.route_name(), routed.timeout) {
        return Ok(refuse(Code::Draining, RETRY_AFTER_DRAIN));
    }
    // An overloaded entry refuses many times as many requests as it serves, so this is decided
    // before anything is computed that only a request to be served needs.
    let refusal = if is_spared { None } else { routed.refuse_early(&gateway, &decoded) };
    routed.count(&gateway);
    if let Some((code, retry_after)) = refusal {
        let id = request_id.as_deref();
        return Ok(error_response(&*gateway.adapter, code, retry_after, id));
    }
    let mut proxied =
        ProxiedRequest::new(gateway.clone(), caller, &configuration, routed, head, decoded, body);
    let response = match proxied.find_version().await {
        Ok(()) => Rc::new(proxied).serve().await,
        Err(code) => proxied.refuse(code, RETRY_AFTER_UNKNOWN_ORIGIN),
    };
    Ok(response.map(|body| body.served_by(serving)))
}
