//! Counts what is buffered for callers, and ends answers that are not read while memory is short.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    error::Error,
    future::Future,
    pin::Pin,
    rc::{Rc, Weak},
    sync::Arc,
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use metrics::{counter, gauge};
use serde::Serialize;
use tokio::{
    sync::Notify,
    time::{Sleep, sleep},
};

use crate::{
    coordination::memory::{BufferedAnswer, MemoryBudget},
    core::{Millis, clock::Clock},
    transport::bodies::Bodies,
    util::log,
};

/// How often an answer that waits for memory looks for room.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The fraction of the memory for request bodies that those of one organisation may take, so that
/// others find room while it holds on to what it has.
const HOLDER_FRACTION: f64 = 0.5;

/// The buffers of one process, and the budget for them.
pub(super) struct Memory {
    clock: Clock,
    bodies: Arc<Bodies>,
    connections: RefCell<BTreeMap<u64, Weak<AnswerBuffer>>>,
    next_connection: Cell<u64>,
    decided: Cell<Decided>,
}

/// What was decided since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct Decided {
    /// Bodies that were not taken into memory.
    refused_bodies: u32,
    /// Bodies that arrived slowly and were given up for others.
    given_up_bodies: u32,
    /// Answers that were ended because they were not read.
    ended_answers: u32,
    /// Upstreams that cut off an answer that was not read.
    cut_off: u32,
}

/// The fields of the log line for short memory and unread answers.
#[derive(Serialize)]
struct MemoryLine {
    buffered_bytes: u64,
    budget_bytes: u64,
    is_short: bool,
    #[serde(flatten)]
    decided: Decided,
}

impl Memory {
    pub(super) fn new(clock: Clock, memory_limit: Option<u64>, max_sockets: usize) -> Rc<Memory> {
        let budget = MemoryBudget::new(memory_limit, max_sockets);
        Rc::new(Memory {
            clock,
            bodies: Bodies::new(clock, budget, HOLDER_FRACTION),
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            decided: Cell::default(),
        })
    }

    /// Returns the buffer of a new connection from a caller; `None` if there is no limit.
    pub(super) fn open_buffer(self: &Rc<Memory>) -> Option<Rc<AnswerBuffer>> {
        if !self.with_budget(|budget| budget.is_limited()) {
            return None;
        }
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        let buffer = Rc::new(AnswerBuffer {
            memory: self.clone(),
            connection,
            bytes: Cell::new(0),
            unread_since: Cell::new(Millis::ZERO),
            waker: RefCell::default(),
            ended: Notify::new(),
        });
        self.connections.borrow_mut().insert(connection, Rc::downgrade(&buffer));
        Some(buffer)
    }

    /// Returns the memory for request bodies.
    pub(super) fn bodies(&self) -> &Arc<Bodies> {
        &self.bodies
    }

    fn with_budget<T>(&self, call: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        self.bodies.with_budget(call)
    }

    pub(super) fn reserve(self: &Rc<Memory>) -> Rc<Reservation> {
        Rc::new(Reservation { memory: self.clone(), bytes: Cell::new(0) })
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.with_budget(|budget| budget.is_exhausted())
    }

    /// Counts a body that is not taken into memory.
    pub(super) fn on_refused_body(&self) {
        self.on_decided("refused-body", |decided| decided.refused_bodies += 1);
    }

    /// Counts an answer that its upstream cut off because the caller did not read it.
    pub(super) fn on_cut_off(&self) {
        self.on_decided("cut-off", |decided| decided.cut_off += 1);
    }

    fn on_decided(&self, decision: &'static str, count: impl FnOnce(&mut Decided)) {
        counter!("kingcup_memory_decisions", "decision" => decision).increment(1);
        let mut decided = self.decided.get();
        count(&mut decided);
        self.decided.set(decided);
    }

    /// Ends an unread answer if memory stays short.
    pub(super) fn relieve(&self) {
        let connections = self.connections.borrow();
        let open = connections.values().filter_map(Weak::upgrade);
        let answers = open.map(|buffer| buffer.buffered());
        let now = self.clock.now();
        let ended = self.with_budget(|budget| budget.answer_to_end(now, answers));
        let buffer = ended.and_then(|number| connections.get(&number)).and_then(Weak::upgrade);
        drop(connections);
        if let Some(buffer) = buffer {
            self.connections.borrow_mut().remove(&buffer.connection);
            buffer.ended.notify_one();
            self.on_decided("ended-answer", |decided| decided.ended_answers += 1);
        }
    }

