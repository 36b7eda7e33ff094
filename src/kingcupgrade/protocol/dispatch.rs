//! Messages between entries and dispatchers, and between the dispatchers of one service.
//!
//! An entry and a dispatcher communicate in a session. The opening message carries the complete
//! state of the entry: its queued requests and the grants it holds. Later messages carry changes.
//! A lost message is repaired by opening a new session, so no message needs guaranteed delivery.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Pool;
use crate::core::{
    FailureDomain, Instance, Millis, Organisation, OrganisationTag, UpstreamName, Version,
};

/// Identifies a session by the process of the entry and a number that increases within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session(
    /// The incarnation of the entry, which differs between successive processes of one instance.
    pub u64,
    /// The sequence number of the session within the process.
    pub u64,
);

impl Session {
    /// Returns the tag that messages within the session carry.
    pub fn tag(self) -> SessionTag {
        SessionTag(((self.0 & 0xffff) << 16) as u32 | (self.1 & 0xffff) as u32)
    }
}

/// A shortened session identifier, made of the low 16 bits of both numbers. It distinguishes the
/// sessions between one entry and one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionTag(pub u32);

/// Identifies a grant within its pool by the term of the dispatcher and a number within the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(
    /// The term of the dispatcher.
    pub u64,
    /// The sequence number within the term.
    pub u64,
);

/// The bit that marks the terms of static shares, so that their grants differ from a dispatcher's.
pub const STATIC_TERM: u64 = 1 << 63;

impl GrantId {
    /// Returns whether the grant belongs to a static share.
    pub fn is_static(self) -> bool {
        self.0 & STATIC_TERM != 0
    }
}

/// A slot of an upstream, granted to the next request of an organisation at an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the grant.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// The organisation whose request may use the slot.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The upstream that has the slot.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The address of the upstream.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The incarnation of the upstream.
    #[serde(rename = "n", default)]
    pub incarnation: u64,
    /// The version of its software, if known.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// A grant that an entry is still using when it opens a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantInUse {
    /// The id of the grant.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// The organisation whose request uses the slot.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The upstream that has the slot.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The cost of the request so far.
    #[serde(rename = "c")]
    pub cost: u32,
}

/// How the use of a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The upstream sent a complete answer.
    #[serde(rename = "d")]
    Completed,
    /// The entry had no request to use it for, or the caller disconnected.
    #[serde(rename = "u")]
    Unused,
    /// The upstream refused the request because it was overloaded.
    #[serde(rename = "r")]
    Refused,
    /// The upstream did not send a complete answer.
    #[serde(rename = "f")]
    Failed,
}

/// A grant that is no longer in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedGrant {
    /// The id of the grant.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// How its use ended.
    #[serde(rename = "e")]
    pub outcome: GrantOutcome,
    /// The total cost of the request.
    #[serde(rename = "c")]
    pub cost: u32,
    /// The time from sending the request to the first byte of its answer, in milliseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub first_byte_ms: Option<u32>,
    /// Whether the upstream may still run the request: it fell silent, and has not closed the
    /// connection.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_run: bool,
}

impl FinishedGrant {
    /// Returns the end of a grant that was not used.
    pub fn unused(id: GrantId) -> FinishedGrant {
        let outcome = GrantOutcome::Unused;
        FinishedGrant { id, outcome, cost: 0, first_byte_ms: None, may_run: false }
    }
}

/// What an incarnation of an upstream has asked for on an answer to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedNotice {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Its incarnation.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// The time for which it still wants no requests; zero if it takes them.
    #[serde(rename = "b", default)]
    pub backoff_left: Millis,
    /// Whether it is shutting down.
    #[serde(rename = "l", default)]
    pub is_leaving: bool,
}

/// The number of requests of one organisation that are queued at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequests(
    /// The organisation.
    pub Organisation,
    /// The number of queued requests.
    pub u32,
);

/// A queued request whose answer has begun, and goes on only at the version that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunAnswer(
    /// The organisation.
    pub Organisation,
    /// The version; `None` if its upstream states none.
    pub Option<Version>,
);

/// The service that an organisation received in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReceived(
    /// The organisation.
    pub OrganisationTag,
    /// The service received in the sender's failure domain, divided by the share. It never
    /// decreases.
    pub i64,
    /// The level to which the organisation's counter was raised when it last became backlogged. It
    /// never decreases.
    pub i64,
);

