//! Request heads that don't end.
//!
//! The HTTP server keeps the first bytes of a head until the last one has arrived. Its timeout for a
//! head begins with the end of the previous answer, so that it is as long as a connection may be idle.
//! Here the time of a head begins with its first byte, and a head that is not complete after the first
//! read takes memory from the budget for request bodies.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use tokio::{
    io::ReadBuf,
    time::{Sleep, sleep},
};

use crate::{
    core::{Code, Millis},
    transport::bodies::{Bodies, BodyError, BodyMemory},
};

/// The limits of incomplete heads.
pub(super) struct HeadLimits {
    /// The memory of the process for what arrives.
    pub(super) bodies: Arc<Bodies>,
    /// What an incomplete head takes of it, in bytes.
    pub(super) len: usize,
    /// The maximum time from the first byte to the last one.
    pub(super) timeout: Millis,
}

/// Watches the heads of the requests on one connection.
#[derive(Default)]
pub(super) struct HeadWatch {
    limits: Option<HeadLimits>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Whether a request's body is being read, or its answer written.
    is_complete: bool,
    /// Whether bytes of a head have been read.
    has_begun: bool,
    incomplete: Option<Incomplete>,
    refusal: Option<Code>,
}

/// Tells that a request is being read or answered.
pub(super) struct Answering(Arc<HeadWatch>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.state().is_complete = false;
    }
}

/// A head of which the first read has not brought the end.
struct Incomplete {
    memory: BodyMemory,
    timer: Pin<Box<Sleep>>,
}

impl HeadWatch {
    pub(super) fn new(limits: HeadLimits) -> HeadWatch {
        HeadWatch { limits: Some(limits), ..HeadWatch::default() }
    }

    /// Records that the head of a request is complete. The next one begins when the returned value is
    /// dropped.
    pub(super) fn complete(self: &Arc<HeadWatch>) -> Answering {
        let mut state = self.state();
        state.is_complete = true;
        state.has_begun = false;
        state.incomplete = None;
        Answering(self.clone())
    }

    /// Returns the code with which an incomplete request is to be refused.
    pub(super) fn refusal(&self) -> Option<Code> {
        self.state().refusal
    }

    /// Reads from the connection by `read`, unless an incomplete head is given up meanwhile.
    pub(super) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        read: impl FnOnce(&mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<()>> {
        self.before_read()?;
        let filled = buf.filled().len();
        match read(cx, buf) {
            Poll::Pending => self.poll_late(cx).map(Err),
            done => {
                self.on_read(buf.filled().len() - filled);
                done
            }
        }
    }

    /// Takes memory for a head whose first bytes have been read, once.
    fn before_read(&self) -> io::Result<()> {
        let Some(limits) = &self.limits else { return Ok(()) };
        let mut state = self.state();
        if state.is_complete || !state.has_begun || state.incomplete.is_some() {
            return Ok(());
        }
        let held = limits.bodies.hold(limits.len as u64);
        let memory = held.map_err(|err| state.give_up(&err))?;
        let timer = Box::pin(sleep(limits.timeout.as_duration()));
        state.incomplete = Some(Incomplete { memory, timer });
        Ok(())
    }

    /// Records that this many bytes have been read.
    fn on_read(&self, len: usize) {
        let mut state = self.state();
        if len > 0 && !state.is_complete {
            state.has_begun = true;
        }
    }

    /// Waits until an incomplete head is given up, and returns the error for the HTTP server.
    fn poll_late(&self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let mut state = self.state();
        let Some(incomplete) = state.incomplete.as_mut() else { return Poll::Pending };
        let is_given_up = incomplete.memory.poll_given_up(cx).is_ready();
        if is_given_up || incomplete.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(state.give_up(&BodyError::TooSlow));
        }
        Poll::Pending
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn give_up(&mut self, err: &BodyError) -> io::Error {
        let code = if *err == BodyError::NoRoom { Code::TooBusy } else { Code::HeadTimeout };
        self.refusal = Some(code);
        io::Error::new(io::ErrorKind::TimedOut, code.text())
    }
}
