//! A fake model engine.
//!
//! It runs requests in a limited number of slots, streams one event per token and reports its load
//! with a lag. The cost of a request is known only when it ends. An engine starts cold, and while it
//! is cold it crashes if it gets more requests than its cold limit. Tests can make it stall in the
//! middle of a response or lose its warm cache without notice.

mod config;
mod record;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::{
    protocol::order::EngineSetup,
    transport::{
        http::{self, Server},
        platform::ListedLoad,
    },
};

use self::state::{Sample, State};
pub use self::{
    config::{EngineConfig, Prompt},
    record::{EngineRecord, ServedTokens},
};
use crate::ANY_PORT;

/// How long an engine that lost its cache still runs its warm limit, slowly. After that, a request
/// beyond its cold limit crashes it.
const COOLING_PERIOD: Duration = Duration::from_millis(1_500);
/// The model that is loaded when an engine starts.
pub const FIRST_MODEL: &str = "first";
/// How often the load is sampled for load reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

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
        let state = Arc::new(State::new(config));
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
