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

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

/// Returns a loopback address that nothing listened on a moment ago.
///
/// # Panics
///
/// Panics if the system has no free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener has an address")
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
