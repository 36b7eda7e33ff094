//! What is decided about a request, and what became of it.

use std::net::SocketAddr;

use serde::Serialize;

use crate::core::{Code, Millis, UpstreamName};

/// Leave to send a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this entry may have open to it.
    pub max_connections: usize,
    /// What it was decided on.
    pub basis: Basis,
}

/// What was believed of an upstream when a request was given to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Basis {
    /// Requests under way there, by this entry and by all others as last told.
    pub running: (u32, u32),
    /// Prompt tokens unread there, without this request's.
    pub unread: u64,
    /// Prompt tokens of this request that are not kept there.
    pub to_read: u64,
    /// Tokens in memory there at the end of all that is under way.
    pub memory: u64,
    /// The share of requests that failed there of late.
    pub failures: f64,
    /// Whether it is cold.
    pub is_cold: bool,
    /// After how long its first event was expected, in milliseconds; 0 from a plain upstream, where
    /// nothing is expected.
    pub expected_ms: u64,
}

/// What is decided about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it.
    Start(Grant),
    /// Give it up; it has not run.
    Refuse {
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Millis,
    },
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The upstream answered.
    Answered,
    /// The upstream answered that it failed.
    Failed,
    /// The answer broke off or was not one, or none came.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// The upstream refused it before it ran: it is full.
    Rejected,
    /// Another upstream has the address.
    Replaced,
    /// The caller left.
    Cancelled,
}

impl SendEnd {
    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SendEnd::Answered => "answered",
            SendEnd::Failed => "failed",
            SendEnd::Broken => "broken",
            SendEnd::Unreachable => "unreachable",
            SendEnd::Rejected => "rejected",
            SendEnd::Replaced => "replaced",
            SendEnd::Cancelled => "cancelled",
        }
    }
}
