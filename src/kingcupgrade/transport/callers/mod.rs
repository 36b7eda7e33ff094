//! Callers' requests over HTTP.
//!
//! One thread serves one request: it waits for the node's verdict, makes the attempts it is told
//! to make, and relays the answer event by event. An event is passed on only when it is whole, so
//! that the count of events passed on is exactly where a broken answer is resumed.

mod admit;
mod answer;
mod relay;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use self::{admit::admit, answer::refuse, relay::Relay};
use crate::{
    coordination::entry::Arrival,
    core::{Code, Millis, Settings, code::CodedError},
    transport::{
        Event, NextRequest, SharedView, Verdict,
        http::{self, Request},
        next_request,
    },
};

/// The stack of a request's thread, in bytes.
const STACK_LEN: usize = 512 << 10;
/// When a caller turned away by a full instance should come back.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// What the threads share.
struct Shared {
    view: SharedView,
    events: mpsc::Sender<Event>,
    next: NextRequest,
    open: AtomicUsize,
    max_requests: usize,
}

/// Starts to serve callers.
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
    http::start("callers", address, move |request| begin(request, &shared))?;
    Ok(())
}

/// Serves a request on a thread of its own, or turns it away if there are too many.
fn begin(request: Request, shared: &Arc<Shared>) {
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
        // The request is dropped with the thread; its caller sees a closed connection.
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
        service: admitted.service.clone(),
        organisation: admitted.organisation.clone(),
        bytes: admitted.upstream.body.len(),
        idempotent: admitted.idempotent,
        needs_claim: admitted.keyed.is_some(),
    };
    let hung_up = tx.clone();
    if shared.events.send(Event::Arrived(arrival, admitted.keyed.clone(), tx)).is_err() {
        refuse(request, &CodedError::new(Code::Draining, ""), Millis::ZERO);
        return;
    }
    // The thread itself says so to the node, which then knows that it sends nothing any more.
    let answer = request.on_hang_up(move || {
        let _ = hung_up.send(Verdict::HungUp);
    });
    let deadline = Instant::now() + Duration::from_millis(admitted.document.limits.deadline_ms);
    let relay = Relay { id, admitted: &admitted, shared, deadline, arrived: Instant::now() };
    relay.run(answer, &rx);
}
