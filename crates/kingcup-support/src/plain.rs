//! A stand-in for a plain service that counts how often each request key really ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tiny_http::{Response, Server};

/// A running plain service.
#[derive(Clone)]
pub struct Plain {
    address: SocketAddr,
    server: Arc<Server>,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    delay_ms: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Plain {
    /// Starts a service that takes `delay` for each request, after it has run it.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(delay: Duration) -> Plain {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let plain = Plain {
            address,
            server,
            runs: Arc::default(),
            delay_ms: Arc::new(AtomicU64::new(delay.as_millis() as u64)),
            stopped: Arc::default(),
        };
        let accepting = plain.clone();
        thread::spawn(move || accepting.accept_all());
        plain
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how long answers take from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Returns how often the request under each key ran.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("plain record").clone()
    }

    /// Returns how often the request under `key` ran.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.runs().get(key).copied().unwrap_or(0)
    }

    /// Stops accepting requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.server.unblock();
    }

    fn accept_all(&self) {
        while let Ok(request) = self.server.recv() {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let plain = self.clone();
            thread::spawn(move || plain.serve(request));
        }
    }

    fn serve(&self, mut request: tiny_http::Request) {
        let mut body = String::new();
        if request.as_reader().read_to_string(&mut body).is_err() {
            return;
        }
        let header = request.headers().iter().find(|h| h.field.equiv("Idempotency-Key"));
        let key = header.map_or_else(|| "none".to_owned(), |h| h.value.as_str().to_owned());
        let run = {
            let mut runs = self.runs.lock().expect("plain record");
            let run = runs.entry(key.clone()).or_insert(0);
            *run += 1;
            *run
        };
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
        // A caller that is gone needs no answer; the run counts all the same.
        let _ = request.respond(Response::from_string(format!("{key} run {run}: {body}")));
    }
}
