//! Measurement of the scheduling delay of an entry's tasks, and overload protection based on it.

use std::rc::Rc;

use serde::Serialize;

use super::{Gateway, adapter::PlatformAdapter};
use crate::{core::Millis, util::log};

/// The fields of the log line for an overloaded entry.
#[derive(Serialize)]
struct OverloadLine {
    /// The fraction of requests that is refused.
    part: f64,
    /// Whether all requests are refused until the processor has caught up.
    refuses_all: bool,
    /// The last measured scheduling delay.
    turn_wait_ms: Millis,
    /// Whether the link is full, and its delay.
    link: (bool, Millis),
    /// The numbers of open connections and open requests.
    open: (usize, usize),
    /// The number of queued requests.
    waiting: usize,
}

impl<E: PlatformAdapter> Gateway<E> {
    fn record_probe_delay(&self, delay: Millis) {
        let mut overload = self.overload.get();
        overload.on_probe_delay(delay);
        self.overload.set(overload);
    }

    /// Records how long a new connection's task waited until it first ran.
    pub(super) fn record_connection_delay(&self, delay: Millis) {
        let mut overload = self.overload.get();
        overload.on_delay(delay);
        self.overload.set(overload);
    }

    /// Logs the state of the overload protection if it refuses any requests or
    /// its link is full.
    pub(super) fn log_overload(&self) {
        let overload = self.overload.get();
        let part = overload.refused_fraction();
        let link = self.link.borrow();
        let is_link_full = link.is_full(self.now());
        if part == 0.0 && !is_link_full && !overload.is_saturated() {
            return;
        }
        log::event(
            "overloaded",
            &OverloadLine {
                part,
                refuses_all: overload.is_saturated(),
                turn_wait_ms: overload.scheduling_delay(),
                link: (is_link_full, link.delay()),
                open: (self.open_connections.get(), self.open_requests.get()),
                waiting: self.traffic.borrow().waiting(),
            },
        );
    }

    /// Decides whether to refuse the request that has just arrived because of overload.
    pub(super) fn must_shed(&self) -> bool {
        let mut overload = self.overload.get();
        let refuses = overload.should_refuse();
        self.overload.set(overload);
        refuses
    }

    /// Returns whether the first request on a new connection may be refused without the HTTP server.
    pub(super) fn refuses_early(&self) -> bool {
        let overload = self.overload.get();
        overload.refused_fraction() > 0.0
            || overload.is_saturated()
            || self.decisions.refuses_many()
    }

    /// Returns whether new callers should be sent to other entries.
    pub(super) fn is_full(&self) -> bool {
        self.overload.get().is_full() || self.link.borrow().is_full(self.now())
    }
}

/// Measures how long a new task waits until it runs, behind the tasks of callers and upstreams.
///
/// A late timer would not show the delay: the runtime checks timers between tasks, so they fire on
/// time however many tasks are ready to run.
pub(super) fn probe_scheduling_delay<E: PlatformAdapter>(gateway: &Rc<Gateway<E>>) {
    if gateway.is_probing.replace(true) {
        return;
    }
    let began = gateway.now();
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        gateway.is_probing.set(false);
        gateway.record_probe_delay(gateway.now().since(began));
    });
}
