//! Operators' requests, metrics and health checks over HTTP.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use metrics_exporter_prometheus::PrometheusHandle;

use super::{
    Event,
    http::{self, Answer, Request},
};
use crate::{
    core::{Code, Settings, code::CodedError},
    protocol::operator::{OPERATOR_PATH, OperatorReply, OperatorRequest},
};

/// How long an operator's request may take.
const PATIENCE: Duration = Duration::from_secs(12);
/// The largest request, in bytes.
const MAX_REQUEST_LEN: usize = 8 << 20;

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
    http::start("operators", settings.operator_address, move |request| {
        let (events, metrics, draining) = (events.clone(), metrics.clone(), draining.clone());
        // A change that waits for its commit must not keep a health check waiting. Without a
        // thread the request is dropped, and whoever asked asks again.
        let _ = thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || serve(request, &events, &metrics, &draining));
    })?;
    Ok(())
}

fn serve(
    mut request: Request,
    events: &mpsc::Sender<Event>,
    metrics: &PrometheusHandle,
    draining: &AtomicBool,
) {
    let found = match (request.method(), request.url()) {
        ("GET", "/metrics") => Answer::text(200, metrics.render()),
        ("GET", "/healthz") if draining.load(Ordering::Relaxed) => Answer::text(503, "draining\n"),
        ("GET", "/healthz") => Answer::text(200, "ok\n"),
        ("POST", OPERATOR_PATH) => {
            let reply = answer(&mut request, events);
            let status = match &reply {
                OperatorReply::Failed(err) => err.code.status(),
                _ => 200,
            };
            let body = serde_json::to_string(&reply).expect("an answer is plain data");
            Answer::new(status, "application/json", body)
        }
        _ => Answer::text(404, "not found\n"),
    };
    // An operator who is gone asks again under the same change id.
    request.respond(found);
}

fn answer(request: &mut Request, events: &mpsc::Sender<Event>) -> OperatorReply {
    let text = match request.read_text(MAX_REQUEST_LEN) {
        Ok(text) => text,
        Err(err) => return OperatorReply::Failed(err),
    };
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
