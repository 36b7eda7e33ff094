//! What instances say to each other and to operators, and how it is put into bytes.
//!
//! Messages are typed and small: field names are one or two letters on the wire, since control
//! traffic has a budget of 26 KB a second and instance.

pub mod consensus;
pub mod dispatch;
pub mod fleet;
pub mod frame;
pub mod lease;
pub mod operator;
pub mod order;
pub mod record;

use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, Service};

/// The upstreams of one service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool(
    /// The service.
    pub Service,
    /// The failure domain.
    pub FailureDomain,
);

impl std::fmt::Display for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.0, self.1)
    }
}

/// A message from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// About leases on pools.
    #[serde(rename = "l")]
    Lease(lease::LeaseMessage),
    /// Between entries and dispatchers, and among dispatchers.
    #[serde(rename = "d")]
    Dispatch(dispatch::DispatchMessage),
    /// Among the replicas of the durable record.
    #[serde(rename = "c")]
    Consensus(consensus::ConsensusMessage),
    /// Between entries and the durable record.
    #[serde(rename = "r")]
    Record(record::RecordMessage),
    /// Among the instances of a fleet that finds itself.
    #[serde(rename = "f")]
    Fleet(fleet::FleetMessage),
}

impl Message {
    /// Returns what kind of message it is, for counting.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Lease(_) => "lease",
            Message::Dispatch(message) => message.body.kind(),
            Message::Consensus(_) => "consensus",
            Message::Record(_) => "record",
            Message::Fleet(_) => "fleet",
        }
    }
}
