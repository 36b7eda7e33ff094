//! Binding of listeners.
//!
//! A process binds all its listeners before it opens any outgoing connection: the kernel may assign
//! the port of a listener that isn't bound yet to the local end of an outgoing connection.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use tokio::net::{TcpListener, TcpSocket};

use crate::util::log;

/// The listen backlog. If it is full, a caller's SYN is dropped, and the caller gives up after a
/// second without a response; with a refused connection it would try another entry at once.
const BACKLOG: u32 = 4_096;
/// How long to retry while an address is in use: the previous process may still be shutting down.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two tries.
const IN_USE_PAUSE: Duration = Duration::from_millis(50);

/// Listens on an address, and retries while it is in use. Blocks the thread, so it is meant for the
/// start of a process.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
///
/// # Panics
///
/// Panics if called outside of a Tokio runtime.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    retry_while_in_use(address, || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // A restarted process must be able to bind its predecessor's address.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    })
}

/// Binds a socket, and retries while the address is in use.
pub(super) fn retry_while_in_use<T>(
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    let mut is_logged = false;
    loop {
        match bind() {
            Err(err)
                if err.kind() == io::ErrorKind::AddrInUse && began.elapsed() < IN_USE_TIMEOUT =>
            {
                if !std::mem::replace(&mut is_logged, true) {
                    log::warning("address-in-use", &address);
                }
                thread::sleep(IN_USE_PAUSE);
            }
            bound => return bound,
        }
    }
}
