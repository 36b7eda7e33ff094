//! The HTTP interface of a control instance for operators who replace the complete configuration.

use std::{convert::Infallible, future::poll_fn, rc::Rc, sync::Arc};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::sleep,
};

use super::{
    arrivals::{Arrivals, OperatorConnection},
    bodies::{Bodies, BodyError, BodyLimits, HeldBody},
    configuration_reads::{ConfigurationRead, ConfigurationReads},
    connection_limit::{ConnectionLimit, Place},
    fleet::FleetHandle,
    gateway::adapter::{OperatorCall, PlatformAdapter},
    linger::linger,
    listen::listen,
    metrics, reload,
    signals::EarlySignals,
    tasks::{EssentialTasks, run_on_this_thread},
};
use crate::{
    coordination::{fleet::FleetInput, memory::MemoryBudget},
    core::{Code, Millis, Service, clock::Clock, code::CodedError, fleet::FleetSettings},
    protocol::record::{Command, Reply, StoredConfiguration},
    util::{log, random},
};

/// The timeout of a change or a read. Operators try another instance if they have no response
/// after a second, so a later response would not be read.
const RECORD_TIMEOUT: Millis = Millis(900);
/// The maximum length of a configuration in bytes. An entry, which has 160 MB of memory, holds the
/// configuration both as text and decoded, and for a moment also the next one while it takes
/// effect.
const MAX_CONFIGURATION_LEN: usize = 4 << 20;
/// The fraction of the memory limit that request bodies may take; decoded configurations and the record
/// need more.
const BODY_FRACTION: f64 = 0.125;
/// The memory for request bodies in bytes if the settings state no limit.
const DEFAULT_BODY_MEMORY: u64 = 32 << 20;
/// The number of connections that are kept open. An operator has eight orders in progress at most.
const MAX_CONNECTIONS: usize = 256;
/// The size of the read buffer of a connection, in bytes; the longest request head that is accepted.
const BUF_LEN: usize = 16 << 10;
/// The timeout for reading a request head or body.
const READ_TIMEOUT: Millis = Millis(10_000);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(50);
/// How long a control instance that is shutting down still responds; meanwhile it hands over the
/// leadership.
const HAND_OVER_TIME: Millis = Millis(400);

/// The state shared by the connections of operators.
struct OperatorServer<E> {
    adapter: Arc<E>,
    fleet: FleetHandle,
    /// The bodies of requests.
    bodies: Arc<Bodies>,
    reads: Rc<ConfigurationReads>,
}

type OperatorResponse = Response<Full<Bytes>>;

/// Runs a control instance until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error if an address can't be listened on or the data folder can't be read.
pub fn run<E: PlatformAdapter>(
    adapter: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    run_on_this_thread(run_tasks(adapter, settings, signals))
}

async fn run_tasks<E: PlatformAdapter>(
    adapter: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    let address =
        settings.operator_address.context("the settings contain no address for operators")?;
    let listener =
        listen(address).with_context(|| format!("could not listen for operators on {address}"))?;
    metrics::start(settings.metrics_address).await.context("metrics")?;
    let fleet = FleetHandle::start(settings.clone(), Box::new(|_| {}))?;
    let mut tasks = EssentialTasks::default();
    tasks.spawn("settings", reload::follow(adapter.clone(), fleet.clone(), settings.clone()));
    let budget = MemoryBudget::for_bodies(body_memory(settings.memory_limit));
    let bodies = Bodies::new(Clock::start(), budget, 1.0);
    let reads = ConfigurationReads::new(fleet.clone(), RECORD_TIMEOUT);
    let server = Rc::new(OperatorServer { adapter, fleet: fleet.clone(), bodies, reads });
    let arrivals = Arrivals::new(listener, fleet.clone());
    tasks.spawn("operators", accept_all(server, arrivals));
    log::event("started", &settings.instance());
    let mut terminated = signal(SignalKind::terminate())?;
    if !signals.is_terminated() {
        tokio::select! {
            _ = terminated.recv() => {}
            err = tasks.failure() => return Err(err),
        }
    }
    log::event("draining", &settings.instance());
    fleet.send(FleetInput::Drain);
    sleep(HAND_OVER_TIME.as_duration()).await;
    log::event("stopped", &settings.instance());
    Ok(())
}

/// Returns how many bytes of request bodies a control instance holds at a time.
fn body_memory(memory_limit: Option<u64>) -> u64 {
    let part = memory_limit.map(|limit| (limit as f64 * BODY_FRACTION) as u64);
    part.unwrap_or(DEFAULT_BODY_MEMORY).max(2 * MAX_CONFIGURATION_LEN as u64)
}

async fn accept_all<E: PlatformAdapter>(
    server: Rc<OperatorServer<E>>,
    mut arrivals: Arrivals,
) -> anyhow::Result<()> {
    let limit = ConnectionLimit::new("operators", MAX_CONNECTIONS);
    loop {
        match arrivals.next().await {
            Ok(connection) => {
                limit
                    .serve(|place| spawn_local(serve_connection(server.clone(), connection, place)))
                    .await;
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE.as_duration()).await;
            }
        }
    }
}

