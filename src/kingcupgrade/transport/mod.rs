//! The threads and sockets around a [`Node`](crate::coordination::node::Node).
//!
//! One thread owns the node, which makes all decisions. The threads that do I/O send it [`Event`]s
//! and carry out its verdicts; none of them makes decisions about other requests.

pub mod answer_head;
mod arrivals;
pub mod bodies;
pub mod callers;
mod configuration_reads;
mod connection_limit;
pub mod control_server;
pub mod daemon;
mod durable;
pub mod engines;
pub mod fleet;
pub mod gateway;
mod head_watch;
pub mod http;
mod linger;
mod listen;
pub(crate) mod metrics;
pub mod notice;
mod operator_queue;
pub mod operators;
pub mod peers;
pub mod platform;
mod reload;
pub mod signals;
mod tasks;
pub mod upstream;

use std::{
    net::SocketAddr,
    sync::{Arc, RwLock, mpsc},
};

use crate::{
    coordination::{
        entry::{Arrival, RequestId},
        node::{Input, KeyedRequest},
        view::View,
    },
    core::{Code, Millis, UpstreamName},
    protocol::{
        operator::{OperatorReply, OperatorRequest},
        record::StoredAnswer,
    },
};

/// An event for the thread that owns the node.
pub enum Event {
    /// An input for the node itself.
    Input(Input),
    /// A request from a caller, and the channel for verdicts on it.
    Arrived(Arrival, Option<KeyedRequest>, mpsc::Sender<Verdict>),
    /// A request from an operator, and the channel for the reply.
    Requested(OperatorRequest, mpsc::Sender<OperatorReply>),
}

/// What a thread is to do with a caller's request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send it to this upstream.
    Start(UpstreamName, SocketAddr),
    /// Stop: the caller has disconnected.
    Disconnected,
    /// Respond with the stored response to an earlier request with the same idempotency key.
    Replay(StoredAnswer),
    /// Respond with an error.
    GiveUp {
        /// The result code.
        code: Code,
        /// The retry delay; zero for none.
        retry_after: Millis,
    },
}

/// The latest view of the configuration, shared with the threads that serve callers.
pub type SharedView = Arc<RwLock<Arc<View>>>;

/// The id of the next request; ids are unique within the process.
pub type NextRequest = std::sync::atomic::AtomicU64;

/// Returns a new request id.
pub fn next_request(next: &NextRequest) -> RequestId {
    next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}
