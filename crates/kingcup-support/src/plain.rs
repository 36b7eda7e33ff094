//! A stand-in for a plain service that counts how often each request key really ran.

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

/// The largest body, in bytes.
const MAX_BODY_LEN: usize = 4 << 20;

/// A running plain service.
#[derive(Clone)]
pub struct Plain {
    server: Server,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    runs: Mutex<BTreeMap<String, u32>>,
    delay_ms: AtomicU64,
}

impl Plain {
    /// Starts a service that takes `delay` for each request, after it has run it.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(delay: Duration) -> Plain {
        let state = Arc::new(State::default());
        let serving = state.clone();
        let serve = move |request| {
            let state = serving.clone();
            thread::spawn(move || state.serve(request));
        };
        let server = http::start("plain", ANY_PORT.into(), serve).expect("a free port");
        let plain = Plain { server, state };
        plain.set_delay(delay);
        plain
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how long answers take from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Returns how often the request under each key ran.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.lock().expect("plain record").clone()
    }

    /// Returns how often the request under `key` ran.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.runs().get(key).copied().unwrap_or(0)
    }

    /// Stops it: it accepts nothing more and breaks off its answers.
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
        // A caller that is gone gets no answer; the run counts all the same.
        request.respond(ServerResponse::text(200, format!("{key} run {run}: {body}")));
    }
}
