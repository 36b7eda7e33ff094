//! Handling of signals that arrive while a process starts.
//!
//! Until a handler is installed, SIGTERM and SIGHUP kill the process. Starting may take a while,
//! particularly with a slow disk, and the settings may change at any time: the SIGHUP that
//! announces the change would kill the process that is about to read them.

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

/// Catches signals from the beginning of the process.
#[derive(Clone, Debug, Default)]
pub struct EarlySignals {
    terminated: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed.
    pub fn catch() -> io::Result<EarlySignals> {
        let signals = EarlySignals::default();
        flag::register(SIGTERM, signals.terminated.clone())?;
        // The settings are read after this, so that a SIGHUP that arrives earlier can be ignored.
        flag::register(SIGHUP, Arc::default())?;
        Ok(signals)
    }

    /// Returns whether SIGTERM has arrived.
    pub(super) fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }
}
