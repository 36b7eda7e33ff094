//! Finds out whether an upstream that closed the connection of a request has ended.
//!
//! Upstreams that end one after the other under a request are evidence against the request. One
//! that goes on running and closes every connection is none: it closes that of any request. Only
//! the latter accepts further connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::coordination::traffic::SendEnd;

/// The timeout for connecting; short, since the request is repeated only after the check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// The time between two checks: a process that ends may close its connections before it stops
/// listening.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of connections that an upstream has to accept to count as running.
const CHECKS: usize = 2;

/// Returns how a request ended whose connection was closed by an upstream that listens on
/// `address`.
pub(super) async fn end_of_closed(address: SocketAddr) -> SendEnd {
    for number in 0..CHECKS {
        if number > 0 {
            sleep(RECHECK_INTERVAL).await;
        }
        if !accepts_connections(address).await {
            return SendEnd::Disconnected;
        }
    }
    SendEnd::ClosedByRunning
}

async fn accepts_connections(address: SocketAddr) -> bool {
    matches!(timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
