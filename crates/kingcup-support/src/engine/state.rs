//! The state of a fake engine, and how it serves requests and orders.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::{
    protocol::order::{EngineSetup, ORDER_PATH, OrderRequest, SETUP_PATH},
    transport::{
        http::{Request, ResponseStream, ServerResponse},
        upstream::{OUTCOME_HEADER, RESUME_HEADER, RESUMED_HEADER},
    },
};

use super::{EngineConfig, EngineRecord, FIRST_MODEL, Prompt, ServedTokens};

/// How long an engine stays down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(2_500);
/// The factor by which prefill is slower during [`COOLING_PERIOD`].
const COOLING_SLOWDOWN: u32 = 8;
/// The largest accepted request body, in bytes.
const MAX_PROMPT_LEN: usize = 4 << 20;
/// How often a paused response checks whether it may continue.
const PAUSE_CHECK: Duration = Duration::from_millis(5);

#[derive(Debug)]
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) running: u32,
    pub(super) warm: bool,
}

pub(super) struct State {
    pub(super) config: EngineConfig,
    pub(super) running: AtomicU32,
    pub(super) completed: AtomicU32,
    pub(super) incarnation: AtomicU64,
    pub(super) stopped: AtomicBool,
    /// The number of events after which responses stall; zero disables it.
    pub(super) stall_after: AtomicU64,
    /// Whether running responses wait before their next event.
    pub(super) paused: AtomicBool,
    pub(super) down_until: Mutex<Option<Instant>>,
    /// The end of [`COOLING_PERIOD`].
    pub(super) cooling_until: Mutex<Option<Instant>>,
    pub(super) setup: Mutex<EngineSetup>,
    /// When the model or role being loaded is ready.
    pub(super) loading_until: Mutex<Option<Instant>>,
    pub(super) samples: Mutex<VecDeque<Sample>>,
    pub(super) record: Mutex<EngineRecord>,
}

impl State {
    pub(super) fn new(config: EngineConfig) -> State {
        State {
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
        }
    }

    pub(super) fn is_warm(&self) -> bool {
        self.completed.load(Ordering::SeqCst) >= self.config.requests_until_warm
    }

    pub(super) fn serve(&self, mut request: Request) {
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
        let text = request.take_text(MAX_PROMPT_LEN).unwrap_or_default();
        let Ok(prompt) = serde_json::from_str::<Prompt>(&text) else {
            request.respond(ServerResponse::text(400, "invalid prompt"));
            return;
        };
        if !self.try_start(&prompt) {
            let refusal = ServerResponse::text(503, "over limit");
            request.respond(refusal.with(OUTCOME_HEADER, "not-run"));
            return;
        }
        let Some(stream) = self.stream(request, &prompt) else {
            self.free_slot();
            self.record.lock().expect("engine record").cancelled += 1;
            return;
        };
        // Both before the client can see the end, as in an engine that frees the slot with the last
        // step: the client's next request must not count beside this one.
        self.free_slot();
        self.completed.fetch_add(1, Ordering::SeqCst);
        if stream.end().is_err() {
            self.completed.fetch_sub(1, Ordering::SeqCst);
            self.record.lock().expect("engine record").cancelled += 1;
        }
    }

    pub(super) fn setup(&self) -> EngineSetup {
        let mut setup = self.setup.lock().expect("engine setup").clone();
        setup.ready = !self.is_loading();
        setup
    }

    fn is_loading(&self) -> bool {
        let until = self.loading_until.lock().expect("engine state");
        until.is_some_and(|until| Instant::now() < until)
    }

    fn handle_order(&self, mut request: Request) {
        let text = request.take_text(MAX_PROMPT_LEN).unwrap_or_default();
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

    fn free_slot(&self) {
        let mut record = self.record.lock().expect("engine record");
        let running = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
        record.running.push((Instant::now(), running));
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

    /// Streams a response; returns the stream, which is still to be ended, if all of it was sent.
    fn stream(&self, request: Request, prompt: &Prompt) -> Option<ResponseStream> {
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
                return None;
            }
            let stall_after = self.stall_after.load(Ordering::SeqCst);
            if stall_after > 0 && n >= stall_after {
                self.stall(stream);
                return None;
            }
            let event = format!("data: {} {n}\n\n", prompt.id);
            if stream.write(event.as_bytes()).is_err() {
                return None;
            }
            let served = ServedTokens {
                organisation: prompt.organisation.clone(),
                at: Instant::now(),
                tokens: 1,
            };
            self.record.lock().expect("engine record").served.push(served);
        }
        Some(stream)
    }

    /// Holds the connection open without writing, until stalling is disabled or the engine is down.
    fn stall(&self, stream: ResponseStream) {
        while self.stall_after.load(Ordering::SeqCst) > 0 && !self.is_down() {
            thread::sleep(Duration::from_millis(20));
        }
        // A stream that is dropped without `end` is a truncated response.
        drop(stream);
    }
}
