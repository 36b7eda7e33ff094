//! Request bodies that are read into memory, within the budget of the process.
//!
//! The memory of a body is counted as it is allocated. Where there is none, a body that does not
//! arrive is given up for one that does.

mod segments;

use std::{
    collections::BTreeMap,
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use self::segments::SegmentBuffer;
pub use self::segments::{SegmentBody, Segments};
use crate::{
    coordination::{
        bodies::{BodyLedger, BodyNo, Holder},
        memory::MemoryBudget,
    },
    core::clock::Clock,
};

/// Bytes that arrive for a body are reported to the ledger in steps of this many, or when it waits
/// for more.
const REPORT_LEN: u64 = 16 << 10;

/// The request bodies in the memory of one process.
pub(crate) struct Bodies {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    budget: MemoryBudget,
    ledger: BodyLedger,
    /// The signals to the readers of bodies that are not whole.
    reading: BTreeMap<BodyNo, Arc<GiveUp>>,
    given_up: u32,
}

/// Tells the reader of a body that it is given up.
#[derive(Default)]
struct GiveUp {
    is_set: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

impl GiveUp {
    fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        if let Some(waker) = lock(&self.waker).take() {
            waker.wake();
        }
    }

    fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }
}

/// Locks a value that no thread leaves half changed, also if one panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than permitted.
    TooLong,
    /// There is no memory for it.
    NoRoom,
    /// It did not arrive in time, or was given up for others because it arrived slowly.
    TooSlow,
    /// The connection failed, or what arrived is no body.
    Broken(String),
}

/// How a body is to be read.
pub(crate) struct BodyLimits {
    /// Whom its memory is charged to.
    pub(crate) holder: Holder,
    /// The maximum length, in bytes.
    pub(crate) max_len: usize,
    /// The maximum time.
    pub(crate) timeout: Duration,
}

impl Bodies {
    /// Creates an empty memory; the bodies of one holder may take this fraction of it.
    pub(crate) fn new(clock: Clock, budget: MemoryBudget, holder_fraction: f64) -> Arc<Bodies> {
        let state = State {
            budget,
            ledger: BodyLedger::new(holder_fraction),
            reading: BTreeMap::new(),
            given_up: 0,
        };
        Arc::new(Bodies { clock, state: Mutex::new(state) })
    }

    /// Calls a function with the budget, which other buffers of the process share.
    pub(crate) fn with_budget<T>(&self, call: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        call(&mut lock(&self.state).budget)
    }

    /// Returns how many bodies were given up since the last call.
    pub(crate) fn take_given_up(&self) -> u32 {
        std::mem::take(&mut lock(&self.state).given_up)
    }

    /// Reads a body into memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, breaks off, arrives too slowly, or finds no memory.
    pub(crate) async fn read(
        self: &Arc<Bodies>,
        body: Incoming,
        limits: BodyLimits,
    ) -> Result<HeldBody, BodyError> {
        let whole_len = body.size_hint().exact();
        if whole_len.is_some_and(|len| len > limits.max_len as u64) {
            return Err(BodyError::TooLong);
        }
        if whole_len == Some(0) {
            return Ok(HeldBody::default());
        }
        let mut reader = BodyReader {
            memory: self.begin(limits.holder),
            body,
            buffer: SegmentBuffer::new(whole_len),
            unreported: 0,
        };
        match timeout(limits.timeout, reader.read(limits.max_len)).await {
            Ok(read) => read?,
            Err(_) => return Err(BodyError::TooSlow),
        }
        Ok(HeldBody { segments: reader.buffer.finish(), memory: Some(reader.memory) })
    }

    /// Takes memory for a request that has not arrived yet, for callers without an organisation.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub(crate) fn hold(self: &Arc<Bodies>, bytes: u64) -> Result<BodyMemory, BodyError> {
        let memory = self.begin(None);
        memory.extend(bytes)?;
        Ok(memory)
    }

    /// Begins to count the memory of a body, or of something else that arrives bit by bit.
    pub(crate) fn begin(self: &Arc<Bodies>, holder: Holder) -> BodyMemory {
        let mut state = lock(&self.state);
        let no = state.ledger.begin(self.clock.now(), holder);
        let give_up: Arc<GiveUp> = Arc::default();
        state.reading.insert(no, give_up.clone());
        drop(state);
        BodyMemory { bodies: self.clone(), no, give_up }
    }
}

