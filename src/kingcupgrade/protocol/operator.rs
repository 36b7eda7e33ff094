//! Requests from the operator's command line to an instance, as JSON over HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    consensus::Member,
    order::UpstreamOrder,
    record::{Availability, Command, Reply, StoredDocument},
    rollout::Rollout,
};
use crate::core::{FailureDomain, Instance, Service, UpstreamName, code::CodedError};

/// The HTTP path of operator requests.
pub const OPERATOR_PATH: &str = "/v1/operator";

/// A request to an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum OperatorRequest {
    /// Returns the status of the instance.
    Status,
    /// Returns the document of a service that is in force at the instance.
    Document {
        /// The service.
        service: Service,
    },
    /// Returns the stored revisions of a document. Only control instances have them.
    History {
        /// The service.
        service: Service,
    },
    /// Changes the record.
    Change {
        /// The command to apply.
        command: Command,
    },
    /// Returns the members of the record. Only control instances know them.
    Members,
    /// Returns the complete state of the record. Only control instances have it.
    Backup,
}

/// An answer to an [`OperatorRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum OperatorReply {
    /// Answers [`OperatorRequest::Status`].
    Status(Box<Status>),
    /// Answers [`OperatorRequest::Document`].
    Document(StoredDocument),
    /// Answers [`OperatorRequest::History`].
    History {
        /// The revisions, oldest first.
        revisions: Vec<StoredDocument>,
    },
    /// Answers [`OperatorRequest::Change`].
    Changed {
        /// The reply of the record.
        reply: Reply,
    },
    /// Answers [`OperatorRequest::Members`].
    Members {
        /// The members.
        members: Vec<Member>,
        /// The leader, if known.
        leader: Option<Instance>,
    },
    /// Answers [`OperatorRequest::Backup`].
    Backup(Backup),
    /// The request failed.
    Failed(CodedError),
}

/// The state of the record up to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Backup {
    /// The index of the last included entry.
    pub index: u64,
    /// Whether a majority recently confirmed that this is the newest state.
    pub confirmed: bool,
    /// The encoded state, in hexadecimal.
    pub data: String,
}

/// The status of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: Instance,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// The index in the record of the newest change included in its configuration.
    pub index: u64,
    /// Whether its configuration was recently confirmed to be the newest.
    pub fresh: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The revisions in force, by service.
    pub revisions: BTreeMap<Service, u64>,
    /// The failure domains that have ever been taken out of service, with their current state.
    pub domains: Vec<Availability<FailureDomain>>,
    /// The orders to upstreams that are in force.
    pub orders: Vec<UpstreamOrder>,
    /// The rollouts of all services, the latest of each last.
    #[serde(default)]
    pub rollouts: Vec<Rollout>,
    /// The number of open requests of callers.
    pub open_requests: usize,
    /// The pools for which it is the dispatcher.
    pub pools: Vec<PoolStatus>,
    /// The state of its replica of the record, if it is a control instance.
    pub control: Option<ControlStatus>,
}

/// The status of a pool at its dispatcher.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The service.
    pub service: Service,
    /// The term of the lease; `None` for a static share.
    pub term: Option<u64>,
    /// The number of organisations with queued requests.
    pub backlogged: usize,
    /// The progress of the orders to its upstreams: the fencing number of each order and a
    /// human-readable state.
    pub orders: BTreeMap<UpstreamName, (u64, String)>,
    /// The slots in use and the limit, by upstream.
    pub upstreams: BTreeMap<UpstreamName, (u32, u32)>,
}

/// The status of a control instance's replica of the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Instance>,
    /// The index of the last committed entry.
    pub commit: u64,
    /// The number of request keys in the record.
    pub keys: usize,
    /// The failure because of which the replica no longer participates, if any.
    pub failure: Option<CodedError>,
}
