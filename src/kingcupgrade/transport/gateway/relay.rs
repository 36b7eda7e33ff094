//! Passing on a streamed answer, event by event, and going on elsewhere where it breaks off.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    answer::BrokenOff,
    caller::{Begun, Caller, Ticket},
    edge::Edge,
    events::EventCutter,
    pool::Connection,
};
use crate::{
    coordination::traffic::SendEnd,
    core::{Code, Millis, configuration::RouteKind},
};

/// An upstream silent for this many of the longest pauses in the middle of a stream is given up:
/// ordinary pauses stay within one, and a caller gives up after eight.
const SILENT_GAPS: u64 = 4;
/// Never sooner than this, in milliseconds: an engine that runs out of memory reads a prompt again
/// in the middle of its stream.
const MIN_SILENCE: u64 = 1_000;

/// A stream is cut this long after its caller's time is over, in milliseconds: a caller that keeps
/// its own time leaves first, and is not cut off by a clock that runs a little ahead.
const CUT_SLACK: Duration = Duration::from_millis(100);

/// What is being read.
struct Source<E: Edge> {
    body: Incoming,
    connection: Connection,
    ticket: Ticket<E>,
}

type Resuming<E> = Pin<Box<dyn Future<Output = Option<Begun<E>>>>>;

enum State<E: Edge> {
    Reading(Source<E>),
    Resuming(Resuming<E>),
    Ended,
}

/// A streamed answer on its way to its caller.
pub(super) struct Relay<E: Edge> {
    caller: Rc<Caller<E>>,
    state: State<E>,
    cutter: EventCutter,
    last_id: Option<u64>,
    /// When the last event came.
    last_event: Option<Instant>,
    longest_pause: Duration,
    /// When it is cut.
    cut_at: Instant,
    /// Until when the upstream may stay silent.
    silent_until: Instant,
    alarm: Pin<Box<Sleep>>,
}

impl<E: Edge> Relay<E> {
    pub(super) fn new(
        caller: Rc<Caller<E>>,
        body: Incoming,
        connection: Connection,
        ticket: Ticket<E>,
    ) -> Relay<E> {
        let silent_until = caller.hang_deadline();
        Relay {
            state: State::Reading(Source { body, connection, ticket }),
            cutter: EventCutter::default(),
            last_id: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            cut_at: caller.deadline + CUT_SLACK,
            alarm: Box::pin(sleep_until(silent_until)),
            silent_until,
            caller,
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Reading(source) if self.last_id.is_none() => source.body.size_hint(),
            _ => SizeHint::default(),
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        loop {
            let polled = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Ready(Some(begun)) => {
                        self.go_on(begun);
                        continue;
                    }
                    Poll::Ready(None) => return self.break_off(SendEnd::Broken),
                    Poll::Pending => return self.poll_alarm(cx),
                },
                State::Reading(Source { body, connection, .. }) => {
                    connection.poll_for(cx, |cx| Pin::new(&mut *body).poll_frame(cx))
                }
            };
            match polled {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if let Some(events) = self.take(&data) {
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                }
                Poll::Ready(None) if self.cutter.pending() == 0 => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_)) | None) => {
                    if !self.resume() {
                        return self.break_off(SendEnd::Broken);
                    }
                }
                Poll::Pending => {
                    if let Poll::Ready(ended) = self.poll_alarm(cx) {
                        return Poll::Ready(ended);
                    }
                    if !matches!(self.state, State::Resuming(_)) {
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    /// Takes in bytes of the upstream; returns whole events.
    fn take(&mut self, data: &Bytes) -> Option<Bytes> {
        let events = self.cutter.push(data)?;
        self.last_id = events.last_id.or(self.last_id);
        if let State::Reading(source) = &self.state {
            source.ticket.on_events(events.count * self.caller.stride);
        }
        let now = Instant::now();
        match self.last_event.replace(now) {
            Some(before) => self.longest_pause = self.longest_pause.max(now - before),
            None => self.caller.on_first_byte(),
        }
        let gap = self.caller.route.max_event_gap.0 * SILENT_GAPS;
        let silence = Duration::from_millis(gap.max(MIN_SILENCE));
        self.silent_until = self.cut_at.min(now + silence);
        Some(events.bytes)
    }

    /// Looks whether the upstream stayed silent for too long, or the time is over.
    fn poll_alarm(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        while self.alarm.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            if now >= self.cut_at {
                return self.break_off(SendEnd::Cancelled);
            }
            let can_resume = matches!(
                (&self.state, self.caller.route.kind),
                (State::Reading(_), RouteKind::Stream { resumable: true })
            );
            if now >= self.silent_until && can_resume && self.resume() {
                cx.waker().wake_by_ref();
                self.silent_until = self.cut_at;
            }
            let next = if self.silent_until > now { self.silent_until } else { self.cut_at };
            self.alarm.as_mut().reset(next);
        }
        Poll::Pending
    }

    /// Begins to go on at another upstream; tells whether that is possible.
    fn resume(&mut self) -> bool {
        let State::Reading(_) = &self.state else { return false };
        if !self.caller.may_repeat() {
            return false;
        }
        self.cutter = EventCutter::default();
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            source.ticket.end(SendEnd::Broken);
        }
        let caller = self.caller.clone();
        let last_id = self.last_id;
        self.state = State::Resuming(Box::pin(async move {
            let begun = caller.obtain(last_id).await.ok()?;
            begun.head.status.is_success().then_some(begun)
        }));
        true
    }

    fn go_on(&mut self, begun: Begun<E>) {
        self.silent_until = self.caller.hang_deadline();
        self.alarm.as_mut().reset(self.silent_until);
        let Begun { body, connection, ticket, .. } = begun;
        self.state = State::Reading(Source { body, connection, ticket });
    }

    fn finish(&mut self) {
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            source.ticket.end(SendEnd::Answered);
            self.caller.tell_answered(Millis(self.longest_pause.as_millis() as u64));
            self.caller.gateway.pool.give_back(source.connection);
        }
    }

    fn break_off(&mut self, end: SendEnd) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let is_overdue = end == SendEnd::Cancelled;
        let code = if is_overdue { Code::AnswerTimeout } else { Code::AnswerBroken };
        self.caller.tell_broken_off(code);
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            source.ticket.end(end);
        }
        Poll::Ready(Some(Err(BrokenOff)))
    }
}
