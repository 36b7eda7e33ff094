//! A fake plain service that counts how often the request of each idempotency key ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use kingcupgrade::transport::http::{self, Request, Server, ServerResponse};

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
        let Ok(body) = request.read_text(MAX_BODY_LEN) else { return };
        let key = request.header("idempotency-key").unwrap_or("none").to_owned();
        let run = {
            let mut runs = self.runs.lock().expect("plain record");
            let run = runs.entry(key.clone()).or_insert(0);
            *run += 1;
            *run
        };
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
        // The run counts even if the client has disconnected.
        request.respond(ServerResponse::text(200, format!("{key} run {run}: {body}")));
    }
}
