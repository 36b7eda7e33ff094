//! The attempts at one admitted request, as the node orders them.

use std::{
    io::Read,
    sync::mpsc,
    time::{Duration, Instant},
};

use metrics::{counter, histogram};

use super::{
    BUSY_RETRY_AFTER, Shared,
    admit::Admitted,
    answer::{Answer, begin_stream, give_up, replay, respond_whole},
};
use crate::{
    coordination::{
        entry::{AttemptEnd, RequestId},
        node::Input,
    },
    core::{Code, ServiceKind},
    protocol::record::StoredAnswer,
    transport::{Event, Verdict, http::PendingAnswer, upstream},
};

/// The largest answer relayed whole, in bytes.
const MAX_WHOLE_ANSWER: u64 = 64 << 20;

/// Added to a request's deadline before its thread stops waiting for the node.
const VERDICT_SLACK: Duration = Duration::from_secs(10);

/// A streaming answer's cost is first reported when it reaches this, then whenever it has doubled:
/// a dispatcher is never wrong by more than that, and a long answer costs few messages.
const FIRST_PROGRESS: u32 = 64;

/// Serves one admitted request.
pub(super) struct Relay<'a> {
    pub(super) id: RequestId,
    pub(super) admitted: &'a Admitted,
    pub(super) shared: &'a Shared,
    pub(super) deadline: Instant,
    pub(super) arrived: Instant,
}

