//! Callers' requests over HTTP.
//!
//! One thread serves one request: it waits for the node's verdict, makes the attempts it is told
//! to make, and relays the answer event by event. An event is passed on only when it is whole, so
//! that the count of events passed on is exactly where a broken answer is resumed.

use std::{
    io::{self, Read, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use metrics::{counter, histogram};
use serde_json::json;
use sha2::{Digest, Sha256};
use tiny_http::{Header, Response, Server};

use super::{
    Event, NextRequest, SharedView, Verdict, next_request,
    upstream::{self, UpstreamRequest},
};
use crate::{
    coordination::{
        entry::{Arrival, AttemptEnd, RequestId},
        node::{Input, KeyedRequest},
    },
    core::{Code, Document, Kind, Millis, Organisation, Service, Settings, code::CodedError},
    protocol::record::{KeptAnswer, RequestKey},
};

/// The largest head of a request, in bytes.
const MAX_HEAD_LEN: usize = 32 << 10;
/// The longest request key, in bytes.
const MAX_KEY_LEN: usize = 256;
/// The largest answer relayed whole, in bytes.
const MAX_WHOLE_ANSWER: u64 = 64 << 20;
/// Added to a request's deadline before its thread stops waiting for the node.
const VERDICT_SLACK: Duration = Duration::from_secs(10);
/// A streaming answer's cost is first reported when it reaches this, then whenever it has doubled:
/// a dispatcher is never wrong by more than that, and a long answer costs few messages.
const FIRST_PROGRESS: u32 = 64;
/// Threads that accept connections.
const ACCEPTORS: usize = 2;
/// When a caller turned away by a full instance should come back.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// What the threads share.
struct Shared {
    view: SharedView,
    events: mpsc::Sender<Event>,
    next: NextRequest,
    open: AtomicUsize,
    max_requests: usize,
}

/// Starts to serve callers.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start(
    settings: &Settings,
    view: SharedView,
    events: mpsc::Sender<Event>,
) -> anyhow::Result<()> {
    let Some(address) = settings.caller_address else { return Ok(()) };
    let server = Server::http(address).map_err(|err| anyhow::anyhow!("{address}: {err}"))?;
    let server = Arc::new(server);
    let shared = Arc::new(Shared {
        view,
        events,
        next: NextRequest::new(1),
        open: AtomicUsize::new(0),
        max_requests: settings.max_requests,
    });
    for n in 0..ACCEPTORS {
        let (server, shared) = (server.clone(), shared.clone());
        let accept = move || accept_all(&server, &shared);
        thread::Builder::new().name(format!("callers-{n}")).spawn(accept)?;
    }
    Ok(())
}

fn accept_all(server: &Server, shared: &Arc<Shared>) {
    while let Ok(request) = server.recv() {
        if shared.open.fetch_add(1, Ordering::Relaxed) >= shared.max_requests {
            shared.open.fetch_sub(1, Ordering::Relaxed);
            refuse(request, &CodedError::new(Code::TooBusy, ""), BUSY_RETRY_AFTER);
            continue;
        }
        let shared = shared.clone();
        // Without a thread the request is dropped, which its caller sees as a closed connection.
        let _ = thread::Builder::new().stack_size(512 << 10).spawn(move || {
            serve(request, &shared);
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// An admitted request, as read from its caller.
struct Admitted {
    document: Arc<Document>,
    service: Service,
    organisation: Organisation,
    idempotent: bool,
    keyed: Option<KeyedRequest>,
    upstream: UpstreamRequest,
}

fn serve(mut request: tiny_http::Request, shared: &Shared) {
    let admitted = match admit(&mut request, shared) {
        Ok(admitted) => admitted,
        Err(err) => {
            refuse(request, &err, Millis::ZERO);
            return;
        }
    };
    let id = next_request(&shared.next);
    let (tx, rx) = mpsc::channel();
    let arrival = Arrival {
        id,
        service: admitted.service.clone(),
        organisation: admitted.organisation.clone(),
        bytes: admitted.upstream.body.len(),
        idempotent: admitted.idempotent,
        needs_claim: admitted.keyed.is_some(),
    };
    if shared.events.send(Event::Arrived(arrival, admitted.keyed.clone(), tx)).is_err() {
        refuse(request, &CodedError::new(Code::Draining, ""), Millis::ZERO);
        return;
    }
    let deadline = Instant::now() + Duration::from_millis(admitted.document.limits.deadline_ms);
    let relay = Relay { id, admitted: &admitted, shared, deadline, arrived: Instant::now() };
    relay.run(request, &rx);
}

fn admit(request: &mut tiny_http::Request, shared: &Shared) -> Result<Admitted, CodedError> {
    check_head(request)?;
    let (service, path) = split_path(request.url())?;
    let view = shared.view.read().expect("no thread panics holding the view").clone();
    if view.documents().is_empty() {
        return Err(CodedError::new(Code::NotReady, ""));
    }
    let in_force = view
        .documents()
        .get(service.as_str())
        .ok_or_else(|| CodedError::new(Code::UnknownService, service.as_str()))?;
    let document = &in_force.document;
    let token = header(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned))
        .ok_or_else(|| {
            CodedError::new(Code::UnknownToken, "expected Authorization: Bearer TOKEN")
        })?;
    let organisation = document
        .organisation_of(&token)
        .ok_or_else(|| CodedError::new(Code::UnknownToken, ""))?
        .clone();
    let method = request.method().to_string();
    let bare_path = path.split('?').next().unwrap_or(&path).to_owned();
    let idempotent = !document.must_not_repeat(&method, &bare_path);
    let body = read_body(request, document.limits.body_bytes)?;
    let keyed = if idempotent {
        None
    } else {
        Some(read_key(request, &service, &organisation, &method, &path, &body)?)
    };
    let upstream = UpstreamRequest {
        method,
        path,
        headers: passed_on(request),
        body,
        silence: Duration::from_millis(document.limits.silence_ms),
    };
    let document = document.clone();
    Ok(Admitted { document, service, organisation, idempotent, keyed, upstream })
}

fn check_head(request: &tiny_http::Request) -> Result<(), CodedError> {
    let headers = request.headers().iter();
    let len: usize =
        headers.map(|h| h.field.as_str().as_str().len() + h.value.as_str().len()).sum();
    if len + request.url().len() > MAX_HEAD_LEN {
        return Err(CodedError::new(Code::HeadTooLarge, format!("at most {MAX_HEAD_LEN} bytes")));
    }
    Ok(())
}

fn split_path(url: &str) -> Result<(Service, String), CodedError> {
    let path = url.strip_prefix('/').unwrap_or(url);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    if service.is_empty() {
        return Err(CodedError::new(
            Code::BadRequest,
            "expected a path that begins with a service",
        ));
    }
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Ok((Service::from(service), rest))
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

fn passed_on(request: &tiny_http::Request) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    let kept = headers.filter(|header| upstream::is_passed_on(header.field.as_str().as_str()));
    kept.map(|h| (h.field.as_str().to_string(), h.value.as_str().to_owned())).collect()
}

fn read_body(request: &mut tiny_http::Request, limit: usize) -> Result<Vec<u8>, CodedError> {
    let too_large = || CodedError::new(Code::BodyTooLarge, format!("at most {limit} bytes"));
    if request.body_length().is_some_and(|len| len > limit) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let read = request.as_reader().take(limit as u64 + 1).read_to_end(&mut body);
    read.map_err(|err| CodedError::new(Code::BadRequest, err.to_string()))?;
    if body.len() > limit { Err(too_large()) } else { Ok(body) }
}

fn read_key(
    request: &tiny_http::Request,
    service: &Service,
    organisation: &Organisation,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<KeyedRequest, CodedError> {
    let key = header(request, "idempotency-key").filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| CodedError::new(Code::KeyMissing, ""))?;
    if key.len() > MAX_KEY_LEN {
        let detail = format!("an Idempotency-Key has at most {MAX_KEY_LEN} bytes");
        return Err(CodedError::new(Code::BadRequest, detail));
    }
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_at(16);
    let digest = u128::from_be_bytes(first.try_into().expect("sixteen bytes"));
    let key = RequestKey { service: service.clone(), organisation: organisation.clone(), key };
    Ok(KeyedRequest { key, digest })
}

/// Serves one admitted request.
struct Relay<'a> {
    id: RequestId,
    admitted: &'a Admitted,
    shared: &'a Shared,
    deadline: Instant,
    arrived: Instant,
}

/// The answer's way to the caller: not begun, or a stream under way.
enum Answer {
    Pending(tiny_http::Request),
    Streaming { writer: Box<dyn Write + Send>, events: u64 },
}

impl Relay<'_> {
    fn run(&self, request: tiny_http::Request, verdicts: &mpsc::Receiver<Verdict>) {
        let mut answer = Answer::Pending(request);
        loop {
            let patience = self.remaining() + VERDICT_SLACK;
            let verdict = verdicts.recv_timeout(patience).unwrap_or(Verdict::GiveUp {
                code: Code::DeadlineQueued,
                retry_after: BUSY_RETRY_AFTER,
            });
            let address = match verdict {
                Verdict::Start(_, address) => address,
                Verdict::Replay(kept) => {
                    replay(answer, &kept);
                    return;
                }
                Verdict::GiveUp { code, retry_after } => {
                    give_up(answer, code, retry_after);
                    return;
                }
            };
            let is_stream = self.admitted.document.kind == Kind::ModelEngine;
            let next =
                if is_stream { self.stream(answer, address) } else { self.whole(answer, address) };
            match next {
                Some(pending) => answer = pending,
                None => return,
            }
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn end(
        &self,
        end: AttemptEnd,
        cost: u32,
        first_byte: Option<Duration>,
        kept: Option<KeptAnswer>,
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
        let kept = self.admitted.keyed.as_ref().map(|_| KeptAnswer {
            status,
            content_type: content_type.clone(),
            body: String::from_utf8(body.clone()).ok(),
        });
        self.end(AttemptEnd::Completed, 1, Some(first_byte), kept);
        self.note_done();
        if let Answer::Pending(request) = answer {
            respond_whole(request, Code::Done, status, &content_type, body);
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
        let (mut writer, mut events) = match answer {
            Answer::Streaming { writer, events } => (writer, events),
            Answer::Pending(request) => match begin_stream(request, &response) {
                Ok(writer) => (writer, 0),
                Err(_) => {
                    self.end(AttemptEnd::HungUp, 0, None, None);
                    return None;
                }
            },
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
                    return Some(Answer::Streaming { writer, events });
                }
            };
            first_byte.get_or_insert_with(|| self.note_first_byte(sent));
            partial.extend_from_slice(&buf[..count]);
            let whole = whole_events(&partial);
            if whole.len == 0 {
                continue;
            }
            if write_chunk(&mut writer, &partial[..whole.len]).is_err() {
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
            let _ = write_chunk(&mut writer, &partial);
        }
        self.end(AttemptEnd::Completed, cost_of(events), first_byte, None);
        self.note_done();
        let _ = end_stream(&mut writer);
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

fn content_type(response: &ureq::http::Response<ureq::Body>) -> String {
    let value = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

fn resumed_from(response: &ureq::http::Response<ureq::Body>) -> Option<u64> {
    response.headers().get(upstream::RESUMED_HEADER)?.to_str().ok()?.parse().ok()
}

/// Writes the head of a streaming answer.
///
/// The server library holds back the pieces of an answer of unknown length until its end, so head
/// and chunks are written and flushed here.
fn begin_stream(
    request: tiny_http::Request,
    response: &ureq::http::Response<ureq::Body>,
) -> io::Result<Box<dyn Write + Send>> {
    let mut writer = request.into_writer();
    let status = response.status();
    write!(
        writer,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nTransfer-Encoding: chunked\r\nCache-Control: no-store\r\nKingcup-Code: {}\r\n\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or(""),
        content_type(response),
        Code::Done.number(),
    )?;
    writer.flush()?;
    Ok(writer)
}

fn write_chunk(writer: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    write!(writer, "{:x}\r\n", bytes.len())?;
    writer.write_all(bytes)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}

fn end_stream(writer: &mut impl Write) -> io::Result<()> {
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

fn replay(answer: Answer, kept: &KeptAnswer) {
    let Answer::Pending(request) = answer else { return };
    let body = kept.body.clone().unwrap_or_default().into_bytes();
    counter!("kingcup_requests", "code" => Code::Replayed.number().to_string()).increment(1);
    respond_whole(request, Code::Replayed, kept.status, &kept.content_type, body);
}

fn give_up(answer: Answer, code: Code, retry_after: Millis) {
    match answer {
        Answer::Pending(request) => refuse(request, &CodedError::new(code, ""), retry_after),
        Answer::Streaming { mut writer, .. } => {
            counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
            let event =
                format!("event: error\ndata: {}\n\n", refusal_body(&CodedError::new(code, "")));
            // A caller that is gone needs no word of it.
            let _ = write_chunk(&mut writer, event.as_bytes());
            let _ = end_stream(&mut writer);
        }
    }
}

fn refusal_body(err: &CodedError) -> serde_json::Value {
    json!({
        "code": err.code.number(),
        "outcome": err.code.outcome().as_str(),
        "message": err.code.text(),
        "detail": err.detail,
    })
}

/// Answers a request that is not passed on, or not any more.
fn refuse(request: tiny_http::Request, err: &CodedError, retry_after: Millis) {
    counter!("kingcup_requests", "code" => err.code.number().to_string()).increment(1);
    let body = refusal_body(err).to_string();
    let mut response = Response::from_string(body)
        .with_status_code(err.code.status())
        .with_header(make_header("Content-Type", "application/json"))
        .with_header(make_header("Kingcup-Code", &err.code.number().to_string()))
        .with_header(make_header("Kingcup-Outcome", err.code.outcome().as_str()));
    if retry_after > Millis::ZERO {
        let seconds = retry_after.0.div_ceil(1_000).to_string();
        response.add_header(make_header("Retry-After", &seconds));
    }
    // A caller that is gone needs no word of it.
    let _ = request.respond(response);
}

fn respond_whole(
    request: tiny_http::Request,
    code: Code,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) {
    let response = Response::from_data(body)
        .with_status_code(status)
        .with_header(make_header("Content-Type", content_type))
        .with_header(make_header("Kingcup-Code", &code.number().to_string()))
        .with_header(make_header("Kingcup-Outcome", code.outcome().as_str()));
    // A caller that is gone asks again under the same key.
    let _ = request.respond(response);
}

fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .unwrap_or_else(|()| Header::from_bytes("Kingcup-Note", "unprintable").expect("plain text"))
}
