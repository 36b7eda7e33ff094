//! Callers' connections.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    Gateway,
    answer::{AnswerBody, refusal},
    caller::Caller,
    edge::Edge,
};
use crate::{
    coordination::shutdown::DrainStage,
    core::{Code, Millis, configuration::Limits},
    util::log,
};

/// Bytes read ahead of a caller's connection; more than any head that is allowed.
const MAX_BUF_LEN: usize = 64 << 10;
/// How long a connection may stay idle or take for a head while no configuration says so.
const FIRST_IDLE_TIMEOUT: Millis = Millis(30_000);
/// The longest body accepted while no configuration says so; such a request is refused anyway.
const FIRST_MAX_BODY_LEN: usize = 4 << 20;
/// The part of the sockets up to which callers' connections are kept open after an answer. Callers
/// keep theirs for many seconds; with all sockets in use no new caller would be heard.
const KEPT_PART: f64 = 0.4;
/// Idle connections are kept this much longer than callers were told.
const IDLE_SLACK: Millis = Millis(1_000);
/// How long a connection that is accepted while the others are being closed may take for its head;
/// callers that connect send at once.
const LATE_HEAD_TIMEOUT: Millis = Millis(500);
/// The pause after a failed accept: it fails again at once while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// When to come back to an entry that knows no configuration yet.
const RETRY_AFTER_START: Millis = Millis(500);

/// When to come back after an entry that is about to stop refused a request; other entries take it
/// at once.
const RETRY_AFTER_DRAIN: Millis = Millis(50);

/// Counts something for as long as it lives.
struct Counted<'a>(&'a std::cell::Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a std::cell::Cell<usize>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts callers' connections until the entry is to listen no more.
pub(super) async fn accept_callers<E: Edge>(
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
                let accepted = gateway.now();
                let gateway = gateway.clone();
                tokio::task::spawn_local(async move {
                    gateway.note_wait(gateway.now().since(accepted));
                    serve_connection(gateway, stream).await;
                });
            }
            // An entry that stopped accepting would go on looking healthy and answer nobody.
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<E: Edge>(gateway: Rc<Gateway<E>>, stream: TcpStream) {
    // Without it an event waits for the one before to be acknowledged; it can only be slower.
    let _ = stream.set_nodelay(true);
    let _counted = Counted::new(&gateway.open_connections);
    let idle = gateway.traffic.borrow().configuration().map(|c| c.limits.idle_timeout);
    let is_late = gateway.stage() >= DrainStage::Closing;
    let idle = match is_late {
        true => LATE_HEAD_TIMEOUT,
        false => idle.unwrap_or(FIRST_IDLE_TIMEOUT) + IDLE_SLACK,
    };
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move {
            let mut response = serve_one(gateway.clone(), request).await?;
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
        .max_buf_size(MAX_BUF_LEN)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    if is_late {
        // Shut down, the library would close it before its request is read.
        let _ = connection.await;
        return;
    }
    let mut drain = gateway.drain.subscribe();
    let closing = drain.wait_for(|stage| *stage >= DrainStage::Closing);
    tokio::select! {
        // A caller that broke off is told of where its request is served.
        _ = connection.as_mut() => return,
        _ = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    // The same.
    let _ = connection.await;
}

/// Tells whether a caller may keep its connection after an answer.
///
/// An entry that has more callers than it can carry parts with them: they come back to the entry
/// that the balancer names then. One that is told to stop says so with each answer: a connection that it closes later may
/// be closed just as its caller sends on it, and the caller has lost a try.
fn may_keep_connection<E: Edge>(gateway: &Gateway<E>) -> bool {
    let kept = gateway.settings.max_sockets as f64 * KEPT_PART;
    gateway.stage() == DrainStage::Serving
        && !gateway.overload.get().is_full()
        && gateway.open_connections.get() as f64 <= kept
}

async fn serve_one<E: Edge>(
    gateway: Rc<Gateway<E>>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody<E>>, Infallible> {
    let _counted = Counted::new(&gateway.open_requests);
    let (head, body) = request.into_parts();
    let decoded = gateway.edge.read_caller(&head);
    let request_id = decoded.request_id.clone();
    let refuse = |code, retry_after| {
        gateway.refuse_unplaced(code, retry_after, request_id.as_deref());
        Ok(refusal(&*gateway.edge, code, retry_after, request_id.as_deref()))
    };
    let configuration = gateway.traffic.borrow().configuration().cloned();
    let limits = configuration.as_ref().map(|configuration| &configuration.limits);
    let body = match read_body(body, limits).await {
        Ok(body) => body,
        Err(code) => return refuse(code, Millis::ZERO),
    };
    let Some(configuration) = configuration else {
        return refuse(Code::NotReady, RETRY_AFTER_START);
    };
    match Caller::new(gateway.clone(), &configuration, head, decoded, body) {
        Ok(caller) if !gateway.has_time_for(caller.patience()) => {
            refuse(Code::Draining, RETRY_AFTER_DRAIN)
        }
        Ok(caller) if gateway.is_too_much() => Ok(caller.turn_away()),
        Ok(caller) => Ok(Rc::new(caller).serve().await),
        Err(code) => refuse(code, Millis::ZERO),
    }
}

/// Reads a request's body whole: it may have to be sent more than once.
async fn read_body(body: Incoming, limits: Option<&Limits>) -> Result<Bytes, Code> {
    let most = limits.map_or(FIRST_MAX_BODY_LEN, |limits| limits.max_body_len);
    let span = limits.map_or(FIRST_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let reading = Limited::new(body, most).collect();
    match timeout(span.as_duration(), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Ok(Err(_)) => Err(Code::BadRequest),
        Err(_) => Err(Code::BodyTimeout),
    }
}

/// Answers the balancer's questions for good.
pub(super) async fn accept_probes<E: Edge>(
    gateway: Rc<Gateway<E>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_probes(gateway.clone(), stream));
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_probes<E: Edge>(gateway: Rc<Gateway<E>>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let is_known = gateway.edge.is_ready_path(request.uri().path());
        let status = match (is_known, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(FIRST_IDLE_TIMEOUT.as_duration())
        .serve_connection(TokioIo::new(stream), service);
    // The balancer asks again.
    let _ = connection.await;
}