    /// Sets the metrics, and logs what was decided since the last call and whether memory is short.
    pub(super) fn report(&self) {
        let given_up = self.bodies.take_given_up();
        if given_up > 0 {
            counter!("kingcup_memory_decisions", "decision" => "given-up-body")
                .increment(given_up.into());
        }
        let decided = Decided { given_up_bodies: given_up, ..self.decided.take() };
        let (budget_bytes, buffered_bytes, is_short) =
            self.with_budget(|budget| (budget.budget(), budget.taken(), budget.is_short()));
        let Some(budget_bytes) = budget_bytes else { return };
        gauge!("kingcup_buffered_bytes").set(buffered_bytes as f64);
        if is_short || decided != Decided::default() {
            let line = MemoryLine { buffered_bytes, budget_bytes, is_short, decided };
            log::event("memory", &line);
        }
    }
}

/// Bytes of an upstream's answer in memory, given back when the value is dropped.
pub(super) struct Reservation {
    memory: Rc<Memory>,
    bytes: Cell<u64>,
}

impl Reservation {
    fn extend(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
        self.memory.with_budget(|budget| budget.take(bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.with_budget(|budget| budget.give_back(self.bytes.get()));
    }
}

/// What is buffered for the caller of one connection.
pub(super) struct AnswerBuffer {
    memory: Rc<Memory>,
    connection: u64,
    /// Bytes of answers that were handed to the HTTP server and not written to the socket.
    bytes: Cell<u64>,
    unread_since: Cell<Millis>,
    /// The task that waits until the caller has read.
    waker: RefCell<Option<Waker>>,
    ended: Notify,
}

impl AnswerBuffer {
    fn buffered(&self) -> BufferedAnswer {
        BufferedAnswer {
            connection: self.connection,
            bytes: self.bytes.get(),
            unread_since: self.unread_since.get(),
        }
    }

    /// Returns whether bytes of an answer have not been written to the socket.
    pub(super) fn has_bytes(&self) -> bool {
        self.bytes.get() > 0
    }

    /// Counts bytes that are handed to the HTTP server.
    pub(super) fn on_handed_over(&self, len: usize) {
        if self.bytes.get() == 0 {
            self.unread_since.set(self.memory.clock.now());
        }
        self.bytes.set(self.bytes.get() + len as u64);
        self.memory.with_budget(|budget| budget.take(len as u64));
    }

    /// Counts bytes that were written to the socket: those of heads and framing are among them, so
    /// that slightly too little is counted until the rest is written.
    pub(super) fn on_written(&self, len: usize) {
        let written = self.bytes.get().min(len as u64);
        if written == 0 {
            return;
        }
        self.bytes.set(self.bytes.get() - written);
        self.memory.with_budget(|budget| budget.give_back(written));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Records that the HTTP server has written all it had.
    pub(super) fn on_flushed(&self) {
        self.on_written(usize::MAX);
    }

    /// Waits until less than the bound of one answer is buffered.
    pub(super) fn poll_below_bound(&self, cx: &mut Context<'_>) -> Poll<()> {
        let bound = self.memory.with_budget(|budget| budget.answer_bound());
        self.poll_at_most(bound.saturating_sub(1), cx)
    }

    /// Waits until nothing is buffered.
    pub(super) fn poll_empty(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.poll_at_most(0, cx)
    }

    fn poll_at_most(&self, bytes: u64, cx: &mut Context<'_>) -> Poll<()> {
        if self.bytes.get() <= bytes {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until the answer is to be ended because memory is short.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.memory.with_budget(|budget| budget.give_back(self.bytes.get()));
        self.memory.connections.borrow_mut().remove(&self.connection);
    }
}

/// The body of an upstream's answer, counted as it arrives; the upstream is not read while there is no
/// memory.
pub(super) struct CountedBody<B> {
    body: B,
    reservation: Rc<Reservation>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<B> CountedBody<B> {
    pub(super) fn new(body: B, reservation: Rc<Reservation>) -> CountedBody<B> {
        CountedBody { body, reservation, timer: None }
    }

    /// Waits until there is memory for more.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.reservation.memory.is_exhausted() {
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(RETRY_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
        Poll::Ready(())
    }
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> Body for CountedBody<B> {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        ready!(this.poll_room(cx));
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            this.reservation.extend(frame.data_ref().map_or(0, Bytes::len) as u64);
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