/// Serves one request. The connection is closed after it: how long a second request has waited would
/// not be known.
async fn serve_connection<E: PlatformAdapter>(
    server: Rc<OperatorServer<E>>,
    connection: OperatorConnection,
    place: Arc<Place>,
) {
    let OperatorConnection { stream, known_index } = connection;
    let service = service_fn(|request| {
        let (server, place) = (server.clone(), place.clone());
        Box::pin(
            async move { Ok::<_, Infallible>(server.serve(request, known_index, &place).await) },
        )
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT.as_duration())
        .max_buf_size(BUF_LEN)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are ignored because an operator whose connection fails can retry.
    if poll_fn(|cx| connection.poll_without_shutdown(cx)).await.is_ok() {
        linger(connection.into_parts().io.into_inner()).await;
    }
}

impl<E: PlatformAdapter> OperatorServer<E> {
    /// Dispatches a request to the operation that its method and path denote; `known_index` is an
    /// index of the record that this instance knew before the request was sent.
    async fn serve(
        &self,
        request: Request<Incoming>,
        known_index: u64,
        place: &Arc<Place>,
    ) -> OperatorResponse {
        let call = self.adapter.operator_call(request.method(), request.uri().path());
        let limits = BodyLimits {
            holder: None,
            max_len: MAX_CONFIGURATION_LEN,
            timeout: READ_TIMEOUT.as_duration(),
        };
        let body = match call {
            Some(OperatorCall::Replace | OperatorCall::StartRollout) => {
                match self.bodies.read(request.into_body(), limits).await {
                    Ok(body) => body,
                    Err(err) => return refusal_of_body(err),
                }
            }
            _ => HeldBody::default(),
        };
        let _serving = place.serve();
        match call {
            Some(OperatorCall::Replace) => self.replace(&body.segments().to_vec()).await,
            Some(OperatorCall::Read) => self.read().await,
            Some(OperatorCall::StartRollout) => {
                self.start_rollout(&body.segments().to_vec(), known_index).await
            }
            Some(OperatorCall::ReadRollout(service)) => self.read_rollout(service).await,
            Some(OperatorCall::SetDomain { domain, out }) => {
                let Ok(change) = random::number() else {
                    return refusal(Code::NotLeader, "could not generate a random change id");
                };
                let change = format!("{change:016x}");
                let command = Command::SetDomain { change, domain, out };
                self.change(if_unchanged(known_index, command)).await
            }
            None => refusal(Code::NotFound, "unknown method or path"),
        }
    }

    async fn replace(&self, body: &[u8]) -> OperatorResponse {
        let decoded = self.adapter.decode_configuration(body);
        let configuration = match decoded {
            Ok(configuration) => configuration,
            Err(err) => return refusal(err.code, &err.detail),
        };
        // The conversion loses nothing: a body that could be decoded is valid UTF-8.
        let text: Arc<str> = String::from_utf8_lossy(body).into();
        let version = configuration.version;
        let services = configuration.services.into_keys().collect();
        self.change(Command::Replace(StoredConfiguration { version, text, index: 0, services }))
            .await
    }

    async fn start_rollout(&self, body: &[u8], known_index: u64) -> OperatorResponse {
        match self.adapter.decode_rollout(body) {
            Ok(order) => {
                let command = Command::StartRollout { change: None, order };
                self.change(if_unchanged(known_index, command)).await
            }
            Err(err) => refusal_of(&err),
        }
    }

    async fn read_rollout(&self, service: Service) -> OperatorResponse {
        match self.fleet.submit(Command::ReadRollout(service), RECORD_TIMEOUT).await {
            Some(Reply::Rollout(Some(rollout))) => {
                json_response(StatusCode::OK, self.adapter.encode_rollout(&rollout).into())
            }
            Some(Reply::Rollout(None)) => {
                refusal(Code::NotFound, "no rollout of this service was ordered")
            }
            Some(Reply::Refused(err)) => refusal_of(&err),
            _ => refusal(Code::NotLeader, "the record did not respond"),
        }
    }

    /// Submits a change of the record, and responds with its revision.
    async fn change(&self, command: Command) -> OperatorResponse {
        match self.fleet.submit(command, RECORD_TIMEOUT).await {
            Some(Reply::Accepted { revision, index }) => {
                log::event("accepted", &(revision, index));
                json_response(StatusCode::OK, json!({ "revision": revision }).to_string().into())
            }
            Some(Reply::Refused(err)) => refusal_of(&err),
            _ => refusal(Code::NotLeader, "the record did not respond"),
        }
    }

    async fn read(&self) -> OperatorResponse {
        match self.reads.read().await {
            ConfigurationRead::Found(text) => json_response(StatusCode::OK, text),
            ConfigurationRead::Missing => refusal(Code::NotReady, "there is no configuration yet"),
            ConfigurationRead::Refused(err) => refusal_of(&err),
            ConfigurationRead::Unanswered => refusal(Code::NotLeader, "the record did not respond"),
        }
    }
}

fn if_unchanged(since: u64, command: Command) -> Command {
    Command::IfUnchanged { since, command: Box::new(command) }
}

fn refusal_of(err: &CodedError) -> OperatorResponse {
    refusal(err.code, &err.detail)
}

fn refusal_of_body(err: BodyError) -> OperatorResponse {
    match err {
        BodyError::TooLong => {
            let detail = format!("at most {MAX_CONFIGURATION_LEN} bytes");
            refusal(Code::ConfigurationTooLarge, &detail)
        }
        BodyError::NoRoom => refusal(Code::TooBusy, "no memory is left for the body"),
        BodyError::TooSlow => refusal(Code::BodyTimeout, "the body did not arrive in time"),
        BodyError::Broken(detail) => refusal(Code::BadRequest, &detail),
    }
}

/// Logs a refusal, and builds its response.
fn refusal(code: Code, detail: &str) -> OperatorResponse {
    log::event("operator-refused", &(code.number(), detail));
    let status = StatusCode::from_u16(code.status()).expect("every code maps to an HTTP status");
    let body = json!({ "code": code.number(), "text": code.text(), "detail": detail });
    json_response(status, body.to_string().into())
}

fn json_response(status: StatusCode, body: Bytes) -> OperatorResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
