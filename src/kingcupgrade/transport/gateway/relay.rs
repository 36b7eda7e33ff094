//! Forwarding of a streamed response event by event, and resumption at another upstream if the
//! stream breaks off.

use std::{
    future::{self, Future},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    adapter::PlatformAdapter,
    events::Events,
    memory::AnswerBuffer,
    race::{Contender, Failure, Progress, Purpose, Race},
    request::{AttemptGuard, ProxiedRequest},
    response::TruncatedResponse,
    source::{Delivery, Interruption, Source},
};
use crate::{
    coordination::{memory::UnreadUpstream, traffic::SendEnd},
    core::{Code, Millis},
};

/// An upstream is taken for hung if it sends nothing in the middle of a stream for this many times
/// the route's longest allowed pause: ordinary pauses stay within one such span, and callers give
/// up after eight.
const MAX_SILENT_GAPS: u64 = 4;
/// The minimum of that time in milliseconds: an engine that runs out of memory has to process a
/// prompt again in the middle of its stream.
const MIN_SILENCE_MS: u64 = 1_000;

/// A stream is aborted this long after its deadline: a caller that enforces its own deadline
/// disconnects first, and is not cut off because this entry's clock runs slightly ahead.
const ABORT_SLACK: Duration = Duration::from_millis(100);

enum State<E: PlatformAdapter> {
    /// The stream is being read from an upstream, or an upstream is being looked for.
    Reading(Race<E>),
    /// The upstream cut the answer off because the caller did not read; it is resumed once the
    /// caller has read what it was sent.
    CutOff,
    Ended,
}

/// What a timer of a stream is due for.
enum Due {
    Deadline,
    /// Nothing has arrived for too long.
    Replacement,
}

/// What the caller gets next.
type CallerFrame = Option<Result<Frame<Bytes>, TruncatedResponse>>;

/// A streamed response that is being forwarded to its caller.
pub(super) struct Relay<E: PlatformAdapter> {
    request: Rc<ProxiedRequest<E>>,
    state: State<E>,
    /// The id of the last event forwarded.
    last_id: Option<u64>,
    /// When the last event arrived.
    last_event: Option<Instant>,
    longest_pause: Duration,
    /// What is buffered for the caller, if that is counted, and how long the upstream has not been
    /// read for it.
    buffer: Option<Rc<AnswerBuffer>>,
    unread: UnreadUpstream,
    /// When the stream is aborted.
    abort_at: Instant,
    /// When another upstream is looked for unless something arrives.
    silent_until: Instant,
    timer: Pin<Box<Sleep>>,
}

impl<E: PlatformAdapter> Relay<E> {
    /// Begins to forward a response; `rivals` are other attempts at the request that are under way.
    pub(super) fn new(
        request: Rc<ProxiedRequest<E>>,
        source: Source<E>,
        rivals: Vec<Contender<E>>,
    ) -> Relay<E> {
        let abort_at = request.deadline + ABORT_SLACK;
        let silent_until = first_event_deadline(&request);
        let mut contenders = vec![Contender::reading(source)];
        contenders.extend(rivals);
        Relay {
            state: State::Reading(Race::new(request.clone(), contenders)),
            last_id: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            buffer: request.answer_buffer(),
            unread: UnreadUpstream::default(),
            abort_at,
            timer: Box::pin(sleep_until(silent_until)),
            silent_until,
            request,
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Reading(race) if self.last_id.is_none() => {
                race.source().map(Source::size_hint).unwrap_or_default()
            }
            _ => SizeHint::default(),
        }
    }

