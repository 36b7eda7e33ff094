//! The server side of HTTP, with one thread for each request and none for an idle connection.
//!
//! A balancer opens connections in bursts and keeps them. Every connection must be read however
//! many others are held, accepting must go on after it failed, and a head that can't be read must
//! get a numbered refusal like any other. The library below gives the protocol; this module gives
//! those three, and a blocking view of a request to the threads that serve it.

mod answer;
mod connection;
mod request;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use tokio::{net, runtime, sync::Notify, time};

pub(crate) use self::answer::refusal_body;
pub use self::{
    answer::{Answer, AnswerStream, HungUp},
    request::{PendingAnswer, Request},
};
use super::listen::while_in_use;
use crate::util::{log, process};

/// Threads that read and write the connections of one address.
const CONNECTION_THREADS: usize = 2;
/// The pause after a failed accept: it fails again at once while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What is done with a request; it must hand it to a thread and return at once.
type Serve = Arc<dyn Fn(Request) + Send + Sync>;

/// An address that is served.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Arc<Notify>,
}

impl Server {
    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and closes all connections.
    pub fn stop(&self) {
        self.stop.notify_one();
    }
}

/// Listens on an address and calls `serve` with each request.
///
/// `serve` is called on a thread that carries other connections too, so it must return at once.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start(
    name: &str,
    address: SocketAddr,
    serve: impl Fn(Request) + Send + Sync + 'static,
) -> anyhow::Result<Server> {
    let listener = while_in_use(address, || TcpListener::bind(address))?;
    listener.set_nonblocking(true)?;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(CONNECTION_THREADS)
        .thread_name(name)
        .enable_all()
        .build()?;
    let server = Server { address: listener.local_addr()?, stop: Arc::default() };
    let stop = server.stop.clone();
    let listener = {
        let _entered = runtime.enter();
        net::TcpListener::from_std(listener)?
    };
    let run = move || {
        runtime.spawn(accept_all(listener, Arc::new(serve)));
        runtime.block_on(stop.notified());
        runtime.shutdown_background();
    };
    process::spawn_essential(name, run)?;
    Ok(server)
}

/// Accepts connections for good.
///
/// An accept fails while the process is out of file descriptors. An instance that stopped
/// accepting then would go on looking healthy and answer nobody.
async fn accept_all(listener: net::TcpListener, serve: Serve) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection::serve_all(stream, serve.clone()));
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