impl Relay<'_> {
    pub(super) fn run(&self, pending: PendingAnswer, verdicts: &mpsc::Receiver<Verdict>) {
        let mut answer = Answer::Pending(pending);
        loop {
            let patience = self.remaining() + VERDICT_SLACK;
            let verdict = verdicts.recv_timeout(patience).unwrap_or_else(|_| self.stop_waiting());
            let address = match verdict {
                Verdict::Start(_, address) => address,
                Verdict::HungUp => {
                    self.tell_hung_up();
                    return;
                }
                Verdict::Replay(kept) => {
                    replay(answer, &kept);
                    return;
                }
                Verdict::GiveUp { code, retry_after } => {
                    give_up(answer, code, retry_after);
                    return;
                }
            };
            let is_stream = self.admitted.document.kind == ServiceKind::ModelEngine;
            let next =
                if is_stream { self.stream(answer, address) } else { self.whole(answer, address) };
            match next {
                Some(pending) => answer = pending,
                None => return,
            }
        }
    }

    /// Gives a request up that the node has said nothing about for too long.
    ///
    /// The node must hear of it: a slot given to the request later would stay taken for nobody.
    fn stop_waiting(&self) -> Verdict {
        self.tell_hung_up();
        Verdict::GiveUp { code: Code::DeadlineQueued, retry_after: BUSY_RETRY_AFTER }
    }

    fn tell_hung_up(&self) {
        // Without the control thread the process is about to end.
        let _ = self.shared.events.send(Event::Input(Input::HungUp(self.id)));
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

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
        // The node outlives its traffic threads; only at the very end of the process nobody hears.
        let _ = self.shared.events.send(Event::Input(input));
        counter!("kingcup_attempts", "end" => format!("{end:?}")).increment(1);
    }

    /// Makes an attempt whose answer is passed on when it is whole.
    fn whole(&self, answer: Answer, address: std::net::SocketAddr) -> Option<Answer> {
        let sent = Instant::now();
        let mut response =
            match upstream::send(&self.admitted.upstream, address, 0, self.remaining()) {
                Ok(response) => response,
                Err(end) => {
                    self.end(end, 0, None, None);
                    return Some(answer);
                }
            };
        let first_byte = sent.elapsed();
        let content_type = content_type(&response);
        let status = response.status().as_u16();
        let Ok(body) = upstream::read_whole(response.body_mut(), MAX_WHOLE_ANSWER) else {
            self.end(AttemptEnd::Broken, 0, Some(first_byte), None);
            return Some(answer);
        };
        let kept = self.admitted.keyed.as_ref().map(|_| StoredAnswer {
            status,
            content_type: content_type.clone(),
            body: String::from_utf8(body.clone()).ok(),
        });
        self.end(AttemptEnd::Completed, 1, Some(first_byte), kept);
        self.note_done();
        if let Answer::Pending(pending) = answer {
            respond_whole(pending, Code::Done, status, &content_type, body);
        }
        None
    }

    /// Makes an attempt whose answer is passed on event by event.
    fn stream(&self, answer: Answer, address: std::net::SocketAddr) -> Option<Answer> {
        let offset = match &answer {
            Answer::Pending(_) => 0,
            Answer::Streaming { events, .. } => *events,
        };
        let sent = Instant::now();
        let response =
            match upstream::send(&self.admitted.upstream, address, offset, self.remaining()) {
                Ok(response) => response,
                Err(end) => {
                    self.end(end, cost_of(offset), None, None);
                    return Some(answer);
                }
            };
        if offset > 0 && resumed_from(&response) != Some(offset) {
            // It began anew, and its first events need not be the ones already passed on.
            self.end(AttemptEnd::BrokenForGood, cost_of(offset), None, None);
            return Some(answer);
        }
        self.relay_events(answer, response, sent)
    }

    fn relay_events(
        &self,
        answer: Answer,
        mut response: ureq::http::Response<ureq::Body>,
        sent: Instant,
    ) -> Option<Answer> {
        let (mut stream, mut events) = match answer {
            Answer::Streaming { stream, events } => (stream, events),
            Answer::Pending(pending) => (begin_stream(pending, &response), 0),
        };
        let mut first_byte = None;
        let mut next_progress = FIRST_PROGRESS;
        let mut reader = response.body_mut().as_reader();
        let mut buf = [0; 16 << 10];
        let mut partial = Vec::new();
        loop {
            let count = match reader.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => count,
                Err(_) => {
                    let end = if self.remaining().is_zero() {
                        AttemptEnd::TimedOut
                    } else {
                        AttemptEnd::Broken
                    };
                    self.end(end, cost_of(events), first_byte, None);
                    return Some(Answer::Streaming { stream, events });
                }
            };
            first_byte.get_or_insert_with(|| self.note_first_byte(sent));
            partial.extend_from_slice(&buf[..count]);
            let whole = whole_events(&partial);
            if whole.len == 0 {
                continue;
            }
            if stream.write(&partial[..whole.len]).is_err() {
                // The caller hung up; dropping the answer cancels it at the upstream.
                self.end(AttemptEnd::HungUp, cost_of(events), first_byte, None);
                return None;
            }
            events += whole.count;
            partial.drain(..whole.len);
            if cost_of(events) >= next_progress {
                next_progress = cost_of(events).saturating_mul(2);
                let input = Input::Progressed(self.id, cost_of(events));
                let _ = self.shared.events.send(Event::Input(input));
            }
        }
        if !partial.is_empty() {
            let _ = stream.write(&partial);
        }
        self.end(AttemptEnd::Completed, cost_of(events), first_byte, None);
        self.note_done();
        let _ = stream.end();
        None
    }

    fn note_first_byte(&self, sent: Instant) -> Duration {
        histogram!("kingcup_first_byte_ms").record(self.arrived.elapsed().as_millis() as f64);
        sent.elapsed()
    }

    fn note_done(&self) {
        counter!("kingcup_requests", "code" => Code::Done.number().to_string()).increment(1);
        histogram!("kingcup_request_ms").record(self.arrived.elapsed().as_millis() as f64);
    }
}

/// Returns a request's cost: its events, at least one.
fn cost_of(events: u64) -> u32 {
    u32::try_from(events).unwrap_or(u32::MAX).max(1)
}

struct WholeEvents {
    len: usize,
    count: u64,
}

/// Finds the whole events at the beginning of `bytes`; each ends with an empty line.
fn whole_events(bytes: &[u8]) -> WholeEvents {
    let ends = bytes.windows(2).enumerate().filter(|(_, pair)| *pair == b"\n\n");
    ends.fold(WholeEvents { len: 0, count: 0 }, |whole, (at, _)| WholeEvents {
        len: at + 2,
        count: whole.count + 1,
    })
}

pub(super) fn content_type(response: &ureq::http::Response<ureq::Body>) -> String {
    let value = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

fn resumed_from(response: &ureq::http::Response<ureq::Body>) -> Option<u64> {
    response.headers().get(upstream::RESUMED_HEADER)?.to_str().ok()?.parse().ok()
}
