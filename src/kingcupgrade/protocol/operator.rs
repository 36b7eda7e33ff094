//! What the operator's tool asks an instance, as JSON over HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    consensus::Member,
    order::UpstreamOrder,
    record::{Command, Reply, Standing, StoredDocument},
};
use crate::core::{FailureDomain, Instance, Service, UpstreamName, code::CodedError};

/// The path of operators' requests.
pub const OPERATOR_PATH: &str = "/v1/operator";

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum OperatorRequest {
    /// What the instance knows and does.
    Status,
    /// The document of a service in force at the instance.
    Document {
        /// The service.
        service: Service,
    },
    /// The kept revisions of a document; only control instances have them.
    History {
        /// The service.
        service: Service,
    },
    /// A change of the record.
    Change {
        /// The change.
        command: Command,
    },
    /// The members of the record; only control instances know them.
    Members,
    /// The whole state of the record; only control instances have it.
    Backup,
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum OperatorReply {
    /// Answers [`OperatorRequest::Status`].
    Status(Box<Status>),
    /// Answers [`OperatorRequest::Document`].
    Document(StoredDocument),
    /// Answers [`OperatorRequest::History`].
    History {
        /// The revisions, the newest last.
        revisions: Vec<StoredDocument>,
    },
    /// Answers [`OperatorRequest::Change`].
    Changed {
        /// What the record answered.
        reply: Reply,
    },
    /// Answers [`OperatorRequest::Members`].
    Members {
        /// The members.
        members: Vec<Member>,
        /// Who leads, if known.
        leader: Option<Instance>,
    },
    /// Answers [`OperatorRequest::Backup`].
    Backup(Backup),
    /// The request can't be answered.
    Failed(CodedError),
}

/// The state of the record at one place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Backup {
    /// The last entry included.
    pub index: u64,
    /// Whether a majority confirmed of late that this is the newest.
    pub confirmed: bool,
    /// The state, encoded, in hex.
    pub data: String,
}

/// What an instance knows and does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: Instance,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The place in the record up to which its configuration reaches.
    pub index: u64,
    /// Whether that was confirmed to be the newest of late.
    pub fresh: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Revisions in force, by service.
    pub revisions: BTreeMap<Service, u64>,
    /// Failure domains that were ever taken out.
    pub domains: Vec<Standing<FailureDomain>>,
    /// Orders to upstreams that stand.
    pub orders: Vec<UpstreamOrder>,
    /// Callers' requests open.
    pub open_requests: usize,
    /// The pools it dispatches.
    pub pools: Vec<PoolStatus>,
    /// Its part in the record, if it is a control instance.
    pub control: Option<ControlStatus>,
}

/// A pool an instance dispatches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The service.
    pub service: Service,
    /// The term of the lease; none for a static share.
    pub term: Option<u64>,
    /// Organisations with requests waiting.
    pub backlogged: usize,
    /// How far orders to its upstreams are carried out: their number, and words for people.
    pub orders: BTreeMap<UpstreamName, (u64, String)>,
    /// Requests in use and limit, by upstream.
    pub upstreams: BTreeMap<UpstreamName, (u32, u32)>,
}

/// A control instance's part in the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The current term.
    pub term: u64,
    /// Who leads, if known.
    pub leader: Option<Instance>,
    /// The last final entry.
    pub commit: u64,
    /// Request keys remembered.
    pub keys: usize,
    /// Why it has stopped taking part, if it has.
    pub failure: Option<CodedError>,
}
