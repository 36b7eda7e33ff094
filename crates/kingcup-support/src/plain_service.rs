//! A fake plain service that counts how often the request of each idempotency key ran.
//!
//! Tests can make it turn requests away, ask for a delay, or say that it leaves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::transport::{
    http::{self, Request, Server, ServerResponse},
    upstream::{LEAVING_HEADER, OUTCOME_HEADER},
};

use crate::ANY_PORT;

/// The largest accepted request body, in bytes.
const MAX_BODY_LEN: usize = 4 << 20;

/// A running fake plain service.
#[derive(Clone)]
pub struct PlainService {
    server: Server,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    runs: Mutex<BTreeMap<String, u32>>,
    delay_ms: AtomicU64,
    /// Whether it turns every request away without running it.
    rejects: AtomicBool,
    /// Whether it says on each answer that it leaves.
    leaves: AtomicBool,
    /// The delay that it asks for on each answer.
    retry_after: Mutex<Option<String>>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
}

impl PlainService {
    /// Starts a service that runs a request immediately and responds after `delay`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start(delay: Duration) -> PlainService {
        let state = Arc::new(State::default());
        let serving = state.clone();
        let serve = move |request| {
            let state = serving.clone();
            thread::spawn(move || state.serve(request));
        };
        let server = http::start("plain", ANY_PORT.into(), serve).expect("a free port");
        let plain = PlainService { server, state };
        plain.set_delay(delay);
        plain
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the response delay of later requests.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets whether it turns every request away without running it.
    pub fn set_rejects(&self, rejects: bool) {
        self.state.rejects.store(rejects, Ordering::SeqCst);
    }

    /// Sets the delay that it asks for on each answer, as the value of the header.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn ask_for_delay(&self, value: Option<&str>) {
        *self.state.retry_after.lock().expect("plain state") = value.map(str::to_owned);
    }

    /// Sets whether it says on each answer that it leaves.
    pub fn set_leaves(&self, leaves: bool) {
        self.state.leaves.store(leaves, Ordering::SeqCst);
    }

    /// Returns when each request arrived, including those that it turned away.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.lock().expect("plain record").clone()
    }

    /// Returns how often the request of each idempotency key ran.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.lock().expect("plain record").clone()
    }

    /// Returns how often the request with idempotency key `key` ran.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.runs().get(key).copied().unwrap_or(0)
    }

    /// Stops it: accepts no more connections and aborts the running responses.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl State {
    fn serve(&self, mut request: Request) {
        let Ok(body) = request.take_text(MAX_BODY_LEN) else { return };
        self.arrivals.lock().expect("plain record").push(Instant::now());
        if self.rejects.load(Ordering::SeqCst) {
            let rejection = ServerResponse::text(503, "full").with(OUTCOME_HEADER, "not-run");
            request.respond(self.with_notices(rejection));
            return;
        }
        let key = request.header("idempotency-key").unwrap_or("none").to_owned();
        let run = {
            let mut runs = self.runs.lock().expect("plain record");
            let run = runs.entry(key.clone()).or_insert(0);
            *run += 1;
            *run
        };
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
        // The run counts even if the client has disconnected.
        let answer = ServerResponse::text(200, format!("{key} run {run}: {body}"));
        request.respond(self.with_notices(answer));
    }

    /// Adds what the service asks for to an answer.
    fn with_notices(&self, answer: ServerResponse) -> ServerResponse {
        let delay = self.retry_after.lock().expect("plain state").clone();
        let answer = match delay {
            Some(delay) => answer.with("retry-after", delay),
            None => answer,
        };
        match self.leaves.load(Ordering::SeqCst) {
            true => answer.with(LEAVING_HEADER, "1"),
            false => answer,
        }
    }
}
