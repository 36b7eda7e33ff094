//! Messages for dispatcher leases.

use serde::{Deserialize, Serialize};

use crate::core::Service;

/// A lease that is requested, granted or announced.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim(
    /// The service of the pool; the failure domain is that of the sender.
    pub Service,
    /// The term of the lease.
    pub u64,
);

/// A message about the leases of one failure domain. One message covers many pools.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks a voter to grant or renew leases.
    #[serde(rename = "q")]
    Request {
        /// The number of the sender's voting round, echoed in the reply.
        #[serde(rename = "r")]
        round: u64,
        /// The requested leases.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
    /// Answers a [`LeaseMessage::Request`], or an announcement if the sender does not vote.
    #[serde(rename = "a")]
    Reply {
        /// The round of the request; 0 if this answers an announcement.
        #[serde(rename = "r")]
        round: u64,
        /// The granted leases.
        #[serde(rename = "g")]
        granted: Vec<Claim>,
        /// The refused leases, with the term of the voter's current vote.
        #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
        refused: Vec<Claim>,
        /// The services for which the sender still runs requests under a static share.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        sharing: Vec<Service>,
    },
    /// Announces the leases of the sender. Instances without a vote reply to it as voters reply to
    /// a request.
    #[serde(rename = "h")]
    Announce {
        /// The leases that the sender holds.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
    /// Releases leases, so that a successor does not have to wait until they expire.
    #[serde(rename = "x")]
    Release {
        /// The released leases.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
}
