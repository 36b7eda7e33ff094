//! Metrics of a process, served in the Prometheus text format.
//!
//! The exporter keeps histogram samples in memory until it sorts them into buckets, which it does
//! when metrics are scraped. Nobody may scrape them for days, so it is also done periodically.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use metrics_util::MetricKindMask;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{interval, sleep},
};

use super::connection_limit::{ConnectionLimit, Place};
use crate::util::log;

/// The path of the metrics.
const PATH: &str = "/metrics";
/// How often samples are sorted into buckets; at most a few thousand accumulate in between.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// A gauge that has not been set for this long is removed: upstreams get a new name at each start,
/// so that their gauges would accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The timeout for reading the head of a scrape request.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of connections that are kept open; a scraper needs one.
const MAX_CONNECTIONS: usize = 64;
/// The size of the read buffer of a connection, in bytes.
const BUF_LEN: usize = 8 << 10;
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
/// The upper bounds of histogram buckets in milliseconds, roughly doubling from the latency of a
/// plain request within its failure domain to the longest deadline.
const BUCKETS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 15_000.0];

/// Installs the metrics recorder, and serves the metrics on the address if there is one.
///
/// # Errors
///
/// Returns an error if a recorder is already installed.
pub(crate) async fn start(address: Option<SocketAddr>) -> anyhow::Result<()> {
    let matcher = Matcher::Suffix("_ms".to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(matcher, &BUCKETS_MS)?
        .idle_timeout(MetricKindMask::GAUGE, Some(IDLE_TIMEOUT));
    let handle = builder.install_recorder()?;
    spawn_local(run_upkeep(handle.clone()));
    let Some(address) = address else { return Ok(()) };
    match TcpListener::bind(address).await {
        Ok(listener) => {
            spawn_local(accept_all(listener, handle));
        }
        // The port may be in use by another process; callers can be served without metrics.
        Err(err) => log::warning("metrics-not-served", &(address, err.to_string())),
    }
    Ok(())
}

/// Periodically sorts histogram samples into buckets.
async fn run_upkeep(handle: PrometheusHandle) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        handle.run_upkeep();
    }
}

async fn accept_all(listener: TcpListener, handle: PrometheusHandle) {
    let limit = ConnectionLimit::new("metrics", MAX_CONNECTIONS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                limit
                    .serve(|place| spawn_local(serve_connection(stream, handle.clone(), place)))
                    .await;
            }
            Err(err) => {
                log::warning("accept-failed", &err.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, handle: PrometheusHandle, _place: Arc<Place>) {
    let service = service_fn(|request: Request<Incoming>| {
        let is_found = request.uri().path() == PATH;
        let text = if is_found { handle.render() } else { String::new() };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        if !is_found {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        let plain = http::HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, plain);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT)
        .max_buf_size(BUF_LEN)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are ignored because the scraper tries again.
    let _ = connection.await;
}
