//! Handling of signals from the beginning of a process.
//!
//! Until a handler is installed, SIGTERM and SIGHUP kill the process, and it logs nothing. Starting
//! may take a while, particularly with a slow disk, and the settings may change at any time: the
//! SIGHUP that announces the change would kill the process that is about to read them. A SIGHUP also
//! comes when a terminal is closed, or to a process that was stopped when its shell ended.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};

/// Catches signals from the beginning of the process.
#[derive(Clone, Debug, Default)]
pub struct EarlySignals {
    terminated: Arc<AtomicBool>,
    hung_up: Arc<AtomicBool>,
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
        // Settings are read after this, so that a SIGHUP that arrives earlier can be ignored.
        flag::register(SIGHUP, signals.hung_up.clone())?;
        Ok(signals)
    }

    /// Takes SIGINT for SIGTERM from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler can't be installed.
    pub(super) fn catch_interrupt(&self) -> io::Result<()> {
        flag::register(SIGINT, self.terminated.clone()).map(drop)
    }

    /// Returns whether SIGHUP has arrived since the last call.
    pub(super) fn take_hang_up(&self) -> bool {
        self.hung_up.swap(false, Ordering::SeqCst)
    }

    /// Returns the flag that is set when SIGTERM arrives.
    pub(super) fn termination(&self) -> Arc<AtomicBool> {
        self.terminated.clone()
    }

    /// Returns whether SIGTERM has arrived.
    pub(super) fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }
}
