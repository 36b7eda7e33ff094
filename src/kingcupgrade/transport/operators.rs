//! The HTTP server for operators' requests, metrics and health checks.

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
    http::{self, Request, ServerResponse},
};
use crate::{
    core::{Code, Settings, code::CodedError},
    protocol::operator::{OPERATOR_PATH, OperatorReply, OperatorRequest},
};

/// The timeout of an operator's request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(12);
/// The maximum length of a request body, in bytes.
const MAX_REQUEST_LEN: usize = 8 << 20;

/// Starts the server for operators.
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
        // A change that waits for its commit must not delay a health check, hence the separate
        // thread. If the thread can't be started, the request is dropped and the client retries.
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
    let response = match (request.method(), request.url()) {
        ("GET", "/metrics") => ServerResponse::text(200, metrics.render()),
        ("GET", "/healthz") if draining.load(Ordering::Relaxed) => {
            ServerResponse::text(503, "draining\n")
        }
        ("GET", "/healthz") => ServerResponse::text(200, "ok\n"),
        ("POST", OPERATOR_PATH) => {
            let reply = handle_request(&mut request, events);
            let status = match &reply {
                OperatorReply::Failed(err) => err.code.status(),
                _ => 200,
            };
            let body = serde_json::to_string(&reply).expect("a reply has only serializable fields");
            ServerResponse::new(status, "application/json", body)
        }
        _ => ServerResponse::text(404, "not found\n"),
    };
    // An operator who has disconnected can retry with the same change id.
    request.respond(response);
}

/// Passes an operator's request to the node, and waits for the reply.
fn handle_request(request: &mut Request, events: &mpsc::Sender<Event>) -> OperatorReply {
    let text = match request.take_text(MAX_REQUEST_LEN) {
        Ok(text) => text,
        Err(err) => return OperatorReply::Failed(err),
    };
    let decoded: OperatorRequest = match serde_json::from_str(&text) {
        Ok(decoded) => decoded,
        Err(err) => return failed(Code::BadRequest, err.to_string()),
    };
    let (tx, rx) = mpsc::channel();
    if events.send(Event::Requested(decoded, tx)).is_err() {
        return failed(Code::Draining, String::new());
    }
    let timed_out =
        |_| failed(Code::CommitUnknown, "the instance did not reply in time".to_owned());
    rx.recv_timeout(REPLY_TIMEOUT).unwrap_or_else(timed_out)
}

fn failed(code: Code, detail: String) -> OperatorReply {
    OperatorReply::Failed(CodedError { code, detail })
}
