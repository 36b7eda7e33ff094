//! Signals that arrive while a process starts.
//!
//! Until somebody listens for a signal it kills the process. A start may take a while, with a slow
//! disk above all, and settings change whenever they change: the signal that says so would end the
//! very process that is about to read them.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGHUP, SIGTERM},
    flag,
};

/// Takes signals from the first moment on.
#[derive(Clone, Debug, Default)]
pub struct EarlySignals {
    terminated: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Begins to take signals.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler.
    pub fn catch() -> io::Result<EarlySignals> {
        let signals = EarlySignals::default();
        flag::register(SIGTERM, signals.terminated.clone())?;
        // Settings are read after this, so a change before needs no further reading.
        flag::register(SIGHUP, Arc::default())?;
        Ok(signals)
    }

    /// Tells whether the process was told to stop.
    pub(super) fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }
}
