//! A fake model engine.
//!
//! It runs requests in a limited number of slots, streams one event per token and reports its load
//! with a lag. The cost of a request is known only when it ends. An engine starts cold, and while it
//! is cold it crashes if it gets more requests than its cold limit. Tests can make it stall in the
//! middle of a response or lose its warm cache without notice.

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

/// How long an engine stays down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(2_500);
/// How long an engine that lost its cache still runs its warm limit, slowly. After that, a request
/// beyond its cold limit crashes it.
const COOLING_PERIOD: Duration = Duration::from_millis(1_500);
/// The factor by which prefill is slower during [`COOLING_PERIOD`].
const COOLING_SLOWDOWN: u32 = 8;
/// The model that is loaded when an engine starts.
pub const FIRST_MODEL: &str = "first";
/// The largest accepted request body, in bytes.
const MAX_PROMPT_LEN: usize = 4 << 20;
/// How often the load is sampled for load reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// How often a paused response checks whether it may continue.
const PAUSE_CHECK: Duration = Duration::from_millis(5);

/// The body of a request to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prompt {
    /// Repeated in every event of the response, so that mixed-up responses can be detected.
    pub id: String,
    /// The organisation, to which the engine's record attributes the tokens.
    pub organisation: String,
    /// The number of tokens of the response.
    pub tokens: u64,
}

/// The behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Requests it can run at once while cold; one more crashes it.
    pub cold_slots: u32,
    /// Requests it can run at once while warm; more are refused.
    pub warm_slots: u32,
    /// Requests to complete before it is warm.
    pub requests_until_warm: u32,
    /// The time to the first token.
    pub prefill_time: Duration,
    /// The time between tokens.
    pub token_time: Duration,
    /// The minimum age of its load reports.
    pub report_lag: Duration,
    /// The time to load a model or to change the role.
    pub load_time: Duration,
    /// Whether it refuses orders whose fencing number is below the highest it has applied.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            cold_slots: 2,
            warm_slots: 8,
            requests_until_warm: 4,
            prefill_time: Duration::from_millis(20),
            token_time: Duration::from_millis(10),
            report_lag: Duration::from_millis(300),
            load_time: Duration::from_millis(300),
            checks_fencing: false,
        }
    }
}

/// Tokens that an engine sent.
#[derive(Clone, Debug)]
pub struct ServedTokens {
    /// The organisation that they were generated for.
    pub organisation: String,
    /// When they were sent.
    pub at: Instant,
    /// The number of tokens.
    pub tokens: u64,
}

/// What an engine did, recorded independently of the fleet.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Tokens sent, one entry each.
    pub served: Vec<ServedTokens>,
    /// Crashes from running more than `cold_slots` requests.
    pub crashes: u32,
    /// Requests refused because `warm_slots` were already running.
    pub refused_over_limit: u32,
    /// Requests started: prompt ID and time.
    pub started: Vec<(String, Instant)>,
    /// Requests that ended before the whole response was sent.
    pub cancelled: u32,
    /// The number of running requests after each change.
    pub running: Vec<(Instant, u32)>,
    /// The highest number of requests run at once while cold.
    pub max_running_while_cold: u32,
    /// Orders applied: fencing number and time.
    pub applied_orders: Vec<(u64, Instant)>,
    /// Fencing numbers of the orders refused because a higher number had been applied.
    pub outdated_orders: Vec<u64>,
    /// Orders applied while requests were running.
    pub orders_while_busy: u32,
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
    /// The number of events after which responses stall; zero disables it.
    stall_after: AtomicU64,
    /// Whether running responses wait before their next event.
    paused: AtomicBool,
    down_until: Mutex<Option<Instant>>,
    /// The end of [`COOLING_PERIOD`].
    cooling_until: Mutex<Option<Instant>>,
    setup: Mutex<EngineSetup>,
    /// When the model or role being loaded is ready.
    loading_until: Mutex<Option<Instant>>,
    samples: Mutex<VecDeque<Sample>>,
    record: Mutex<EngineRecord>,
}

