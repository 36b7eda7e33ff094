//! A stand-in for a model engine.
//!
//! It batches requests in slots, streams one event for each token, knows a request's cost only at
//! its end, is cold at first and falls over when it gets more than its cold limit, and reports its
//! load with a lag. It can be told to go silent mid-answer or to turn cold without notice.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::{
    protocol::order::{EngineSetup, ORDER_PATH, OrderRequest, SETUP_PATH},
    transport::{
        http::{self, Request, ResponseStream, Server, ServerResponse},
        platform::ListedLoad,
        upstream::{OUTCOME_HEADER, RESUME_HEADER, RESUMED_HEADER},
    },
};
use serde::{Deserialize, Serialize};

use crate::ANY_PORT;

/// How long an engine that fell over stays down.
const FALLEN: Duration = Duration::from_millis(2_500);
/// A warm engine that turns cold bears its load for this long, slowly, before more falls it.
const TURNING: Duration = Duration::from_millis(1_500);
/// While it turns cold, the first token takes so many times longer.
const TURNING_SLOWDOWN: u32 = 8;
/// The model an engine holds at first.
pub const FIRST_MODEL: &str = "first";
/// The largest prompt, in bytes.
const MAX_PROMPT_LEN: usize = 4 << 20;
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
    /// How long it takes to load a model or to change its role.
    pub load_time: Duration,
    /// Whether it refuses an order with a number below the highest it has seen.
    pub checks_numbers: bool,
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
            load_time: Duration::from_millis(300),
            checks_numbers: false,
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
    /// Orders it carried out, by number, and when.
    pub ordered: Vec<(u64, Instant)>,
    /// Orders it refused as older than another.
    pub outdated: Vec<u64>,
    /// Orders it carried out while requests ran.
    pub ordered_while_busy: u32,
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
    setup: Mutex<EngineSetup>,
    /// Until when it loads.
    loading_until: Mutex<Option<Instant>>,
    samples: Mutex<VecDeque<Sample>>,
    record: Mutex<EngineRecord>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(config: EngineConfig) -> Engine {
        let state = Arc::new(State {
            config,
            running: AtomicU32::new(0),
            completed: AtomicU32::new(0),
            incarnation: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
            silent_after: AtomicU64::new(0),
            fallen_until: Mutex::default(),
            turning_until: Mutex::default(),
            setup: Mutex::new(EngineSetup {
                model: FIRST_MODEL.to_owned(),
                role: "mixed".to_owned(),
                drained: false,
                ready: true,
            }),
            loading_until: Mutex::default(),
            samples: Mutex::default(),
            record: Mutex::default(),
        });
        let serving = state.clone();
        let serve = move |request| {
            let state = serving.clone();
            thread::spawn(move || state.serve(request));
        };
        let server = http::start("engine", ANY_PORT.into(), serve).expect("a free port");
        let engine = Engine { server, state };
        let sampling = engine.clone();
        thread::spawn(move || sampling.sample_all());
        engine
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
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
        self.server.stop();
    }

    /// Returns its setup.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn setup(&self) -> EngineSetup {
        self.state.setup()
    }

    /// Tells whether it can bear its full load.
    pub fn is_warm(&self) -> bool {
        self.state.is_warm()
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
}

impl State {
    fn is_warm(&self) -> bool {
        self.completed.load(Ordering::SeqCst) >= self.config.warm_after
    }

    fn serve(&self, mut request: Request) {
        match request.url() {
            SETUP_PATH => {
                let setup = serde_json::to_string(&self.setup()).expect("plain data");
                request.respond(ServerResponse::new(200, "application/json", setup));
                return;
            }
            ORDER_PATH => {
                self.take_order(request);
                return;
            }
            _ => {}
        }
        let text = request.read_text(MAX_PROMPT_LEN).unwrap_or_default();
        let Ok(prompt) = serde_json::from_str::<Prompt>(&text) else {
            request.respond(ServerResponse::text(400, "no prompt"));
            return;
        };
        if !self.begin(&prompt) {
            let refusal = ServerResponse::text(503, "over limit");
            request.respond(refusal.with(OUTCOME_HEADER, "not-run"));
            return;
        }
        let whole = self.stream(request, &prompt);
        self.end(whole);
    }

    fn setup(&self) -> EngineSetup {
        let mut setup = self.setup.lock().expect("engine setup").clone();
        setup.ready = !self.is_loading();
        setup
    }

