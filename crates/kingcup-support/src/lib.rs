//! Stand-ins for what a fleet meets, and a launcher of fleets of real processes.
//!
//! Every stand-in keeps its own record of what it really did, so that a test compares the fleet's
//! word with the truth and not with itself.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod platform;
pub mod proxy;
pub mod settings;
pub mod traffic;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        LazyLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// Lets the system choose a loopback port, for stand-ins.
pub(crate) const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// The ports instances listen on: below those the system gives to connections and to listeners
/// that name none, which would otherwise take one between the choice and the instance's start.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// The next port to try; processes begin at different ones.
static NEXT_PORT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(std::process::id() * 97));

/// Returns a loopback address that nothing listened on a moment ago.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("a bound listener has an address")
}

/// Listens on a free loopback address that can be listened on again after it was closed.
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
    panic!("no free port");
}

/// Waits until `done` holds; returns false if it does not within `patience`.
///
/// A test names a patience far beyond what it expects, so that a busy machine changes how long it
/// takes and never its verdict.
pub fn wait_until(patience: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < patience {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    done()
}