/// Another dispatcher of the same service that has free slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer(
    /// The failure domain of the dispatcher.
    pub FailureDomain,
    /// The instance that holds the dispatcher's lease.
    pub Instance,
);

/// A message between an entry and a dispatcher, in either direction, or between dispatchers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchMessage {
    /// The pool that the message concerns.
    #[serde(rename = "p")]
    pub pool: Pool,
    /// The term of the dispatcher that sends or receives the message; 0 if the sender knows none.
    #[serde(rename = "t")]
    pub term: u64,
    /// The original sender, if another instance forwarded the message.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Instance>,
    /// The body.
    #[serde(rename = "b")]
    pub body: DispatchBody,
}

/// The body of a [`DispatchMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DispatchBody {
    /// Opens a session with the complete state of the entry.
    #[serde(rename = "o")]
    Open {
        /// The session.
        #[serde(rename = "s")]
        session: Session,
        /// The numbers of queued requests of all organisations.
        #[serde(rename = "w")]
        waiting: Vec<QueuedRequests>,
        /// All grants of the pool that are in use.
        #[serde(rename = "h")]
        held: Vec<GrantInUse>,
    },
    /// Reports changes within a session.
    #[serde(rename = "r")]
    Report {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// The sequence number of the report within the session, starting at 1.
        #[serde(rename = "n")]
        seq: u64,
        /// The number of grants received in the session so far. The counts in `waiting` exclude
        /// the requests that these grants serve.
        #[serde(rename = "k")]
        received: u64,
        /// The new numbers of queued requests of the organisations for which they changed.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        waiting: Vec<QueuedRequests>,
        /// The grants that are no longer in use.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        finished: Vec<FinishedGrant>,
        /// The grants whose cost so far exceeds the expected cost, with that cost.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        progress: Vec<(GrantId, u32)>,
        /// What upstreams have asked for on their answers.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        notices: Vec<ReportedNotice>,
        /// The queued requests whose answers have begun, since the previous report.
        #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
        begun: Vec<BegunAnswer>,
    },
    /// Closes a session that has nothing left to report.
    #[serde(rename = "x")]
    Close {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
    },
    /// Grants slots to an entry.
    #[serde(rename = "g")]
    Grants {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// The sequence number of the last report received; 0 for the opening message.
        #[serde(rename = "k")]
        last_report: u64,
        /// The grants.
        #[serde(rename = "g")]
        grants: Vec<Grant>,
    },
    /// Acknowledges a session to its entry, with the number of grants sent in it and the other
    /// dispatchers that have free slots.
    #[serde(rename = "a")]
    Ack {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// The number of grants sent in the session so far. If the entry has received fewer, grants
        /// were lost.
        #[serde(rename = "n")]
        granted: u64,
        /// The other dispatchers with free slots.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        offers: Vec<Offer>,
        /// The time until an upstream takes requests again, if every upstream of the pool, and of
        /// the service's other pools as far as known, has asked for none.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        backoff_left: Option<Millis>,
    },
    /// Asks an entry to open a new session.
    #[serde(rename = "y")]
    Resync,
    /// Reports the service received in this failure domain to another dispatcher of the service.
    #[serde(rename = "e")]
    Exchange {
        /// The number of free slots, if no organisation is backlogged; 0 otherwise.
        #[serde(rename = "f")]
        free: u32,
        /// The lowest counter among the backlogged organisations, if there are any.
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        least: Option<i64>,
        /// The service of the organisations for which it changed.
        #[serde(rename = "s")]
        served: Vec<ServiceReceived>,
        /// The time until an upstream of the pool takes requests again, if all have asked for none.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        backoff_left: Option<Millis>,
    },
    /// Returns to a new dispatcher the known service of its failure domain.
    #[serde(rename = "k")]
    Recall {
        /// The service received in the failure domain of the receiver.
        #[serde(rename = "s")]
        served: Vec<ServiceReceived>,
    },
}

impl DispatchBody {
    /// Returns the kind of the message, by which metrics count messages.
    pub fn kind(&self) -> &'static str {
        match self {
            DispatchBody::Open { .. } => "open",
            DispatchBody::Report { .. } => "report",
            DispatchBody::Close { .. } => "close",
            DispatchBody::Grants { .. } => "grants",
            DispatchBody::Ack { .. } => "ack",
            DispatchBody::Resync => "resync",
            DispatchBody::Exchange { .. } => "exchange",
            DispatchBody::Recall { .. } => "recall",
        }
    }
}
