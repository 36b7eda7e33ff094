//! Messages between entries and dispatchers, and among the dispatchers of one service.
//!
//! An entry and a dispatcher talk in a session. Its opening message carries everything the entry
//! waits for and holds; later messages carry changes. Whatever is lost between them is repaired by
//! opening the next session, so no message needs a delivery guarantee of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Pool;
use crate::core::{FailureDomain, Instance, Organisation, OrganisationTag, UpstreamName};

/// Names a session: the entry's process and a number that grows within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session(
    /// A number that differs between two processes of one instance name.
    pub u64,
    /// The number of the session within the process.
    pub u64,
);

impl Session {
    /// Returns the short name that messages within the session carry.
    pub fn tag(self) -> SessionTag {
        SessionTag(((self.0 & 0xffff) << 16) as u32 | (self.1 & 0xffff) as u32)
    }
}

/// The short name of a session, told apart from those of the same two instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionTag(pub u32);

/// Names a grant within its pool: the term of the dispatcher and a number within the term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(
    /// The dispatcher's term.
    pub u64,
    /// The number within the term.
    pub u64,
);

/// Terms of static shares have this bit, so that their grants differ from a dispatcher's.
pub const STATIC_TERM: u64 = 1 << 63;

impl GrantId {
    /// Tells whether the grant is of a static share.
    pub fn is_static(self) -> bool {
        self.0 & STATIC_TERM != 0
    }
}

/// A slot of an upstream, given to an organisation's next request at an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Its name.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// Whose request may use it.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Where the upstream listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// A grant an entry still uses when it opens a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its name.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// Whose request uses it.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The cost so far.
    #[serde(rename = "c")]
    pub cost: u32,
}

/// How the use of a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The upstream answered whole.
    #[serde(rename = "d")]
    Completed,
    /// The entry had no request for it, or its caller hung up.
    #[serde(rename = "u")]
    Unused,
    /// The upstream refused the request as more than it can bear.
    #[serde(rename = "r")]
    Refused,
    /// The upstream failed to answer.
    #[serde(rename = "f")]
    Failed,
}

/// A grant whose use has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    /// Its name.
    #[serde(rename = "i")]
    pub id: GrantId,
    /// How it ended.
    #[serde(rename = "e")]
    pub ending: Ending,
    /// What the request cost.
    #[serde(rename = "c")]
    pub cost: u32,
    /// Time from sending to the first byte of the answer, in milliseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub first_byte_ms: Option<u32>,
}

/// Requests of one organisation that wait at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting(
    /// The organisation.
    pub Organisation,
    /// How many wait.
    pub u32,
);

/// Service an organisation received in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served(
    /// The organisation.
    pub OrganisationTag,
    /// Service over share received in the sender's failure domain; it only grows.
    pub i64,
    /// The level the organisation was lifted to when it last became backlogged; it only grows.
    pub i64,
);

/// A dispatcher of the same service that has slots for the sender's organisations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer(
    /// Its failure domain.
    pub FailureDomain,
    /// The instance that holds its lease.
    pub Instance,
);

/// A message from an entry to a dispatcher, the other way, or between dispatchers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchMessage {
    /// The pool it is about.
    #[serde(rename = "p")]
    pub pool: Pool,
    /// The term of the dispatcher it is for or from; zero where the sender knows none.
    #[serde(rename = "t")]
    pub term: u64,
    /// The instance that wrote it, where another one has passed it on.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Instance>,
    /// What it says.
    #[serde(rename = "b")]
    pub body: DispatchBody,
}

/// What a [`DispatchMessage`] says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DispatchBody {
    /// Opens a session with all that waits and all that is held.
    #[serde(rename = "o")]
    Open {
        /// The session.
        #[serde(rename = "s")]
        session: Session,
        /// All that waits.
        #[serde(rename = "w")]
        waiting: Vec<Waiting>,
        /// All grants of the pool in use.
        #[serde(rename = "h")]
        held: Vec<Held>,
    },
    /// Reports changes within a session.
    #[serde(rename = "r")]
    Report {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// Counts reports within the session, from 1.
        #[serde(rename = "n")]
        seq: u64,
        /// Grants received in the session so far; the counts below already leave them out.
        #[serde(rename = "k")]
        received: u64,
        /// New counts of the organisations whose count changed.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        waiting: Vec<Waiting>,
        /// Grants whose use has ended.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        finished: Vec<Finished>,
        /// Grants that have cost more than expected so far.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        progress: Vec<(GrantId, u32)>,
    },
    /// Ends a session that has nothing left to say.
    #[serde(rename = "x")]
    Close {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
    },
    /// Gives slots.
    #[serde(rename = "g")]
    Grants {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// The last report the dispatcher has received, zero for the opening.
        #[serde(rename = "k")]
        heard: u64,
        /// The slots.
        #[serde(rename = "g")]
        grants: Vec<Grant>,
    },
    /// Tells an entry that its session lives, how much was granted in it, and who else has slots.
    #[serde(rename = "a")]
    Ack {
        /// The session.
        #[serde(rename = "s")]
        session: SessionTag,
        /// Grants sent in the session so far; a larger count than received shows a loss.
        #[serde(rename = "n")]
        granted: u64,
        /// Other dispatchers with slots.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        offers: Vec<Offer>,
    },
    /// Asks an entry to open its next session.
    #[serde(rename = "y")]
    Resync,
    /// Tells another dispatcher of the service what was served here.
    #[serde(rename = "e")]
    Exchange {
        /// Slots that nothing waits for.
        #[serde(rename = "f")]
        free: u32,
        /// The least counter among the backlogged, if any is.
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        least: Option<i64>,
        /// Service of the organisations that changed.
        #[serde(rename = "s")]
        served: Vec<Served>,
    },
    /// Returns to a new dispatcher what is known of its failure domain's service.
    #[serde(rename = "k")]
    Recall {
        /// Service received in the addressed failure domain.
        #[serde(rename = "s")]
        served: Vec<Served>,
    },
}

impl DispatchBody {
    /// Returns what kind of message it is, for counting.
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