    fn is_loading(&self) -> bool {
        let until = self.loading_until.lock().expect("engine state");
        until.is_some_and(|until| Instant::now() < until)
    }

    fn take_order(&self, mut request: Request) {
        let text = request.read_text(MAX_PROMPT_LEN).unwrap_or_default();
        let Ok(order) = serde_json::from_str::<OrderRequest>(&text) else {
            request.respond(ServerResponse::text(400, "no order"));
            return;
        };
        if self.carry_out(&order) {
            request.respond(ServerResponse::text(202, "accepted"));
        } else {
            request.respond(ServerResponse::text(409, "outdated"));
        }
    }

    /// Changes the setup; returns false if the order is older than another and that is checked.
    fn carry_out(&self, order: &OrderRequest) -> bool {
        let mut record = self.record.lock().expect("engine record");
        let highest = record.ordered.iter().map(|(number, _)| *number).max().unwrap_or(0);
        if self.config.checks_numbers && order.number < highest {
            record.outdated.push(order.number);
            return false;
        }
        record.ordered.push((order.number, Instant::now()));
        if self.running.load(Ordering::SeqCst) > 0 {
            record.ordered_while_busy += 1;
        }
        drop(record);
        let mut setup = self.setup.lock().expect("engine setup");
        let model = order.model.clone().unwrap_or_else(|| setup.model.clone());
        let role = order.role.clone().unwrap_or_else(|| setup.role.clone());
        if (&model, &role) != (&setup.model, &setup.role) {
            let until = Instant::now() + self.config.load_time;
            *self.loading_until.lock().expect("engine state") = Some(until);
            self.completed.store(0, Ordering::SeqCst);
        }
        (setup.model, setup.role) = (model, role);
        setup.drained = order.drained.unwrap_or(setup.drained);
        true
    }

    /// Takes a slot, refuses, or falls over.
    fn begin(&self, prompt: &Prompt) -> bool {
        let state = self;
        let mut record = state.record.lock().expect("engine record");
        let mut fallen = state.fallen_until.lock().expect("engine state");
        if fallen.is_some_and(|until| Instant::now() < until) {
            return false;
        }
        if self.is_loading() || self.setup.lock().expect("engine setup").drained {
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
        let mut record = self.record.lock().expect("engine record");
        let running = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
        record.running.push((Instant::now(), running));
        if whole {
            self.completed.fetch_add(1, Ordering::SeqCst);
        } else {
            record.cancelled += 1;
        }
    }

    fn is_turning(&self) -> bool {
        let turning = self.turning_until.lock().expect("engine state");
        turning.is_some_and(|until| Instant::now() < until)
    }

    fn is_down(&self) -> bool {
        let fallen = self.fallen_until.lock().expect("engine state");
        let has_fallen = fallen.is_some_and(|until| Instant::now() < until);
        has_fallen || self.stopped.load(Ordering::SeqCst)
    }

    /// Streams an answer; returns whether it went out whole.
    fn stream(&self, request: Request, prompt: &Prompt) -> bool {
        let offset = request.header(RESUME_HEADER).and_then(|value| value.parse().ok());
        let offset = offset.unwrap_or(0);
        let head = ServerResponse::new(200, "text/event-stream", "");
        let mut stream = request.stream(head.with(RESUMED_HEADER, offset.to_string()));
        let slowdown = if self.is_turning() { TURNING_SLOWDOWN } else { 1 };
        thread::sleep(self.config.prefill_time * slowdown);
        for n in offset..prompt.tokens {
            thread::sleep(self.config.token_time);
            if self.is_down() {
                return false;
            }
            let silent_after = self.silent_after.load(Ordering::SeqCst);
            if silent_after > 0 && n >= silent_after {
                return self.stay_silent(stream);
            }
            let event = format!("data: {} {n}\n\n", prompt.id);
            if stream.write(event.as_bytes()).is_err() {
                return false;
            }
            let part = ServedPart {
                organisation: prompt.organisation.clone(),
                at: Instant::now(),
                tokens: 1,
            };
            self.record.lock().expect("engine record").served.push(part);
        }
        stream.end().is_ok()
    }

    /// Holds the connection open and says nothing until its other end is gone or the mode ends.
    fn stay_silent(&self, stream: ResponseStream) -> bool {
        while self.silent_after.load(Ordering::SeqCst) > 0 && !self.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
        // Dropped without its end, the answer counts as broken.
        drop(stream);
        false
    }
}