/// A running fake engine.
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
    /// Panics if no loopback port can be bound.
    pub fn start(config: EngineConfig) -> Engine {
        let state = Arc::new(State {
            config,
            running: AtomicU32::new(0),
            completed: AtomicU32::new(0),
            incarnation: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
            stall_after: AtomicU64::new(0),
            paused: AtomicBool::new(false),
            down_until: Mutex::default(),
            cooling_until: Mutex::default(),
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
        let sampler = engine.clone();
        thread::spawn(move || sampler.sample_load());
        engine
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it has done so far.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn record(&self) -> EngineRecord {
        self.state.record.lock().expect("engine record").clone()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Returns the incarnation, which identifies the engine's process to the platform.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation.load(Ordering::SeqCst)
    }

    /// Makes it warm immediately.
    pub fn warm_up(&self) {
        self.state.completed.store(self.state.config.requests_until_warm, Ordering::SeqCst);
    }

    /// Makes it cold without notice, as if its cache were lost.
    ///
    /// Load reports show the change only after `report_lag`, and the incarnation stays the same.
    /// The engine still runs its warm limit, slowly, for 1.5 s; after that it crashes if it is
    /// given more than its cold limit.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn turn_cold(&self) {
        *self.state.cooling_until.lock().expect("engine state") =
            Some(Instant::now() + COOLING_PERIOD);
        self.state.completed.store(0, Ordering::SeqCst);
    }

    /// Makes responses stall after this many events until reset; zero disables it.
    pub fn stall_after(&self, events: u64) {
        self.state.stall_after.store(events, Ordering::SeqCst);
    }

    /// Makes running responses wait before their next event until [`Engine::resume`].
    pub fn pause(&self) {
        self.state.paused.store(true, Ordering::SeqCst);
    }

    /// Lets paused responses continue.
    pub fn resume(&self) {
        self.state.paused.store(false, Ordering::SeqCst);
    }

    /// Stops it: accepts no more connections and aborts the running requests.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        self.server.stop();
    }

    /// Returns its model, role and whether it is drained and ready.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn setup(&self) -> EngineSetup {
        self.state.setup()
    }

    /// Returns whether it is warm, that is, can run `warm_slots` requests.
    pub fn is_warm(&self) -> bool {
        self.state.is_warm()
    }

    /// Returns the latest load sample that is at least `report_lag` old.
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

    fn sample_load(&self) {
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
        self.completed.load(Ordering::SeqCst) >= self.config.requests_until_warm
    }

    fn serve(&self, mut request: Request) {
        match request.url() {
            SETUP_PATH => {
                let setup =
                    serde_json::to_string(&self.setup()).expect("a setup can be serialized");
                request.respond(ServerResponse::new(200, "application/json", setup));
                return;
            }
            ORDER_PATH => {
                self.handle_order(request);
                return;
            }
            _ => {}
        }
        let text = request.read_text(MAX_PROMPT_LEN).unwrap_or_default();
        let Ok(prompt) = serde_json::from_str::<Prompt>(&text) else {
            request.respond(ServerResponse::text(400, "invalid prompt"));
            return;
        };
        if !self.try_start(&prompt) {
            let refusal = ServerResponse::text(503, "over limit");
            request.respond(refusal.with(OUTCOME_HEADER, "not-run"));
            return;
        }
        let complete = self.stream(request, &prompt);
        self.end(complete);
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

    fn handle_order(&self, mut request: Request) {
        let text = request.read_text(MAX_PROMPT_LEN).unwrap_or_default();
        let Ok(order) = serde_json::from_str::<OrderRequest>(&text) else {
            request.respond(ServerResponse::text(400, "invalid order"));
            return;
        };
        if self.apply_order(&order) {
            request.respond(ServerResponse::text(202, "accepted"));
        } else {
            request.respond(ServerResponse::text(409, "outdated"));
        }
    }

    /// Applies an order; returns false if its fencing number is checked and outdated.
    fn apply_order(&self, order: &OrderRequest) -> bool {
        let mut record = self.record.lock().expect("engine record");
        let highest = record.applied_orders.iter().map(|(number, _)| *number).max().unwrap_or(0);
        if self.config.checks_fencing && order.number < highest {
            record.outdated_orders.push(order.number);
            return false;
        }
        record.applied_orders.push((order.number, Instant::now()));
        if self.running.load(Ordering::SeqCst) > 0 {
            record.orders_while_busy += 1;
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

    /// Takes a slot and returns true, or refuses the request; crashes if over the cold limit.
    fn try_start(&self, prompt: &Prompt) -> bool {
        let state = self;
        let mut record = state.record.lock().expect("engine record");
        let mut down_until = state.down_until.lock().expect("engine state");
        if down_until.is_some_and(|until| Instant::now() < until) {
            return false;
        }
        if self.is_loading() || self.setup.lock().expect("engine setup").drained {
            return false;
        }
        let running = state.running.load(Ordering::SeqCst);
        if !self.is_warm() && !self.is_cooling() && running >= state.config.cold_slots {
            record.crashes += 1;
            *down_until = Some(Instant::now() + CRASH_DOWNTIME);
            return false;
        }
        if running >= state.config.warm_slots {
            record.refused_over_limit += 1;
            return false;
        }
        state.running.store(running + 1, Ordering::SeqCst);
        record.started.push((prompt.id.clone(), Instant::now()));
        record.running.push((Instant::now(), running + 1));
        if !self.is_warm() && !self.is_cooling() {
            record.max_running_while_cold = record.max_running_while_cold.max(running + 1);
        }
        true
    }

    fn end(&self, complete: bool) {
        let mut record = self.record.lock().expect("engine record");
        let running = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
        record.running.push((Instant::now(), running));
        if complete {
            self.completed.fetch_add(1, Ordering::SeqCst);
        } else {
            record.cancelled += 1;
        }
    }

    fn is_cooling(&self) -> bool {
        let cooling_until = self.cooling_until.lock().expect("engine state");
        cooling_until.is_some_and(|until| Instant::now() < until)
    }

    fn is_down(&self) -> bool {
        let down_until = self.down_until.lock().expect("engine state");
        let has_crashed = down_until.is_some_and(|until| Instant::now() < until);
        has_crashed || self.stopped.load(Ordering::SeqCst)
    }

    /// Streams a response; returns whether all of it was sent.
    fn stream(&self, request: Request, prompt: &Prompt) -> bool {
        let offset = request.header(RESUME_HEADER).and_then(|value| value.parse().ok());
        let offset = offset.unwrap_or(0);
        let head = ServerResponse::new(200, "text/event-stream", "");
        let mut stream = request.stream(head.with(RESUMED_HEADER, offset.to_string()));
        let slowdown = if self.is_cooling() { COOLING_SLOWDOWN } else { 1 };
        thread::sleep(self.config.prefill_time * slowdown);
        for n in offset..prompt.tokens {
            thread::sleep(self.config.token_time);
            while self.paused.load(Ordering::SeqCst) && !self.is_down() {
                thread::sleep(PAUSE_CHECK);
            }
            if self.is_down() {
                return false;
            }
            let stall_after = self.stall_after.load(Ordering::SeqCst);
            if stall_after > 0 && n >= stall_after {
                return self.stall(stream);
            }
            let event = format!("data: {} {n}\n\n", prompt.id);
            if stream.write(event.as_bytes()).is_err() {
                return false;
            }
            let served = ServedTokens {
                organisation: prompt.organisation.clone(),
                at: Instant::now(),
                tokens: 1,
            };
            self.record.lock().expect("engine record").served.push(served);
        }
        stream.end().is_ok()
    }

    /// Holds the connection open without writing, until stalling is disabled or the engine is down.
    fn stall(&self, stream: ResponseStream) -> bool {
        while self.stall_after.load(Ordering::SeqCst) > 0 && !self.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
        // A stream that is dropped without `end` is a truncated response.
        drop(stream);
        false
    }
}
