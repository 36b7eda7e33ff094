//! Fakes of the external systems that a fleet talks to, and a launcher of local fleets of real
//! processes.
//!
//! Every fake upstream records what it did, so that tests check what the fleet reports against an
//! independent source.

pub mod broken_answers;
pub mod caller;
pub mod crowd;
pub mod engine;
pub mod fleet;
pub mod freezes;
pub mod plain_service;
pub mod platform;
pub mod process_state;
pub mod proxy;
pub mod rollouts;
pub mod settings;
pub mod traffic;

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, LazyLock,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A loopback address with a port chosen by the system, for the fakes.
pub(crate) const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// The ports that instances listen on.
///
/// They are below the ephemeral range, from which the system picks ports for connections and for
/// listeners without a port. It could otherwise give away a port after it was chosen and before the
/// instance listens on it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The next port to try. Test processes start at different ones, so that they rarely collide.
static NEXT_PORT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(std::process::id() * 97));

/// Returns a loopback address that was free when it was checked.
///
/// Another process can take it before the caller binds it.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("a bound listener has an address")
}

/// Listens on a free loopback port outside the ephemeral range, so that the port can be bound again
/// after the listener is closed.
///
/// # Panics
///
/// Panics if no port is free.
pub fn listen() -> TcpListener {
    for _ in PORTS {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS.len() as u32;
        let port = PORTS.start + number as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
    panic!("no free port in {PORTS:?}");
}

/// Listens on a loopback address, and serves each connection on a thread of its own for as long as the
/// process runs; returns the address.
///
/// What `serve` returns is dropped: a stand-in may end a connection early, and the other end may close
/// it.
///
/// # Panics
///
/// Panics if no port is free.
pub fn serve_connections<T>(serve: impl Fn(TcpStream) -> T + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(ANY_PORT)).expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || drop(serve(stream)));
        }
    });
    address
}

/// Polls `done` every 20 ms until it returns true; returns false after `timeout`.
///
/// Tests pass a timeout far longer than expected, so that a busy host makes them slower but never
/// makes them fail.
pub fn wait_until(timeout: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    done()
}
