//! The messages exchanged between instances and with operators, and their encoding.
//!
//! Messages are typed. Field names have one or two letters on the wire to keep messages small,
//! because control traffic is limited to 26 KB per second and instance.

pub mod consensus;
pub mod crash;
pub mod dispatch;
pub mod fleet;
pub mod frame;
pub mod lease;
pub mod operator;
pub mod order;
pub mod record;
pub mod rollout;

use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, Service};

/// Identifies the pool of upstreams of one service in one failure domain.
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
    /// A message about dispatcher leases on pools.
    #[serde(rename = "l")]
    Lease(lease::LeaseMessage),
    /// A message between an entry and a dispatcher, or between dispatchers.
    #[serde(rename = "d")]
    Dispatch(dispatch::DispatchMessage),
    /// A message between replicas of the durable record.
    #[serde(rename = "c")]
    Consensus(consensus::ConsensusMessage),
    /// A message between an instance and the durable record.
    #[serde(rename = "r")]
    Record(record::RecordMessage),
    /// A message between instances of a fleet with dynamic membership.
    #[serde(rename = "f")]
    Fleet(fleet::FleetMessage),
    /// What an entry of a fleet without discovery tells the others of crashes.
    #[serde(rename = "k")]
    Crashes(crash::CrashNews),
}

impl Message {
    /// Returns the kind of the message, by which metrics count messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Lease(_) => "lease",
            Message::Dispatch(message) => message.body.kind(),
            Message::Consensus(_) => "consensus",
            Message::Record(_) => "record",
            Message::Fleet(_) => "fleet",
            Message::Crashes(_) => "crashes",
        }
    }
}
