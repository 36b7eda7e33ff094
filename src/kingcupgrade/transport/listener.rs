//! Listening for HTTP that outlives a failed accept.
//!
//! The server library stops accepting for good at the first error of an accept, as when the
//! process is out of file descriptors for a moment. The instance would go on looking healthy and
//! answer nobody, so the address is listened on anew.

use std::{net::SocketAddr, thread, time::Duration};

use tiny_http::{Request, Server};

use crate::util::log;

/// The pause before an address is listened on again.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a thread that hands each request to `serve`.
///
/// # Errors
///
/// Returns an error if the address can't be listened on at first.
pub fn start(
    name: &str,
    address: SocketAddr,
    serve: impl Fn(Request) + Send + 'static,
) -> anyhow::Result<()> {
    let first = listen(address)?;
    let accept = move || {
        let mut server = Some(first);
        loop {
            match server.take().map_or_else(|| listen(address), Ok) {
                Ok(open) => accept_all(&open, &serve),
                Err(err) => log::warning("listen-failed", &err.to_string()),
            }
            thread::sleep(PAUSE);
        }
    };
    thread::Builder::new().name(name.to_owned()).spawn(accept)?;
    Ok(())
}

fn listen(address: SocketAddr) -> anyhow::Result<Server> {
    Server::http(address).map_err(|err| anyhow::anyhow!("{address}: {err}"))
}

/// Hands on requests until accepting fails.
fn accept_all(server: &Server, serve: &impl Fn(Request)) {
    loop {
        match server.recv() {
            Ok(request) => serve(request),
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                return;
            }
        }
    }
}
