//! Operators' requests, metrics and health checks over HTTP.

use std::{
    io::Read,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use metrics_exporter_prometheus::PrometheusHandle;
use tiny_http::{Method, Response};

use super::{Event, listener};
use crate::{
    core::{Code, Settings, code::CodedError},
    protocol::operator::{OPERATOR_PATH, OperatorReply, OperatorRequest},
};

/// How long an operator's request may take.
const PATIENCE: Duration = Duration::from_secs(12);
/// The largest request, in bytes.
const MAX_REQUEST_LEN: u64 = 8 << 20;

/// Starts to serve operators.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start(
    settings: &Settings,
    events: mpsc::Sender<Event>,
    metrics: PrometheusHandle,
    draining: Arc<AtomicBool>,
) -> anyhow::Result<()> {
    listener::start("operators", settings.operator_address, move |request| {
        let (events, metrics, draining) = (events.clone(), metrics.clone(), draining.clone());
        // A change that waits for its commit must not keep a health check waiting. Without a
        // thread the request is dropped, and whoever asked asks again.
        let _ = thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || serve(request, &events, &metrics, &draining));
    })
}

fn serve(
    mut request: tiny_http::Request,
    events: &mpsc::Sender<Event>,
    metrics: &PrometheusHandle,
    draining: &AtomicBool,
) {
    let response = match (request.method(), request.url()) {
        (Method::Get, "/metrics") => Response::from_string(metrics.render()),
        (Method::Get, "/healthz") if draining.load(Ordering::Relaxed) => {
            Response::from_string("draining\n").with_status_code(503)
        }
        (Method::Get, "/healthz") => Response::from_string("ok\n"),
        (Method::Post, OPERATOR_PATH) => {
            let reply = answer(&mut request, events);
            let status = match &reply {
                OperatorReply::Failed(err) => err.code.status(),
                _ => 200,
            };
            let body = serde_json::to_string(&reply).expect("an answer is plain data");
            Response::from_string(body).with_status_code(status)
        }
        _ => Response::from_string("not found\n").with_status_code(404),
    };
    // An operator who is gone asks again under the same change id.
    let _ = request.respond(response);
}

fn answer(request: &mut tiny_http::Request, events: &mpsc::Sender<Event>) -> OperatorReply {
    let mut text = String::new();
    let read = request.as_reader().take(MAX_REQUEST_LEN).read_to_string(&mut text);
    if let Err(err) = read {
        return failed(Code::BadRequest, err.to_string());
    }
    let asked: OperatorRequest = match serde_json::from_str(&text) {
        Ok(asked) => asked,
        Err(err) => return failed(Code::BadRequest, err.to_string()),
    };
    let (tx, rx) = mpsc::channel();
    if events.send(Event::Asked(asked, tx)).is_err() {
        return failed(Code::Draining, String::new());
    }
    let overdue = |_| failed(Code::CommitUnknown, "the instance is busy".to_owned());
    rx.recv_timeout(PATIENCE).unwrap_or_else(overdue)
}

fn failed(code: Code, detail: String) -> OperatorReply {
    OperatorReply::Failed(CodedError { code, detail })
}
