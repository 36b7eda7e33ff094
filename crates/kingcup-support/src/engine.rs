//! A stand-in for a model engine.
//!
//! It batches requests in slots, streams one event for each token, knows a request's cost only at
//! its end, is cold at first and falls over when it gets more than its cold limit, and reports its
//! load with a lag. It can be told to go silent mid-answer or to turn cold without notice.

use std::{
    collections::VecDeque,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::transport::{
    platform::ListedLoad,
    upstream::{OUTCOME_HEADER, RESUME_HEADER, RESUMED_HEADER},
};
use serde::{Deserialize, Serialize};
use tiny_http::{Header, Response, Server};

/// How long an engine that fell over stays down.
const FALLEN: Duration = Duration::from_millis(2_500);
/// A warm engine that turns cold bears its load for this long, slowly, before more falls it.
const TURNING: Duration = Duration::from_millis(1_500);
/// While it turns cold, the first token takes so many times longer.
const TURNING_SLOWDOWN: u32 = 8;
/// How often the load is noted for the report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What a request asks of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prompt {
    /// Named in every event of the answer, so that a crossed answer shows.
    pub id: String,
    /// On whose behalf, for the engine's record.
    pub organisation: String,
    /// How many tokens the answer has.
    pub tokens: u64,
}

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests it bears while cold.
    pub cold_slots: u32,
    /// Requests it bears once warm.
    pub warm_slots: u32,
    /// Requests it must complete to become warm.
    pub warm_after: u32,
    /// The time to the first token.
    pub prefill_time: Duration,
    /// The time between tokens.
    pub token_time: Duration,
    /// How old its load reports are.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            cold_slots: 2,
            warm_slots: 8,
            warm_after: 4,
            prefill_time: Duration::from_millis(20),
            token_time: Duration::from_millis(10),
            report_lag: Duration::from_millis(300),
        }
    }
}

/// Service an engine really gave.
#[derive(Clone, Debug)]
pub struct ServedPart {
    /// To whom.
    pub organisation: String,
    /// When.
    pub at: Instant,
    /// How many tokens.
    pub tokens: u64,
}

/// What an engine really did.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Service, token by token.
    pub served: Vec<ServedPart>,
    /// Times it fell over.
    pub falls: u32,
    /// Requests beyond its warm limit.
    pub oversold: u32,
    /// Requests begun: which and when.
    pub begun: Vec<(String, Instant)>,
    /// Requests whose caller went away before the end.
    pub cancelled: u32,
    /// Changes of the number of running requests.
    pub running: Vec<(Instant, u32)>,
    /// The most requests it ran at once while cold.
    pub most_while_cold: u32,
}

#[derive(Debug)]
struct Sample {
    at: Instant,
    running: u32,
    warm: bool,
}

struct State {
    config: EngineConfig,
    running: AtomicU32,
    completed: AtomicU32,
    incarnation: AtomicU64,
    stopped: AtomicBool,
    /// Events after which answers go silent; none if zero.
    silent_after: AtomicU64,
    fallen_until: Mutex<Option<Instant>>,
    /// Until when it bears what it was given while warm.
    turning_until: Mutex<Option<Instant>>,
    samples: Mutex<VecDeque<Sample>>,
    record: Mutex<EngineRecord>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    server: Arc<Server>,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(config: EngineConfig) -> Engine {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let state = Arc::new(State {
            config,
            running: AtomicU32::new(0),
            completed: AtomicU32::new(0),
            incarnation: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
            silent_after: AtomicU64::new(0),
            fallen_until: Mutex::default(),
            turning_until: Mutex::default(),
            samples: Mutex::default(),
            record: Mutex::default(),
        });
        let engine = Engine { address, server, state };
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept_all());
        let sampling = engine.clone();
        thread::spawn(move || sampling.sample_all());
        engine
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it really did so far.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn record(&self) -> EngineRecord {
        self.state.record.lock().expect("engine record").clone()
    }

