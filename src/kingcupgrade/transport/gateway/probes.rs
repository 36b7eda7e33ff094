//! The readiness probes of the load balancer.

use std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

use super::{Gateway, adapter::PlatformAdapter};
use crate::{
    core::Millis,
    transport::connection_limit::{ConnectionLimit, Place},
    util::log,
};

/// The number of connections that are kept open; a load balancer needs one.
const MAX_CONNECTIONS: usize = 64;
/// The size of the read buffer of a connection, in bytes.
const BUF_LEN: usize = 8 << 10;
/// The timeout for an idle connection and for reading a request head.
const READ_TIMEOUT: Millis = Millis(30_000);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the load balancer's readiness probes for as long as the process runs.
pub(super) async fn accept_probes<E: PlatformAdapter>(
    gateway: Rc<Gateway<E>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    let limit = ConnectionLimit::new("readiness", MAX_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                limit
                    .serve(|place| spawn_local(serve_probes(gateway.clone(), stream, place)))
                    .await;
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_probes<E: PlatformAdapter>(
    gateway: Rc<Gateway<E>>,
    stream: TcpStream,
    _place: Arc<Place>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let is_ready_path = gateway.adapter.is_ready_path(request.uri().path());
        let status = match (is_ready_path, gateway.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT.as_duration())
        .max_buf_size(BUF_LEN)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are ignored because the load balancer probes again.
    let _ = connection.await;
}
