//! The attempts to serve an admitted request, as ordered by the node.

use std::{
    io::Read,
    net::SocketAddr,
    sync::mpsc,
    time::{Duration, Instant},
};

use metrics::{counter, histogram};
use ureq::{Body, http::Response};

use super::{
    BUSY_RETRY_AFTER, Shared,
    admit::Admitted,
    response::{ResponseState, begin_stream, fail, replay, respond_complete},
};
use crate::{
    coordination::{
        entry::{AttemptEnd, RequestId},
        node::Input,
    },
    core::{Code, ServiceKind, UpstreamName},
    protocol::record::StoredAnswer,
    transport::{
        Event, Verdict,
        gateway::events::MAX_EVENT_LEN,
        http::Responder,
        upstream::{self, Cancellation},
    },
    util::log,
};

/// The maximum length of a response that is not streamed, in bytes.
const MAX_RESPONSE_LEN: u64 = 64 << 20;

/// The content type of answers that consist of events.
const EVENT_STREAM: &str = "text/event-stream";

/// How long after a request's deadline its thread stops waiting for the node.
const VERDICT_SLACK: Duration = Duration::from_secs(10);

/// The cost of a streamed response is reported when it reaches this value, and then each time it
/// has doubled. Thus a dispatcher's estimate is never off by more than a factor of two, and a long
/// response takes few messages.
const FIRST_REPORTED_COST: u32 = 64;

/// Serves one admitted request.
pub(super) struct Relay<'a> {
    pub(super) id: RequestId,
    pub(super) admitted: &'a Admitted,
    pub(super) shared: &'a Shared,
    pub(super) deadline: Instant,
    pub(super) arrived: Instant,
    pub(super) cancellation: Cancellation,
}

