//! A control instance's service to operators who replace the whole configuration.

use std::{convert::Infallible, rc::Rc, sync::Arc};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    signal::unix::{SignalKind, signal},
    time::{sleep, timeout},
};

use super::{
    fleet::FleetHandle,
    gateway::edge::{Edge, OperatorCall},
    listen::listen,
    metrics, reload,
    signals::EarlySignals,
    tasks::{EssentialTasks, run_on_this_thread},
};
use crate::{
    coordination::fleet::FleetInput,
    core::{Code, Millis, code::CodedError, fleet::FleetSettings},
    protocol::record::{Command, Reply, StoredConfiguration},
    util::{log, random},
};

/// How long a change or a question may take here. Operators ask another instance after a second
/// without an answer, so a later one would reach nobody.
const PATIENCE: Millis = Millis(900);
/// Bytes of a configuration at most: an entry of 160 MB holds it as text and decoded, and the next
/// one beside it while that is put in force.
const MAX_CONFIGURATION_LEN: usize = 4 << 20;
/// How long a call may take to arrive.
const READ_TIMEOUT: Millis = Millis(10_000);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(50);
/// How long a control instance that stops still answers: the lead is handed over meanwhile.
const HAND_OVER: Millis = Millis(400);

struct Controls<E> {
    edge: Arc<E>,
    fleet: FleetHandle,
}

type Answer = Response<Full<Bytes>>;

/// Runs a control instance until it is told to stop.
///
/// # Errors
///
/// Returns an error if an address can't be listened on or the data folder can't be read.
pub fn run<E: Edge>(
    edge: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    run_on_this_thread(run_tasks(edge, settings, signals))
}

async fn run_tasks<E: Edge>(
    edge: Arc<E>,
    settings: Arc<FleetSettings>,
    signals: EarlySignals,
) -> anyhow::Result<()> {
    let address = settings.operator_address.context("the settings name no operators' address")?;
    let listener = listen(address).with_context(|| format!("operators at {address}"))?;
    metrics::start(settings.metrics_address).await.context("metrics")?;
    let fleet = FleetHandle::start(settings.clone(), Box::new(|_| {}))?;
    let mut tasks = EssentialTasks::default();
    tasks.spawn("settings", reload::follow(edge.clone(), fleet.clone(), settings.clone()));
    let controls = Rc::new(Controls { edge, fleet: fleet.clone() });
    tasks.spawn("operators", accept_all(controls, listener));
    log::event("started", &settings.instance());
    let mut terminated = signal(SignalKind::terminate())?;
    if !signals.is_terminated() {
        tokio::select! {
            _ = terminated.recv() => {}
            err = tasks.failure() => return Err(err),
        }
    }
    log::event("draining", &settings.instance());
    fleet.tell(FleetInput::Drain);
    sleep(HAND_OVER.as_duration()).await;
    log::event("stopped", &settings.instance());
    Ok(())
}

async fn accept_all<E: Edge>(
    controls: Rc<Controls<E>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(controls.clone(), stream));
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE.as_duration()).await;
            }
        }
    }
}

async fn serve_connection<E: Edge>(controls: Rc<Controls<E>>, stream: TcpStream) {
    let service = service_fn(|request| {
        let controls = controls.clone();
        async move { Ok::<_, Infallible>(controls.serve(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT.as_duration())
        .serve_connection(TokioIo::new(stream), service);
    // An operator that broke off asks again.
    let _ = connection.await;
}

impl<E: Edge> Controls<E> {
    async fn serve(&self, request: Request<Incoming>) -> Answer {
        let call = self.edge.operator_call(request.method(), request.uri().path());
        let reading = Limited::new(request.into_body(), MAX_CONFIGURATION_LEN).collect();
        let body = match timeout(READ_TIMEOUT.as_duration(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) if err.is::<LengthLimitError>() => {
                let detail = format!("at most {MAX_CONFIGURATION_LEN} bytes");
                return refusal(Code::ConfigurationTooLarge, &detail);
            }
            Ok(Err(err)) => return refusal(Code::BadRequest, &err.to_string()),
            Err(_) => return refusal(Code::BodyTimeout, "the body did not arrive in time"),
        };
        match call {
            Some(OperatorCall::Replace) => self.replace(&body).await,
            Some(OperatorCall::Read) => self.read().await,
            Some(OperatorCall::SetDomain { domain, out }) => {
                let Ok(change) = random::number() else {
                    return refusal(Code::NotLeader, "no random number for the change");
                };
                let change = format!("{change:016x}");
                self.change(Command::SetDomain { change, domain, out }).await
            }
            None => refusal(Code::NotFound, "no such call"),
        }
    }

    async fn replace(&self, body: &[u8]) -> Answer {
        let decoded = self.edge.decode_configuration(body);
        let configuration = match decoded {
            Ok(configuration) => configuration,
            Err(err) => return refusal(err.code, &err.detail),
        };
        // Only text decodes.
        let text: Arc<str> = String::from_utf8_lossy(body).into();
        let version = configuration.version;
        self.change(Command::Replace(StoredConfiguration { version, text, index: 0 })).await
    }

    async fn change(&self, command: Command) -> Answer {
        match self.fleet.ask(command, PATIENCE).await {
            Some(Reply::Accepted { revision, index }) => {
                log::event("accepted", &(revision, index));
                answer(StatusCode::OK, json!({ "revision": revision }).to_string().into())
            }
            Some(Reply::Refused(err)) => refuse(&err),
            _ => refusal(Code::NotLeader, "the record gave no answer"),
        }
    }

    async fn read(&self) -> Answer {
        match self.fleet.ask(Command::Read, PATIENCE).await {
            Some(Reply::Configuration(Some(whole))) => {
                answer(StatusCode::OK, Bytes::copy_from_slice(whole.text.as_bytes()))
            }
            Some(Reply::Configuration(None)) => {
                refusal(Code::NotReady, "there is no configuration yet")
            }
            Some(Reply::Refused(err)) => refuse(&err),
            _ => refusal(Code::NotLeader, "the record gave no answer"),
        }
    }
}

fn refuse(err: &CodedError) -> Answer {
    refusal(err.code, &err.detail)
}

fn refusal(code: Code, detail: &str) -> Answer {
    log::event("operator-refused", &(code.number(), detail));
    let status = StatusCode::from_u16(code.status()).expect("codes have HTTP statuses");
    let body = json!({ "code": code.number(), "text": code.text(), "detail": detail });
    answer(status, body.to_string().into())
}

fn answer(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
