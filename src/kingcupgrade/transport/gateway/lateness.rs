//! How far an entry's processor is behind, and what follows from it.

use std::rc::Rc;

use serde::Serialize;

use super::{Gateway, edge::Edge};
use crate::{core::Millis, util::log};

/// The line that tells how far an entry's processor is behind.
#[derive(Serialize)]
struct Overloaded {
    /// The part of requests that is refused.
    part: f64,
    /// Whether all are, until the processor has caught up.
    refuses_all: bool,
    /// How long a task waited for its turn last.
    turn_wait_ms: Millis,
    /// Connections and requests that are open.
    open: (usize, usize),
    /// Requests that wait for room.
    waiting: usize,
}

impl<E: Edge> Gateway<E> {
    fn note_lateness(&self, late: Millis) {
        let mut overload = self.overload.get();
        overload.on_probe_delay(late);
        self.overload.set(overload);
    }

    /// Notes how long a new connection waited for its turn.
    pub(super) fn note_wait(&self, late: Millis) {
        let mut overload = self.overload.get();
        overload.on_delay(late);
        self.overload.set(overload);
    }

    /// Logs what this entry refuses for want of processor time, if anything.
    pub(super) fn log_overload(&self) {
        let overload = self.overload.get();
        let part = overload.refused_fraction();
        if part == 0.0 && !overload.is_saturated() {
            return;
        }
        log::event(
            "overloaded",
            &Overloaded {
                part,
                refuses_all: overload.is_saturated(),
                turn_wait_ms: overload.scheduling_delay(),
                open: (self.open_connections.get(), self.open_requests.get()),
                waiting: self.traffic.borrow().waiting(),
            },
        );
    }

    /// Tells whether the request that came now is too much for this entry's processor.
    pub(super) fn is_too_much(&self) -> bool {
        let mut overload = self.overload.get();
        let refuses = overload.should_refuse();
        self.overload.set(overload);
        refuses
    }
}

/// Measures how long a task waits for its turn behind those of callers and upstreams.
///
/// The timer itself fires on time however many tasks wait: the library looks at timers between
/// tasks.
pub(super) fn probe_lateness<E: Edge>(gateway: &Rc<Gateway<E>>) {
    if gateway.is_probing.replace(true) {
        return;
    }
    let began = gateway.now();
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        gateway.is_probing.set(false);
        gateway.note_lateness(gateway.now().since(began));
    });
}
