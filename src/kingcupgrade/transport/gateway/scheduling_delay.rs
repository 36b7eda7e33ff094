//! Measurement of the scheduling delay of an entry's tasks, and overload protection based on it.

use std::rc::Rc;

use metrics::gauge;
use serde::Serialize;

use super::{Gateway, adapter::PlatformAdapter};
use crate::{
    coordination::{
        overload,
        shutdown::DrainStage,
        traffic::{EarlyRequest, PeersWithRoom},
    },
    core::{Code, Millis, Organisation},
    util::log,
};

/// The number of organisations that the log line for shed requests names: a flood comes from a few.
const MAX_LOGGED_ORGANISATIONS: usize = 5;

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

/// The fields of the log line for the requests that were shed by organisation in the last second.
#[derive(Serialize)]
struct ShedLine {
    /// The organisations that lost most, and how many requests.
    shed: Vec<(Organisation, u32)>,
    /// The requests per second up to which an organisation's requests are served.
    level_per_s: f64,
    /// The scheduling delay from which on load is shed.
    delay_limit_ms: Millis,
    /// Whether other entries have room for the callers.
    peer_room: &'static str,
    /// The other entries of the failure domain and those with room, if they are known.
    peers: Option<(usize, usize)>,
}

impl<E: PlatformAdapter> Gateway<E> {
    fn record_probe_delay(&self, delay: Millis) {
        let room = self.traffic.borrow().peer_room(self.now());
        let mut overload = self.overload.borrow_mut();
        overload.set_peer_room(room);
        overload.on_probe_delay(delay);
    }

    /// Records how long a new connection's task waited until it first ran.
    pub(super) fn record_connection_delay(&self, delay: Millis) {
        self.overload.borrow_mut().on_delay(delay);
    }

    /// Logs the state of the overload protection if it refuses any requests or
    /// its link is full.
    pub(super) fn log_overload(&self) {
        self.log_shed();
        let overload = self.overload.borrow();
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

    /// Logs whose requests were shed since the last call, if any were.
    fn log_shed(&self) {
        let mut overload = self.overload.borrow_mut();
        let mut shed = overload.take_shed();
        if shed.is_empty() {
            return;
        }
        shed.truncate(MAX_LOGGED_ORGANISATIONS);
        let now = self.now();
        let traffic = self.traffic.borrow();
        let peers = traffic.peers_with_room(now);
        let line = ShedLine {
            shed,
            level_per_s: overload.level_per_s(),
            delay_limit_ms: overload.delay_limit(),
            peer_room: traffic.peer_room(now).as_str(),
            peers: peers.map(|PeersWithRoom { entries, with_room }| (entries, with_room)),
        };
        log::event("shed", &line);
    }

    /// Sets the gauges of the overload protection.
    pub(super) fn record_overload_metrics(&self) {
        let overload = self.overload.borrow();
        gauge!("kingcup_refused_part").set(overload.refused_fraction());
        gauge!("kingcup_turn_wait_ms").set(overload.scheduling_delay().0 as f64);
        gauge!("kingcup_shed_delay_limit_ms").set(overload.delay_limit().0 as f64);
        let peers = self.traffic.borrow().peers_with_room(self.now()).unwrap_or_default();
        gauge!("kingcup_peers_with_room").set(peers.with_room as f64);
    }

    /// Returns the code and the retry delay with which to refuse the request that has just arrived,
    /// if this entry refuses it before admission: because it is overloaded, or because it refuses
    /// many and the organisation is beyond its share.
    pub(super) fn early_refusal(
        &self,
        now: Millis,
        request: &EarlyRequest<'_>,
    ) -> Option<(Code, Millis)> {
        let mut overload = self.overload.borrow_mut();
        let mut traffic = self.traffic.borrow_mut();
        let refusal = overload::early_refusal(now, &mut overload, &mut traffic, request);
        // An entry that sheds load has checked the share already.
        let checks_share = refusal.is_none()
            && !overload.is_shedding()
            && self.decisions.refuses_many()
            && traffic.has_collectors();
        if !checks_share {
            return refusal;
        }
        Some((Code::OverShare, traffic.refuse_over_share(now, request)?))
    }

    /// Returns whether the first request on a new connection may be refused without the HTTP
    /// server.
    pub(super) fn refuses_early(&self) -> bool {
        let is_refusing = self.overload.borrow().is_shedding() || self.decisions.refuses_many();
        is_refusing && self.stage() == DrainStage::Serving
    }

    /// Returns whether new callers should be sent to other entries.
    pub(super) fn is_full(&self) -> bool {
        self.overload.borrow().is_full() || self.link.borrow().is_full(self.now())
    }

    /// Returns whether this entry has room for callers that other entries refuse.
    pub(super) fn has_room(&self) -> bool {
        self.is_ready() && self.overload.borrow().has_room()
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
