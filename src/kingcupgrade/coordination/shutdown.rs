//! How an entry that is told to stop does so without cutting off a request.
//!
//! The balancer learns only after a while that the entry is not ready, and sends callers until then.
//! They are served, and connections are closed as they become idle. Ending the process while its
//! listener is still open loses whoever connects in between: such a request is sent on, its upstream
//! runs it, and the caller finds its connection closed. So the listener closes first, and the
//! process ends only when nothing is open at a later look.

use crate::core::Millis;

/// How long an entry that stops says that it is not ready before it closes connections: the
/// balancer asks once a second and believes the second answer.
const NOTICE: Millis = Millis(2_600);
/// The part of the grace time after which a process that stops ends whatever is still open.
const GRACE_PART: f64 = 0.97;

/// How far a process that stops has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// It serves.
    Serving,
    /// It says that it is not ready, and still serves what comes.
    Noticed,
    /// It closes connections as they become idle.
    Closing,
    /// It listens no more, and finishes what is open.
    Deaf,
    /// Nothing is open, or the grace time is over: the process may end.
    Stopped,
}

/// The stopping of one entry.
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
    /// Begins to stop; being told so again changes nothing. `grace` is how long that may take.
    pub fn begin(&mut self, now: Millis, grace: Millis) {
        if self.stage > DrainStage::Serving {
            return;
        }
        self.stage = DrainStage::Noticed;
        self.began = now;
        self.ends_at = now + Millis((grace.0 as f64 * GRACE_PART) as u64);
    }

    /// Returns how far it has come.
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Goes on by at most one stage; `is_idle` tells that no connection is open.
    pub fn step(&mut self, now: Millis, is_idle: bool) -> DrainStage {
        self.stage = match self.stage {
            DrainStage::Serving => DrainStage::Serving,
            DrainStage::Noticed if now.since(self.began) < NOTICE => DrainStage::Noticed,
            DrainStage::Noticed => DrainStage::Closing,
            DrainStage::Closing if is_idle || now >= self.ends_at => DrainStage::Deaf,
            DrainStage::Deaf if is_idle || now >= self.ends_at => DrainStage::Stopped,
            stage => stage,
        };
        self.stage
    }

    /// Tells whether a request that may take this long surely ends before the process does.
    ///
    /// One that is cut may have run, and its caller can't tell; refused before it is sent, it is
    /// taken by another entry at once.
    pub fn has_time_for(&self, now: Millis, patience: Millis) -> bool {
        self.stage < DrainStage::Closing || now + patience < self.ends_at
    }
}
