//! Requests of callers over HTTP.
//!
//! Each request is served by its own thread, which waits for the node's verdicts, makes the
//! attempts that they order, and forwards the response event by event. Only complete events are
//! forwarded, so that the number of forwarded events is exactly the offset at which a broken
//! response is resumed.

mod admit;
mod relay;
mod response;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use self::{
    admit::{admit, admit_head},
    relay::Relay,
    response::refuse,
};
use crate::{
    coordination::entry::Arrival,
    core::{Code, Millis, Settings, code::CodedError},
    transport::{
        Event, NextRequest, SharedView, Verdict,
        http::{self, BodyPolicy, BodyRule, Request},
        next_request,
        upstream::Cancellation,
    },
};

/// The stack size of a request's thread, in bytes.
const STACK_LEN: usize = 512 << 10;
/// The part of the memory for request bodies that those of one organisation may take.
const HOLDER_FRACTION: f64 = 0.5;
/// The retry delay sent by an instance that serves as many requests as it may.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// The state shared by the threads that serve requests.
struct Shared {
    view: SharedView,
    events: mpsc::Sender<Event>,
    next: NextRequest,
    /// The number of requests being served.
    open: AtomicUsize,
    max_requests: usize,
}

/// Starts the server for callers.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start(
    settings: &Settings,
    view: SharedView,
    events: mpsc::Sender<Event>,
) -> anyhow::Result<()> {
    let Some(address) = settings.caller_address else { return Ok(()) };
    let shared = Arc::new(Shared {
        view,
        events,
        next: NextRequest::new(1),
        open: AtomicUsize::new(0),
        max_requests: settings.max_requests,
    });
    let limits = http::Limits {
        connections: settings.max_connections,
        body_memory: settings.body_memory_mb << 20,
        holder_fraction: HOLDER_FRACTION,
        body: body_rule(shared.view.clone()),
        on_refusal: response::count,
        ..http::Limits::default()
    };
    http::start_with("callers", address, limits, move |request| spawn_serve(request, &shared))?;
    Ok(())
}

/// Returns the rule by which the bodies of requests are read: a request that its head shows to be refused
/// needs none.
fn body_rule(view: SharedView) -> BodyRule {
    Arc::new(move |head| {
        let admitted = admit_head(head, &view)?;
        let max_len = admitted.document.limits.body_bytes;
        Ok(BodyPolicy { holder: Some(admitted.organisation), max_len })
    })
}

/// Serves a request on a thread of its own, or refuses it if the maximum number is being served.
fn spawn_serve(request: Request, shared: &Arc<Shared>) {
    if shared.open.fetch_add(1, Ordering::Relaxed) >= shared.max_requests {
        shared.open.fetch_sub(1, Ordering::Relaxed);
        refuse(request, &CodedError::new(Code::TooBusy, ""), BUSY_RETRY_AFTER);
        return;
    }
    let thread_shared = shared.clone();
    let spawned = thread::Builder::new().stack_size(STACK_LEN).spawn(move || {
        serve(request, &thread_shared);
        thread_shared.open.fetch_sub(1, Ordering::Relaxed);
    });
    if spawned.is_err() {
        // The request is dropped with the closure, which closes the caller's connection.
        shared.open.fetch_sub(1, Ordering::Relaxed);
    }
}

fn serve(mut request: Request, shared: &Shared) {
    let admitted = match admit(&mut request, shared) {
        Ok(admitted) => admitted,
        Err(err) => {
            refuse(request, &err, Millis::ZERO);
            return;
        }
    };
    let id = next_request(&shared.next);
    let (tx, rx) = mpsc::channel();
    let arrival = Arrival {
        id,
        digest: admitted.digest,
        service: admitted.service.clone(),
        organisation: admitted.organisation.clone(),
        bytes: admitted.upstream.body.len(),
        idempotent: admitted.idempotent,
        needs_claim: admitted.keyed.is_some(),
    };
    let disconnect_tx = tx.clone();
    let cancellation = Cancellation::default();
    // The answer to a keyed request is kept for the caller who sends it again.
    let cancelled = admitted.keyed.is_none().then(|| cancellation.clone());
    if shared.events.send(Event::Arrived(arrival, admitted.keyed.clone(), tx)).is_err() {
        refuse(request, &CodedError::new(Code::Draining, ""), Millis::ZERO);
        return;
    }
    // The disconnect is reported to the node by this thread rather than by the connection's, so
    // that the node knows that nothing more is sent for the request.
    let responder = request.on_disconnect(move || {
        let _ = disconnect_tx.send(Verdict::Disconnected);
        if let Some(cancelled) = cancelled {
            cancelled.cancel();
        }
    });
    let deadline = Instant::now() + Duration::from_millis(admitted.document.limits.deadline_ms);
    let arrived = Instant::now();
    let relay = Relay { id, admitted: &admitted, shared, deadline, arrived, cancellation };
    relay.run(responder, &rx);
}
