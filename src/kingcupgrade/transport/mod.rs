//! Threads and sockets around a [`Node`](crate::coordination::node::Node).
//!
//! One thread owns the node and everything it decides. The threads that move bytes send it an
//! [`Event`] and carry out what it answers; none of them decides anything about other requests.

pub mod callers;
pub mod controls;
pub mod daemon;
pub mod engines;
pub mod fleet;
pub mod gateway;
pub mod http;
mod listen;
pub(crate) mod metrics;
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

/// What the threads around the node tell it.
pub enum Event {
    /// Something that concerns the node alone.
    Input(Input),
    /// A caller's request, and where its thread waits.
    Arrived(Arrival, Option<KeyedRequest>, mpsc::Sender<Verdict>),
    /// An operator's request, and where its thread waits.
    Asked(OperatorRequest, mpsc::Sender<OperatorReply>),
}

/// What the node decided about a caller's request.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send it to this upstream.
    Start(UpstreamName, SocketAddr),
    /// The caller hung up; nothing more is sent for it.
    HungUp,
    /// Answer with a kept answer.
    Replay(StoredAnswer),
    /// Give it up.
    GiveUp {
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Millis,
    },
}

/// The newest configuration, for the threads that serve callers.
pub type SharedView = Arc<RwLock<Arc<View>>>;

/// Names a request; unique within the process.
pub type NextRequest = std::sync::atomic::AtomicU64;

/// Returns the next request's name.
pub fn next_request(next: &NextRequest) -> RequestId {
    next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}