impl Relay<'_> {
    /// Carries out the node's verdicts until the request has ended.
    pub(super) fn run(&self, pending: Responder, verdicts: &mpsc::Receiver<Verdict>) {
        let mut state = ResponseState::Pending(pending);
        loop {
            let timeout = self.remaining() + VERDICT_SLACK;
            let verdict =
                verdicts.recv_timeout(timeout).unwrap_or_else(|_| self.on_verdict_timeout());
            let (upstream, address) = match verdict {
                Verdict::Start(upstream, address) => (upstream, address),
                Verdict::Disconnected => {
                    self.report_disconnect();
                    return;
                }
                Verdict::Replay(kept) => {
                    replay(state, &kept);
                    return;
                }
                Verdict::GiveUp { code, retry_after } => {
                    fail(state, code, retry_after);
                    return;
                }
            };
            let is_stream = self.admitted.document.kind == ServiceKind::ModelEngine;
            let next = match is_stream {
                true => self.stream(state, &upstream, address),
                false => self.buffer(state, &upstream, address),
            };
            match next {
                Some(unfinished) => state = unfinished,
                None => return,
            }
        }
    }

    /// Fails the request because the node has sent no verdict in time.
    ///
    /// The node must be notified: otherwise it could still assign a slot to the request, and that
    /// slot would never be released.
    fn on_verdict_timeout(&self) -> Verdict {
        self.report_disconnect();
        Verdict::GiveUp { code: Code::DeadlineQueued, retry_after: BUSY_RETRY_AFTER }
    }

    fn report_disconnect(&self) {
        // Sending fails only while the process exits, after the control thread has ended.
        let _ = self.shared.events.send(Event::Input(Input::HungUp(self.id)));
    }

    /// Returns the time left until the deadline.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Reports the end of an attempt to the node.
    fn end(
        &self,
        end: AttemptEnd,
        cost: u32,
        first_byte: Option<Duration>,
        kept: Option<StoredAnswer>,
    ) {
        let first_byte_ms = first_byte.map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX));
        let id = self.id;
        let input = Input::AttemptEnded { id, end, cost, first_byte_ms, answer: kept };
        // The node outlives the threads that serve requests; sending fails only while the process
        // exits.
        let _ = self.shared.events.send(Event::Input(input));
        counter!("kingcup_attempts", "end" => format!("{end:?}")).increment(1);
    }

    /// Sends the request to an upstream, and reports to the node what that asks for on its answer.
    fn send(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        resume_from: u64,
    ) -> Result<Response<Body>, AttemptEnd> {
        let request = &self.admitted.upstream;
        let remaining = self.remaining();
        let sent =
            upstream::send(request, upstream, address, resume_from, remaining, &self.cancellation);
        if !sent.notice.is_empty() {
            // Sending fails only while the process exits, as in `end`.
            let _ = self.shared.events.send(Event::Input(Input::Noticed(self.id, sent.notice)));
        }
        sent.response
    }

    /// Returns `end`, or the end of an attempt whose caller has left if that is so.
    fn unless_cancelled(&self, end: AttemptEnd) -> AttemptEnd {
        if self.cancellation.is_cancelled() { AttemptEnd::HungUp } else { end }
    }

    /// Makes an attempt whose response is forwarded once it is complete. Returns the response state
    /// unless the request has ended.
    fn buffer(
        &self,
        state: ResponseState,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> Option<ResponseState> {
        let sent = Instant::now();
        let mut response = match self.send(upstream, address, 0) {
            Ok(response) => response,
            Err(end) => {
                self.end(end, 0, None, None);
                return (end != AttemptEnd::HungUp).then_some(state);
            }
        };
        let first_byte = sent.elapsed();
        let content_type = content_type(&response);
        let status = response.status().as_u16();
        let body = match upstream::read_whole(response.body_mut(), MAX_RESPONSE_LEN) {
            Ok(body) => body,
            Err(err) => {
                let end = self.unless_cancelled(upstream::end_of_read(&err));
                self.end(end, 0, Some(first_byte), None);
                return (end != AttemptEnd::HungUp).then_some(state);
            }
        };
        let kept = self.admitted.keyed.as_ref().map(|_| StoredAnswer {
            status,
            content_type: content_type.clone(),
            body: String::from_utf8(body.clone()).ok(),
        });
        self.end(AttemptEnd::Completed, 1, Some(first_byte), kept);
        self.record_done();
        if let ResponseState::Pending(pending) = state {
            respond_complete(pending, Code::Done, status, &content_type, body);
        }
        None
    }

    /// Makes an attempt whose response is forwarded event by event. Returns the response state
    /// unless the request has ended.
    fn stream(
        &self,
        state: ResponseState,
        upstream: &UpstreamName,
        address: SocketAddr,
    ) -> Option<ResponseState> {
        let offset = state.events();
        let sent = Instant::now();
        let response = match self.send(upstream, address, offset) {
            Ok(response) => response,
            Err(end) => {
                self.end(end, cost_of(offset), None, None);
                return (end != AttemptEnd::HungUp).then_some(state);
            }
        };
        if offset > 0 && resumed_from(&response) != Some(offset) {
            // The upstream started over, and its first events may differ from those already sent.
            self.end(AttemptEnd::BrokenForGood, cost_of(offset), None, None);
            return Some(state);
        }
        self.relay_events(state, response, sent)
    }

    fn relay_events(
        &self,
        state: ResponseState,
        mut response: Response<Body>,
        sent: Instant,
    ) -> Option<ResponseState> {
        let (mut stream, mut events) = match state {
            ResponseState::Streaming { stream, events } => (stream, events),
            ResponseState::Pending(pending) => (begin_stream(pending, &response), 0),
        };
        let is_event_stream = content_type(&response).starts_with(EVENT_STREAM);
        let max_partial = if is_event_stream { MAX_EVENT_LEN } else { MAX_RESPONSE_LEN as usize };
        let mut first_byte = None;
        let mut next_reported_cost = FIRST_REPORTED_COST;
        let mut reader = response.body_mut().as_reader();
        let mut buf = [0; 16 << 10];
        let mut partial = Vec::new();
        loop {
            let count = match reader.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => count,
                Err(err) => {
                    let end = match self.remaining().is_zero() {
                        true => AttemptEnd::TimedOut,
                        false => upstream::end_of_read(&err),
                    };
                    return self.end_unfinished(
                        end,
                        ResponseState::Streaming { stream, events },
                        first_byte,
                    );
                }
            };
            first_byte.get_or_insert_with(|| self.record_first_byte(sent));
            // No event ends in what was read before, but its last byte may be half of a boundary.
            let searched = partial.len().saturating_sub(1);
            partial.extend_from_slice(&buf[..count]);
            let complete = complete_events(&partial, searched);
            if complete.len == 0 && partial.len() > max_partial {
                log::warning("event-too-long", &(self.id, partial.len()));
                let state = ResponseState::Streaming { stream, events };
                return self.end_unfinished(AttemptEnd::Broken, state, first_byte);
            }
            if complete.len == 0 {
                continue;
            }
            if stream.write(&partial[..complete.len]).is_err() {
                // The caller has disconnected; dropping the response cancels it at the upstream.
                self.end(AttemptEnd::HungUp, cost_of(events), first_byte, None);
                return None;
            }
            events += complete.count;
            partial.drain(..complete.len);
            if cost_of(events) >= next_reported_cost {
                next_reported_cost = cost_of(events).saturating_mul(2);
                let input = Input::Progressed(self.id, cost_of(events));
                let _ = self.shared.events.send(Event::Input(input));
            }
        }
        // An answer may have neither a length nor chunks, so that its end tells nothing.
        if is_event_stream && !partial.is_empty() {
            let state = ResponseState::Streaming { stream, events };
            return self.end_unfinished(AttemptEnd::Disconnected, state, first_byte);
        }
        if !partial.is_empty() {
            let _ = stream.write(&partial);
        }
        // A response that ends with its connection looks complete when the connection is closed.
        let end = self.unless_cancelled(AttemptEnd::Completed);
        self.end(end, cost_of(events), first_byte, None);
        if end == AttemptEnd::HungUp {
            return None;
        }
        self.record_done();
        let _ = stream.end();
        None
    }

    /// Reports the end of an attempt whose answer is unfinished. Returns the response state unless
    /// the caller has left.
    fn end_unfinished(
        &self,
        end: AttemptEnd,
        state: ResponseState,
        first_byte: Option<Duration>,
    ) -> Option<ResponseState> {
        let end = self.unless_cancelled(end);
        self.end(end, cost_of(state.events()), first_byte, None);
        (end != AttemptEnd::HungUp).then_some(state)
    }

    fn record_first_byte(&self, sent: Instant) -> Duration {
        histogram!("kingcup_first_byte_ms").record(self.arrived.elapsed().as_millis() as f64);
        sent.elapsed()
    }

    fn record_done(&self) {
        counter!("kingcup_requests", "code" => Code::Done.number().to_string()).increment(1);
        histogram!("kingcup_request_ms").record(self.arrived.elapsed().as_millis() as f64);
    }
}

/// Returns a request's cost: the number of its events, but at least one.
fn cost_of(events: u64) -> u32 {
    u32::try_from(events).unwrap_or(u32::MAX).max(1)
}

struct CompleteEvents {
    len: usize,
    count: u64,
}

/// Finds the complete events at the beginning of `bytes`, of which none ends in the first `searched`
/// bytes; an empty line ends an event.
fn complete_events(bytes: &[u8], searched: usize) -> CompleteEvents {
    let pairs = bytes[searched..].windows(2).enumerate();
    let ends = pairs.filter(|(_, pair)| *pair == b"\n\n");
    ends.fold(CompleteEvents { len: 0, count: 0 }, |complete, (at, _)| CompleteEvents {
        len: searched + at + 2,
        count: complete.count + 1,
    })
}

pub(super) fn content_type(response: &Response<Body>) -> String {
    let value = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

fn resumed_from(response: &Response<Body>) -> Option<u64> {
    response.headers().get(upstream::RESUMED_HEADER)?.to_str().ok()?.parse().ok()
}