    /// Returns how many requests it runs now.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Returns its process number.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation.load(Ordering::SeqCst)
    }

    /// Makes it warm at once.
    pub fn warm_up(&self) {
        self.state.completed.store(self.state.config.warm_after, Ordering::SeqCst);
    }

    /// Turns it cold without notice, as one whose cache was lost: reports stay as they are for
    /// their lag and the process number for good. For a moment it still bears its load, slowly;
    /// then it falls over if it is given more than its cold limit.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn turn_cold(&self) {
        *self.state.turning_until.lock().expect("engine state") = Some(Instant::now() + TURNING);
        self.state.completed.store(0, Ordering::SeqCst);
    }

    /// Lets answers go silent after this many events, for good; none if zero.
    pub fn go_silent_after(&self, events: u64) {
        self.state.silent_after.store(events, Ordering::SeqCst);
    }

    /// Stops it: it accepts nothing more and breaks off what it runs.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        self.server.unblock();
    }

    /// Tells whether it can bear its full load.
    pub fn is_warm(&self) -> bool {
        self.state.completed.load(Ordering::SeqCst) >= self.state.config.warm_after
    }

    /// Returns its latest load report, as old as configured.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn report(&self) -> Option<ListedLoad> {
        let samples = self.state.samples.lock().expect("engine samples");
        let lag = self.state.config.report_lag;
        let sample = samples.iter().rev().find(|sample| sample.at.elapsed() >= lag)?;
        let age_ms = u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Some(ListedLoad { running: sample.running, warm: sample.warm, age_ms })
    }

    fn sample_all(&self) {
        while !self.state.stopped.load(Ordering::SeqCst) {
            let sample =
                Sample { at: Instant::now(), running: self.running(), warm: self.is_warm() };
            let mut samples = self.state.samples.lock().expect("engine samples");
            samples.push_back(sample);
            if samples.len() > 200 {
                samples.pop_front();
            }
            drop(samples);
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    fn accept_all(&self) {
        while let Ok(request) = self.server.recv() {
            if self.state.stopped.load(Ordering::SeqCst) {
                return;
            }
            let engine = self.clone();
            thread::spawn(move || engine.serve(request));
        }
    }

    fn serve(&self, mut request: tiny_http::Request) {
        let mut text = String::new();
        let read = request.as_reader().read_to_string(&mut text);
        let Ok(prompt) = read
            .map_err(|_| ())
            .and_then(|_| serde_json::from_str::<Prompt>(&text).map_err(|_| ()))
        else {
            let _ = request.respond(Response::from_string("no prompt").with_status_code(400));
            return;
        };
        if !self.begin(&prompt) {
            let not_run = Header::from_bytes(OUTCOME_HEADER, "not-run").expect("plain text");
            let refusal = Response::from_string("over limit").with_status_code(503);
            let _ = request.respond(refusal.with_header(not_run));
            return;
        }
        let whole = self.stream(request, &prompt);
        self.end(whole);
    }

    /// Takes a slot, refuses, or falls over.
    fn begin(&self, prompt: &Prompt) -> bool {
        let state = &self.state;
        let mut record = state.record.lock().expect("engine record");
        let mut fallen = state.fallen_until.lock().expect("engine state");
        if fallen.is_some_and(|until| Instant::now() < until) {
            return false;
        }
        let running = state.running.load(Ordering::SeqCst);
        if !self.is_warm() && !self.is_turning() && running >= state.config.cold_slots {
            record.falls += 1;
            *fallen = Some(Instant::now() + FALLEN);
            return false;
        }
        if running >= state.config.warm_slots {
            record.oversold += 1;
            return false;
        }
        state.running.store(running + 1, Ordering::SeqCst);
        record.begun.push((prompt.id.clone(), Instant::now()));
        record.running.push((Instant::now(), running + 1));
        if !self.is_warm() && !self.is_turning() {
            record.most_while_cold = record.most_while_cold.max(running + 1);
        }
        true
    }

    fn end(&self, whole: bool) {
        let mut record = self.state.record.lock().expect("engine record");
        let running = self.state.running.fetch_sub(1, Ordering::SeqCst) - 1;
        record.running.push((Instant::now(), running));
        if whole {
            self.state.completed.fetch_add(1, Ordering::SeqCst);
        } else {
            record.cancelled += 1;
        }
    }

    fn is_turning(&self) -> bool {
        let turning = self.state.turning_until.lock().expect("engine state");
        turning.is_some_and(|until| Instant::now() < until)
    }

    fn is_down(&self) -> bool {
        let fallen = self.state.fallen_until.lock().expect("engine state");
        let has_fallen = fallen.is_some_and(|until| Instant::now() < until);
        has_fallen || self.state.stopped.load(Ordering::SeqCst)
    }

    /// Streams an answer; returns whether it went out whole.
    fn stream(&self, request: tiny_http::Request, prompt: &Prompt) -> bool {
        let resume = request.headers().iter().find(|header| header.field.equiv(RESUME_HEADER));
        let offset = resume.and_then(|header| header.value.as_str().parse().ok()).unwrap_or(0);
        let mut writer = request.into_writer();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             {RESUMED_HEADER}: {offset}\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).and_then(|()| writer.flush()).is_err() {
            return false;
        }
        let slowdown = if self.is_turning() { TURNING_SLOWDOWN } else { 1 };
        thread::sleep(self.state.config.prefill_time * slowdown);
        for n in offset..prompt.tokens {
            thread::sleep(self.state.config.token_time);
            if self.is_down() {
                return false;
            }
            let silent_after = self.state.silent_after.load(Ordering::SeqCst);
            if silent_after > 0 && n >= silent_after {
                return self.stay_silent(writer);
            }
            let event = format!("data: {} {n}\n\n", prompt.id);
            if write_chunk(&mut writer, event.as_bytes()).is_err() {
                return false;
            }
            let part = ServedPart {
                organisation: prompt.organisation.clone(),
                at: Instant::now(),
                tokens: 1,
            };
            self.state.record.lock().expect("engine record").served.push(part);
        }
        writer.write_all(b"0\r\n\r\n").and_then(|()| writer.flush()).is_ok()
    }

    /// Holds the connection open and says nothing until its other end is gone or the mode ends.
    fn stay_silent(&self, mut writer: Box<dyn Write + Send>) -> bool {
        while self.state.silent_after.load(Ordering::SeqCst) > 0 && !self.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
        // Ends without the last chunk, so that the answer counts as broken.
        let _ = writer.flush();
        false
    }
}

fn write_chunk(writer: &mut impl Write, bytes: &[u8]) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n", bytes.len())?;
    writer.write_all(bytes)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}
