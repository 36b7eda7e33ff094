//! Forwarding of a streamed response event by event, and resumption at another upstream if the
//! stream breaks off.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    adapter::PlatformAdapter,
    events::EventSplitter,
    memory::AnswerBuffer,
    pool::Connection,
    request::{AttemptGuard, ProxiedRequest, Replacement, ReplacementProgress, UpstreamResponse},
    response::TruncatedResponse,
};
use crate::{
    coordination::{memory::UnreadUpstream, traffic::SendEnd},
    core::{Code, Millis, Version, configuration::RouteKind},
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

/// The upstream response being read.
pub(super) struct Source<E: PlatformAdapter> {
    body: Incoming,
    connection: Connection,
    attempt: AttemptGuard<E>,
    /// The version of the upstream's software, if known.
    version: Option<Version>,
}

impl<E: PlatformAdapter> UpstreamResponse<E> {
    /// Returns the head, and the rest to be read.
    pub(super) fn into_source(self) -> (http::response::Parts, Source<E>) {
        let UpstreamResponse { head, body, connection, attempt, version } = self;
        (head, Source { body, connection, attempt, version })
    }
}

impl<E: PlatformAdapter> Source<E> {
    /// Closes the connection, and reports how the attempt ended; returns the attempt if the
    /// upstream closed the connection, which remains to be reported.
    fn end(self, end: SendEnd) -> Option<AttemptGuard<E>> {
        if end == SendEnd::Disconnected {
            return Some(self.attempt);
        }
        self.attempt.end(end);
        None
    }
}

/// Obtains a response from another upstream; `None` if the stream can't be resumed.
type Resuming<E> = Pin<Box<dyn Future<Output = Option<UpstreamResponse<E>>>>>;

enum State<E: PlatformAdapter> {
    Reading(Source<E>),
    Resuming(Resuming<E>),
    /// The upstream cut the answer off because the caller did not read; it is resumed once the
    /// caller has read what it was sent.
    CutOff,
    Ended,
}

/// A streamed response that is being forwarded to its caller.
pub(super) struct Relay<E: PlatformAdapter> {
    request: Rc<ProxiedRequest<E>>,
    state: State<E>,
    splitter: EventSplitter,
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
    /// When another upstream is looked for unless this one sends something.
    silent_until: Instant,
    /// The attempt that is to take the place of a silent upstream's.
    replacement: Option<Replacement<E>>,
    timer: Pin<Box<Sleep>>,
}

impl<E: PlatformAdapter> Relay<E> {
    pub(super) fn new(request: Rc<ProxiedRequest<E>>, source: Source<E>) -> Relay<E> {
        let silent_until = request.hang_deadline();
        Relay {
            state: State::Reading(source),
            splitter: EventSplitter::default(),
            last_id: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            buffer: request.answer_buffer(),
            unread: UnreadUpstream::default(),
            abort_at: request.deadline + ABORT_SLACK,
            timer: Box::pin(sleep_until(silent_until)),
            silent_until,
            replacement: None,
            request,
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
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if self.poll_caller(cx).is_pending() {
            return Poll::Pending;
        }
        loop {
            let polled = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::CutOff => {
                    if self.buffer.as_ref().is_some_and(|buffer| buffer.poll_empty(cx).is_pending())
                    {
                        return self.poll_timer(cx);
                    }
                    if !self.resume_cut_off() {
                        return self.abort(SendEnd::Unread);
                    }
                    continue;
                }
                State::Resuming(resuming) => match resuming.as_mut().poll(cx) {
                    Poll::Ready(Some(response)) => {
                        self.on_resumed(response);
                        continue;
                    }
                    Poll::Ready(None) => return self.abort(SendEnd::Broken),
                    Poll::Pending => return self.poll_timer(cx),
                },
                State::Reading(Source { body, connection, .. }) => {
                    connection.poll_for(cx, |cx| Pin::new(&mut *body).poll_frame(cx))
                }
            };
            match polled {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if let Some(events) = self.on_data(&data) {
                        self.on_handed_over(events.len());
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                    if self.splitter.is_too_long() {
                        self.request.log_long_event(self.splitter.pending());
                        if !self.resume(SendEnd::Broken) {
                            return self.abort(SendEnd::Broken);
                        }
                    }
                }
                Poll::Ready(None) if self.splitter.pending() == 0 => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_)) | None) if self.is_callers_doing() => self.cut_off(),
                Poll::Ready(Some(Err(_)) | None) => {
                    if !self.resume(SendEnd::Disconnected) {
                        return self.abort(SendEnd::Disconnected);
                    }
                }
                Poll::Pending => {
                    self.unread.on_drained();
                    if let Poll::Ready(ended) = self.poll_timer(cx) {
                        return Poll::Ready(ended);
                    }
                    if self.poll_replacement(cx).is_pending() {
                        return Poll::Pending;
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
            self.replacement = None;
            return Poll::Pending;
        }
        if self.unread.on_continued(now) {
            // The upstream could not send meanwhile.
            self.silent_until = self.silent_until.max(self.silence_deadline());
        }
        Poll::Ready(())
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

    /// Records that the upstream cut the answer off because the caller did not read.
    fn cut_off(&mut self) {
        self.replacement = None;
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::CutOff) {
            source.attempt.end(SendEnd::Unread);
            self.request.gateway.memory.on_cut_off();
        }
    }

    /// Processes bytes from the upstream, and returns the events that are complete with them.
    fn on_data(&mut self, data: &Bytes) -> Option<Bytes> {
        let events = self.splitter.push(data)?;
        self.last_id = events.last_id.or(self.last_id);
        // It would repeat these events.
        self.replacement = None;
        if let State::Reading(source) = &self.state {
            source.attempt.on_events(events.count * self.request.stride);
        }
        let now = Instant::now();
        match self.last_event.replace(now) {
            Some(previous) => self.longest_pause = self.longest_pause.max(now - previous),
            None => self.on_first_event(),
        }
        self.silent_until = self.silence_deadline();
        Some(events.bytes)
    }

    /// Returns when another upstream is looked for if this one sends nothing from now on.
    fn silence_deadline(&self) -> Instant {
        let gap = self.request.route.max_event_gap.0 * MAX_SILENT_GAPS;
        let silence = Duration::from_millis(gap.max(MIN_SILENCE_MS));
        self.abort_at.min(Instant::now() + silence)
    }

    fn on_first_event(&self) {
        self.request.on_first_byte();
        if let State::Reading(source) = &self.state {
            self.request.on_stream_begun(source.version.as_ref());
        }
    }

    /// Looks for another upstream if this one has been silent for too long, and aborts the stream if
    /// the deadline has passed.
    fn poll_timer(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            if now >= self.abort_at {
                return self.abort(SendEnd::Cancelled);
            }
            if now >= self.silent_until {
                self.silent_until = self.silence_deadline();
                self.look_for_replacement();
            }
            self.timer.as_mut().reset(self.silent_until);
        }
        Poll::Pending
    }

    fn look_for_replacement(&mut self) {
        let State::Reading(source) = &self.state else { return };
        let is_resumable = matches!(self.request.route.kind, RouteKind::Stream { resumable: true });
        if self.replacement.is_none() && is_resumable && self.request.may_replace(false) {
            let silent = source.attempt.upstream();
            self.replacement = Some(self.request.replace(silent, false, self.last_id));
        }
    }

    /// Goes on at another upstream once that has taken the place of a silent one.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(replacement) = &mut self.replacement else { return Poll::Pending };
        let progress = ready!(replacement.poll(cx));
        let Some(replacement) = self.replacement.take() else { return Poll::Pending };
        if matches!(progress, ReplacementProgress::Refused) {
            return Poll::Pending;
        }
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            self.request.on_replaced(source.attempt.upstream(), false);
            source.attempt.end(SendEnd::Broken);
        }
        self.begin_reading_anew();
        match progress {
            ReplacementProgress::Answered(response) => self.on_resumed(*response),
            _ => self.state = State::Resuming(resume_with(replacement)),
        }
        Poll::Ready(())
    }

    /// Starts to resume the stream at another upstream after its attempt has ended so; returns
    /// whether that is permitted.
    fn resume(&mut self, end: SendEnd) -> bool {
        let State::Reading(_) = &self.state else { return false };
        let replacement = self.replacement.take().filter(Replacement::is_sent);
        if replacement.is_none() && !self.request.may_repeat() {
            return false;
        }
        let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) else {
            return false;
        };
        let closed = source.end(end);
        match replacement {
            Some(replacement) => {
                closed.map(|attempt| tokio::task::spawn_local(attempt.end_closed()));
                self.begin_reading_anew();
                self.state = State::Resuming(resume_with(replacement));
            }
            None => self.begin_resuming(closed),
        }
        true
    }

    /// Starts to resume a stream that was cut off; returns whether that is permitted.
    fn resume_cut_off(&mut self) -> bool {
        let is_permitted = self.request.may_repeat();
        if is_permitted {
            self.begin_resuming(None);
        }
        is_permitted
    }

    /// Drops what was read of an incomplete event.
    fn begin_reading_anew(&mut self) {
        self.splitter = EventSplitter::default();
        self.unread = UnreadUpstream::default();
    }

    fn begin_resuming(&mut self, closed: Option<AttemptGuard<E>>) {
        self.begin_reading_anew();
        let request = self.request.clone();
        let last_id = self.last_id;
        self.state = State::Resuming(Box::pin(async move {
            if let Some(attempt) = closed {
                attempt.end_closed().await;
            }
            let response = request.fetch_response(last_id).await.ok()?;
            response.head.status.is_success().then_some(response)
        }));
    }

    fn on_resumed(&mut self, response: UpstreamResponse<E>) {
        self.silent_until = self.request.hang_deadline();
        self.timer.as_mut().reset(self.silent_until);
        let (_, source) = response.into_source();
        self.state = State::Reading(source);
    }

    fn finish(&mut self) {
        self.replacement = None;
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            source.attempt.end(SendEnd::Answered);
            self.request.report_answered(Millis(self.longest_pause.as_millis() as u64));
            self.request.gateway.pool.checkin(source.connection);
        }
    }

    /// Aborts the response to the caller, and records how the attempt ended.
    fn abort(&mut self, end: SendEnd) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        let is_overdue = end == SendEnd::Cancelled;
        let code = if is_overdue { Code::AnswerTimeout } else { Code::AnswerBroken };
        self.request.report_truncated(code);
        self.replacement = None;
        if let State::Reading(source) = std::mem::replace(&mut self.state, State::Ended) {
            let closed = source.end(end);
            closed.map(|attempt| tokio::task::spawn_local(attempt.end_closed()));
        }
        Poll::Ready(Some(Err(TruncatedResponse)))
    }
}

/// Goes on with a replacement after the silent attempt has ended.
fn resume_with<E: PlatformAdapter>(replacement: Replacement<E>) -> Resuming<E> {
    let response = replacement.into_response();
    Box::pin(async move {
        let response = response.await.ok().filter(|response| response.head.status.is_success())?;
        Some(*response)
    })
}
