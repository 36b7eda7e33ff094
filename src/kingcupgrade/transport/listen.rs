//! Listening on an address.
//!
//! A process listens on all its addresses before it dials anybody: the local end of a connection
//! may be given the very port that is to be listened on.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use tokio::net::{TcpListener, TcpSocket};

use crate::util::log;

/// Connections that may wait to be accepted: a caller that finds no room there hears nothing for a
/// second and gives up, where a refusal would send it to another entry at once.
const BACKLOG: u32 = 4_096;
/// How long an address may be in use: a process of before may still be ending.
const IN_USE_PATIENCE: Duration = Duration::from_secs(5);
/// The pause before the next try.
const IN_USE_PAUSE: Duration = Duration::from_millis(50);

/// Listens on an address, waiting while it is in use. Blocks, and so is for the start of a process.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
///
/// # Panics
///
/// Panics outside of a runtime.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    while_in_use(address, || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // A process that starts again must get the address of the one before.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    })
}

/// Tries again while the address is in use.
pub(super) fn while_in_use<T>(
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    let mut is_told = false;
    loop {
        match bind() {
            Err(err)
                if err.kind() == io::ErrorKind::AddrInUse && began.elapsed() < IN_USE_PATIENCE =>
            {
                if !std::mem::replace(&mut is_told, true) {
                    log::warning("address-in-use", &address);
                }
                thread::sleep(IN_USE_PAUSE);
            }
            bound => return bound,
        }
    }
}
