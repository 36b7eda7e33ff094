//! Messages about dispatcher leases.

use serde::{Deserialize, Serialize};

use crate::core::Service;

/// A lease asked for, granted or announced.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim(
    /// The service whose pool in the sender's failure domain is meant.
    pub Service,
    /// The term of the lease.
    pub u64,
);

/// A message about the leases of one failure domain; one message carries many pools.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks a voter to grant or renew leases.
    #[serde(rename = "q")]
    Request {
        /// Tells rounds of one sender apart; the reply repeats it.
        #[serde(rename = "r")]
        round: u64,
        /// The leases asked for.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
    /// A voter's answer.
    #[serde(rename = "a")]
    Reply {
        /// The round of the request.
        #[serde(rename = "r")]
        round: u64,
        /// The leases granted.
        #[serde(rename = "g")]
        granted: Vec<Claim>,
        /// The leases refused, with the highest term the voter knows.
        #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
        refused: Vec<Claim>,
        /// Services of which requests still run here under a static share.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        sharing: Vec<Service>,
    },
    /// Tells who holds leases; an instance without a vote answers it as a request.
    #[serde(rename = "h")]
    Announce {
        /// The leases the sender holds.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
    /// Gives leases up, so that a successor needn't wait them out.
    #[serde(rename = "x")]
    Release {
        /// The leases given up.
        #[serde(rename = "p")]
        claims: Vec<Claim>,
    },
}
