//! Finds out whether an upstream that closed the connection of a request has ended.
//!
//! Upstreams that end one after the other under a request speak against the request. One that goes
//! on running and closes every connection says nothing about it: whatever is sent there fares alike.
//! The two are told apart by a further connection.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::coordination::traffic::SendEnd;

/// The timeout for the connection and the health check together. The request waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(60);
/// The time between two checks: a process that ends may close its connections before it stops to
/// listen.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The checks that have to be closed without an answer.
const CHECKS: usize = 2;

/// What became of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    /// The upstream accepted the connection and closed it without an answer.
    Closed,
    /// It refused the connection, did not answer in time, or answered.
    Other,
}

/// Returns how a request ended whose connection was closed by an upstream that listens on `address`.
pub(super) async fn end_of_closed(address: SocketAddr, health_path: Option<&str>) -> SendEnd {
    for number in 0..CHECKS {
        if number > 0 {
            sleep(RECHECK_INTERVAL).await;
        }
        if timeout(CHECK_TIMEOUT, check(address, health_path)).await != Ok(Check::Closed) {
            return SendEnd::Disconnected;
        }
    }
    SendEnd::ClosedByRunning
}

/// Connects to an upstream, and asks for its health if there is a path for it.
async fn check(address: SocketAddr, health_path: Option<&str>) -> Check {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Check::Other };
    if let Some(path) = health_path {
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        // Fails if the upstream has closed the connection, and so does reading.
        let _ = stream.write_all(request.as_bytes()).await;
    }
    match stream.read(&mut [0; 1]).await {
        Ok(1..) => Check::Other,
        Ok(0) | Err(_) => Check::Closed,
    }
}
