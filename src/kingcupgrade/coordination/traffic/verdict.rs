//! Admission decisions, and how requests that were sent ended.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{
    core::{Code, Millis, RequestDigest, UpstreamName, Version},
    protocol::crash::CrashCause,
};

/// Permission to send a request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The selected upstream.
    pub upstream: UpstreamName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The incarnation of the upstream: the Unix millisecond at which it started.
    pub incarnation: u64,
    /// The version of its software, if known.
    pub version: Option<Version>,
    /// The number of connections that this entry may have open to the upstream.
    pub max_connections: usize,
    /// The state of the upstream on which the decision was based, for the log.
    pub basis: Basis,
}

/// The known state of an upstream when a request was placed on it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Basis {
    /// Requests under way on it: those of this entry, and those of all others as last reported.
    pub running: (u32, u32),
    /// Prompt tokens that it has not read yet, without this request's.
    pub unread: u64,
    /// Prompt tokens of this request that the upstream has not cached.
    pub to_read: u64,
    /// The memory that all requests under way on it will use at their end, in tokens.
    pub memory: u64,
    /// The upstream's failure rate.
    pub failures: f64,
    /// Whether the upstream is cold.
    pub is_cold: bool,
    /// The expected time to the first event, in milliseconds; 0 for a plain upstream, for which
    /// there is no estimate.
    pub expected_ms: u64,
}

/// The admission decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request is sent to an upstream.
    Start(Grant),
    /// The request is refused and has not run.
    Refuse {
        /// The reason.
        code: Code,
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
}

/// A change of the causes that are kept from upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CauseChange {
    /// Upstreams kept ending under this cause, and it is kept from them.
    Barred(CrashCause),
    /// An upstream has written an answer on this cause, or it has long been kept from them, and it is
    /// let through again.
    Freed(CrashCause),
}

/// How far an attempt was when its upstream closed the connection.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Disconnect {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Identifies the request among the attempts of its caller.
    pub digest: RequestDigest,
    /// Whether the head of the answer had arrived.
    pub has_head: bool,
    /// The events of the answer that had arrived.
    pub events: u32,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<u64>,
    /// The time since the request was sent.
    pub after_ms: Millis,
    /// Whether the requests at the upstream may have exceeded its memory, so that neither the
    /// request nor its parts are blamed.
    pub beyond_memory: bool,
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The upstream answered.
    Answered,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream closed or reset the connection before the end of the answer.
    Disconnected,
    /// The same, but the upstream goes on running: it still accepts connections.
    ClosedByRunning,
    /// The answer was invalid, or the upstream fell silent.
    Broken,
    /// No connection could be made to send the request on.
    Unreachable,
    /// The upstream was full and refused the request before it ran.
    Rejected,
    /// Another upstream now has the address.
    Replaced,
    /// The upstream cut off the answer after its caller had not read it for long.
    Unread,
    /// This entry abandoned the request, for example because its caller disconnected.
    Cancelled,
}

impl SendEnd {
    /// Returns the label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SendEnd::Answered => "answered",
            SendEnd::Failed => "failed",
            SendEnd::Disconnected => "disconnected",
            SendEnd::ClosedByRunning => "closed-by-running",
            SendEnd::Broken => "broken",
            SendEnd::Unreachable => "unreachable",
            SendEnd::Rejected => "rejected",
            SendEnd::Replaced => "replaced",
            SendEnd::Unread => "unread",
            SendEnd::Cancelled => "cancelled",
        }
    }
}
