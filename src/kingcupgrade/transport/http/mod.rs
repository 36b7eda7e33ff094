//! An HTTP server that uses one thread per request but none for idle connections.
//!
//! Load balancers open connections in bursts and keep them open. So every connection must be read
//! however many others are open, accepting must continue after a failure, and a malformed request
//! head must be answered with a coded refusal like any other request. hyper implements the
//! protocol; this module adds these three properties, and a blocking interface for the threads that
//! serve requests.

mod connection;
mod intake;
mod request;
mod response;
mod stream;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use tokio::{net, runtime, sync::Notify, time};

use self::intake::Intake;
pub(crate) use self::response::error_body;
pub use self::{
    intake::{BodyPolicy, BodyRule, Limits, RequestHead},
    request::{Request, Responder},
    response::{Disconnected, ResponseStream, ServerResponse},
};
use super::listen::retry_while_in_use;
use crate::util::{log, process};

/// The number of threads that read and write the connections of a server.
const CONNECTION_THREADS: usize = 2;
/// The pause after a failed accept: without it, accepting would fail again at once for as long as
/// the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The handler of requests; it must not block, but pass the request to a thread.
type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Arc<Notify>,
}

impl Server {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and closes all open ones.
    pub fn stop(&self) {
        self.stop.notify_one();
    }
}

/// Listens on an address and calls `serve` with each request, with the default limits.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start(
    name: &str,
    address: SocketAddr,
    serve: impl Fn(Request) + Send + Sync + 'static,
) -> anyhow::Result<Server> {
    start_with(name, address, Limits::default(), serve)
}

/// Listens on an address and calls `serve` with each request once its body has arrived.
///
/// `serve` is called on a thread that drives other connections too, so it must not block.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn start_with(
    name: &str,
    address: SocketAddr,
    limits: Limits,
    serve: impl Fn(Request) + Send + Sync + 'static,
) -> anyhow::Result<Server> {
    let listener = retry_while_in_use(address, || TcpListener::bind(address))?;
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
        runtime.spawn(accept_all(listener, Intake::new(limits), Arc::new(serve)));
        runtime.block_on(stop.notified());
        runtime.shutdown_background();
    };
    process::spawn_essential(name, run)?;
    Ok(server)
}

/// Accepts connections for as long as the server runs.
///
/// Accepting fails while the process is out of file descriptors. An instance that stopped accepting
/// because of that would still look healthy but serve no client.
async fn accept_all(listener: net::TcpListener, intake: Intake, serve: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (of_connection, serve) = (intake.clone(), serve.clone());
                let spawn = |place| {
                    tokio::spawn(connection::serve_all(stream, of_connection, place, serve))
                };
                intake.connections.serve(spawn).await;
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                intake.connections.close_one();
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