/// The memory of one body, given back when the value is dropped.
pub(crate) struct BodyMemory {
    bodies: Arc<Bodies>,
    no: BodyNo,
    give_up: Arc<GiveUp>,
}

impl BodyMemory {
    /// Waits until the memory has been given up for another body.
    pub(crate) fn poll_given_up(&self, cx: &mut Context<'_>) -> Poll<()> {
        *lock(&self.give_up.waker) = Some(cx.waker().clone());
        if self.give_up.is_set() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Takes more memory, if need be from bodies that are given up for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none, or if this body has been given up itself.
    pub(crate) fn extend(&self, bytes: u64) -> Result<(), BodyError> {
        if self.give_up.is_set() {
            return Err(BodyError::TooSlow);
        }
        let mut state = lock(&self.bodies.state);
        let State { budget, ledger, reading, given_up } = &mut *state;
        let now = self.bodies.clock.now();
        let allocation = ledger.take(now, budget, self.no, bytes);
        for no in allocation.given_up {
            *given_up += 1;
            if let Some(give_up) = reading.remove(&no) {
                give_up.set();
            }
        }
        if allocation.is_taken {
            return Ok(());
        }
        budget.on_refused(now);
        Err(BodyError::NoRoom)
    }

    /// Records that this many bytes have arrived.
    pub(crate) fn on_bytes(&self, bytes: u64) {
        let now = self.bodies.clock.now();
        lock(&self.bodies.state).ledger.on_bytes(now, self.no, bytes);
    }

    fn on_whole(&self) -> Result<(), BodyError> {
        let mut state = lock(&self.bodies.state);
        if state.reading.remove(&self.no).is_none() {
            return Err(BodyError::TooSlow);
        }
        state.ledger.on_whole(self.no);
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let mut state = lock(&self.bodies.state);
        let State { budget, ledger, reading, .. } = &mut *state;
        reading.remove(&self.no);
        ledger.end(budget, self.no);
    }
}

/// Reads one body.
struct BodyReader {
    memory: BodyMemory,
    body: Incoming,
    buffer: SegmentBuffer,
    /// The bytes that have arrived since the ledger was told.
    unreported: u64,
}

impl BodyReader {
    async fn read(&mut self, max_len: usize) -> Result<(), BodyError> {
        while let Some(mut data) = poll_fn(|cx| self.poll_data(cx)).await? {
            if self.buffer.len() + data.len() > max_len {
                return Err(BodyError::TooLong);
            }
            while !data.is_empty() {
                let needed = self.buffer.needed();
                if needed > 0 {
                    self.memory.extend(needed as u64)?;
                    self.buffer.grow(needed);
                }
                self.buffer.push(&mut data);
            }
        }
        self.memory.on_whole()
    }

    /// Returns the next bytes, or `None` at the end.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        loop {
            if self.memory.give_up.is_set() {
                return Poll::Ready(Err(BodyError::TooSlow));
            }
            let polled = Pin::new(&mut self.body).poll_frame(cx);
            if polled.is_pending() {
                self.report();
                if self.memory.poll_given_up(cx).is_ready() {
                    continue;
                }
            }
            match ready!(polled) {
                None => return Poll::Ready(Ok(None)),
                Some(Err(err)) => return Poll::Ready(Err(BodyError::Broken(err.to_string()))),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.unreported += data.len() as u64;
                    if self.unreported >= REPORT_LEN {
                        self.report();
                    }
                    return Poll::Ready(Ok(Some(data)));
                }
            }
        }
    }

    fn report(&mut self) {
        let bytes = std::mem::take(&mut self.unreported);
        if bytes > 0 {
            self.memory.on_bytes(bytes);
        }
    }
}

/// A request's body in memory.
#[derive(Default)]
pub(crate) struct HeldBody {
    segments: Segments,
    /// Held for as long as the body is; `None` for an empty one.
    memory: Option<BodyMemory>,
}

impl HeldBody {
    /// Returns the bytes, and what their memory is counted by.
    pub(crate) fn into_parts(self) -> (Segments, Option<BodyMemory>) {
        (self.segments, self.memory)
    }

    /// Returns the bytes.
    pub(crate) fn segments(&self) -> &Segments {
        &self.segments
    }
}