    pub(super) fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<CallerFrame> {
        if self.poll_caller(cx).is_pending() {
            return Poll::Pending;
        }
        loop {
            let progress = match self.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(ref mut race) => race.poll(cx),
                State::CutOff if self.is_caller_behind(cx) => Poll::Pending,
                State::CutOff => match self.resume(SendEnd::Unread) {
                    Ok(()) => continue,
                    Err(end) => return self.abort(end),
                },
            };
            match progress {
                Poll::Ready(Progress::Answered) => self.on_answered(),
                Poll::Ready(Progress::Delivered(Delivery::Events(events))) => {
                    let events = self.on_events(events);
                    self.on_handed_over(events.len());
                    return Poll::Ready(Some(Ok(Frame::data(events))));
                }
                Poll::Ready(Progress::Delivered(Delivery::End)) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Progress::Failed(failure)) => {
                    if let Err(end) = self.on_failure(failure) {
                        return self.abort(end);
                    }
                }
                Poll::Pending => {
                    self.unread.on_drained();
                    match ready!(self.poll_timer(cx)) {
                        Due::Deadline => return self.abort(SendEnd::Cancelled),
                        Due::Replacement => self.look_for_replacement(),
                    }
                }
            }
        }
    }

    /// Waits until the caller has read enough for more to be read from the upstream.
    fn poll_caller(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(buffer) = &self.buffer else { return Poll::Ready(()) };
        let now = self.request.now();
        if buffer.poll_below_bound(cx).is_pending() {
            self.unread.on_paused(now);
            if let State::Reading(race) = &mut self.state {
                race.keep_first();
            }
            return Poll::Pending;
        }
        if self.unread.on_continued(now) {
            // The upstream could not send meanwhile.
            self.silent_until = self.silent_until.max(self.silence_deadline());
        }
        Poll::Ready(())
    }

    /// Returns whether the caller has not read yet what was handed over.
    fn is_caller_behind(&self, cx: &mut Context<'_>) -> bool {
        self.buffer.as_ref().is_some_and(|buffer| buffer.poll_empty(cx).is_pending())
    }

    /// Records that events are handed over. The HTTP server asks for more only once it can buffer
    /// more for the caller.
    fn on_handed_over(&mut self, len: usize) {
        if let Some(buffer) = &self.buffer {
            buffer.on_handed_over(len);
            self.unread.on_paused(self.request.now());
        }
    }

    /// Returns whether the end of the upstream's connection is due to a caller that did not read.
    fn is_callers_doing(&self) -> bool {
        self.buffer.is_some() && self.unread.is_callers_doing(self.request.now())
    }

    /// Handles the head of an answer that the stream may go on with.
    fn on_answered(&mut self) {
        self.unread = UnreadUpstream::default();
        self.silent_until = first_event_deadline(&self.request);
        self.timer.as_mut().reset(self.silent_until);
    }

    /// Records events that have arrived, and returns them for the caller.
    fn on_events(&mut self, events: Events) -> Bytes {
        self.last_id = events.last_id.or(self.last_id);
        if let State::Reading(race) = &self.state
            && let Some(source) = race.source()
        {
            source.attempt().on_events(events.count * self.request.stride);
        }
        let now = Instant::now();
        let previous = self.last_event.replace(now);
        self.silent_until = self.silence_deadline();
        match previous {
            Some(previous) => self.longest_pause = self.longest_pause.max(now - previous),
            None => {
                self.timer.as_mut().reset(self.silent_until);
                self.on_first_event();
            }
        }
        events.bytes
    }

    /// Returns when another upstream is looked for if this one sends nothing from now on.
    fn silence_deadline(&self) -> Instant {
        let gap = self.request.route.max_event_gap.0 * MAX_SILENT_GAPS;
        let silence = Duration::from_millis(gap.max(MIN_SILENCE_MS));
        self.abort_at.min(Instant::now() + silence)
    }

    fn on_first_event(&self) {
        self.request.on_first_byte();
        if let State::Reading(race) = &self.state
            && let Some(source) = race.source()
        {
            self.request.on_stream_begun(source.version());
        }
    }

    /// Waits until the stream has been silent for too long, or the deadline has passed.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Due> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let now = Instant::now();
            if now >= self.abort_at {
                return Poll::Ready(Due::Deadline);
            }
            let is_silent = now >= self.silent_until;
            if is_silent {
                self.silent_until = self.silence_deadline();
            }
            self.timer.as_mut().reset(self.silent_until);
            if is_silent {
                return Poll::Ready(Due::Replacement);
            }
        }
    }

    fn look_for_replacement(&mut self) {
        if let State::Reading(race) = &mut self.state {
            race.replace_silent(self.last_id);
        }
    }

    /// Goes on at another upstream after the last attempt has failed, if that is permitted.
    ///
    /// # Errors
    ///
    /// Returns how the last attempt ended if the stream can't go on.
    fn on_failure(&mut self, failure: Failure<E>) -> Result<(), SendEnd> {
        match failure {
            Failure::NotResumed => Err(SendEnd::Broken),
            Failure::NotReplaced => self.resume(SendEnd::Broken),
            Failure::Interrupted(Interruption::Closed, attempt) if self.is_callers_doing() => {
                self.cut_off(attempt);
                Ok(())
            }
            Failure::Interrupted(Interruption::Closed, attempt) => self.resume_after(attempt),
            Failure::Interrupted(Interruption::EventTooLong(len), attempt) => {
                self.request.log_long_event(len);
                attempt.end(SendEnd::Broken);
                self.resume(SendEnd::Broken)
            }
        }
    }

    /// Records that the upstream cut the answer off because the caller did not read.
    fn cut_off(&mut self, attempt: AttemptGuard<E>) {
        attempt.end(SendEnd::Unread);
        self.state = State::CutOff;
        self.request.gateway.memory.on_cut_off();
    }

    /// Starts to resume the stream after its upstream has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if that is not permitted.
    fn resume_after(&mut self, closed: AttemptGuard<E>) -> Result<(), SendEnd> {
        let closed = closed.end_closed();
        if !self.request.may_repeat() {
            tokio::task::spawn_local(closed);
            return Err(SendEnd::Disconnected);
        }
        self.begin_resuming(closed);
        Ok(())
    }

    /// Starts to resume the stream after its last attempt has ended so.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if that is not permitted.
    fn resume(&mut self, end: SendEnd) -> Result<(), SendEnd> {
        if !self.request.may_repeat() {
            return Err(end);
        }
        self.begin_resuming(future::ready(()));
        Ok(())
    }

    /// Looks for an upstream that goes on with the stream, once the last attempt has been closed.
    fn begin_resuming(&mut self, closed: impl Future<Output = ()> + 'static) {
        let request = self.request.clone();
        let last_id = self.last_id;
        let response = Box::pin(async move {
            closed.await;
            request.fetch_response(last_id).await.map(Box::new)
        });
        let resumption = Contender::Fetching { response, purpose: Purpose::Resumption };
        self.state = State::Reading(Race::new(self.request.clone(), vec![resumption]));
    }

    fn finish(&mut self) {
        let State::Reading(race) = std::mem::replace(&mut self.state, State::Ended) else { return };
        let Some(source) = race.into_source() else { return };
        let (attempt, connection) = source.into_parts();
        attempt.end(SendEnd::Answered);
        self.request.report_answered(Millis(self.longest_pause.as_millis() as u64));
        self.request.gateway.pool.checkin(connection);
    }

    /// Aborts the response to the caller, and cancels the attempts that are under way.
    fn abort(&mut self, end: SendEnd) -> Poll<CallerFrame> {
        let is_overdue = end == SendEnd::Cancelled;
        let code = if is_overdue { Code::AnswerTimeout } else { Code::AnswerBroken };
        self.request.report_truncated(code, end);
        self.state = State::Ended;
        Poll::Ready(Some(Err(TruncatedResponse)))
    }
}

/// Returns when another upstream is looked for if no event arrives after the head of an answer.
fn first_event_deadline<E: PlatformAdapter>(request: &ProxiedRequest<E>) -> Instant {
    match request.has_spare_attempts() {
        true => request.hang_deadline(),
        false => request.deadline,
    }
}
