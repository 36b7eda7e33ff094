//! Graceful shutdown of an entry, without interrupting requests.
//!
//! The load balancer notices only after some time that the entry is not ready, and sends callers to
//! it until then. They are served, and connections are closed as they become idle. If the process
//! ended while its listener was open, a request that had just arrived could be sent to an upstream
//! and run by it while its caller finds the connection closed. The listener is therefore closed
//! first, and the process ends only once a later check finds no open connections.

use crate::core::Millis;

/// How long the entry reports that it is not ready before it closes idle connections. The load
/// balancer checks readiness once a second and acts on the second failed check.
const NOTICE: Millis = Millis(2_600);
/// The fraction of the grace period after which the process closes whatever is still open.
const GRACE_FRACTION: f64 = 0.97;

/// The stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Requests are served; no shutdown has begun.
    Serving,
    /// The entry reports that it is not ready, and still serves new requests.
    NotReady,
    /// Connections are closed as they become idle.
    Closing,
    /// The listener is closed, and open requests are being finished.
    ListenerClosed,
    /// No connection is open, or the grace period is over; the process may end.
    Stopped,
}

/// The shutdown of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    stage: DrainStage,
    began: Millis,
    ends_at: Millis,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        let never = Millis(u64::MAX);
        Shutdown { stage: DrainStage::Serving, began: never, ends_at: never }
    }
}

impl Shutdown {
    /// Begins the shutdown, which may take as long as `grace`; later calls have no effect.
    pub fn begin(&mut self, now: Millis, grace: Millis) {
        if self.stage > DrainStage::Serving {
            return;
        }
        self.stage = DrainStage::NotReady;
        self.began = now;
        self.ends_at = now + Millis((grace.0 as f64 * GRACE_FRACTION) as u64);
    }

    /// Returns the current stage.
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Advances by at most one stage and returns it; `is_idle` is whether no connection is open.
    pub fn step(&mut self, now: Millis, is_idle: bool) -> DrainStage {
        self.stage = match self.stage {
            DrainStage::Serving => DrainStage::Serving,
            DrainStage::NotReady if now.since(self.began) < NOTICE => DrainStage::NotReady,
            DrainStage::NotReady => DrainStage::Closing,
            DrainStage::Closing if is_idle || now >= self.ends_at => DrainStage::ListenerClosed,
            DrainStage::ListenerClosed if is_idle || now >= self.ends_at => DrainStage::Stopped,
            stage => stage,
        };
        self.stage
    }

    /// Returns whether a request is to be taken, as it ends before the process does. Its answer is
    /// expected to take `expected`; zero if that is not known.
    ///
    /// A request that is cut off may have run, and its caller can't know. If it is refused before
    /// it is sent, another entry can take it at once. As long as the load balancer sends callers here,
    /// one that will most likely end in time is served; after that, one that certainly will.
    pub fn has_time_for(&self, now: Millis, timeout: Millis, expected: Millis) -> bool {
        let span = match self.stage {
            DrainStage::Serving => return true,
            DrainStage::NotReady => expected.min(timeout),
            DrainStage::Closing | DrainStage::ListenerClosed | DrainStage::Stopped => timeout,
        };
        now + span < self.ends_at
    }
}
