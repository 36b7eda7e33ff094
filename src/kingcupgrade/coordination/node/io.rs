//! The inputs and outputs of a node.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::Serialize;

use crate::{
    coordination::{
        decision::Decision,
        dispatcher::slots::Listed,
        entry::{Arrival, AttemptEnd, RequestId},
        notices::UpstreamNotice,
        orders::{EngineRequest, EngineRequestId, EngineResponse},
    },
    core::{Code, Instance, Millis, Service, UpstreamName, code::CodedError},
    protocol::{
        Message,
        operator::{OperatorReply, OperatorRequest},
        record::{RequestKey, StoredAnswer},
    },
    state::log::Persist,
};

/// Identifies an operator's request that awaits a reply.
pub type Ticket = u64;

/// The key of a request, which must be claimed before the request is sent.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The key.
    pub key: RequestKey,
    /// Digest of method, path and body.
    pub digest: u128,
}

/// An event that the node handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived from an authenticated instance.
    Received(Instance, Message),
    /// A connection to an instance could not be established.
    DialFailed {
        /// The instance.
        instance: Instance,
        /// Whether its host refused the connection because no process listens on the address;
        /// otherwise the attempt timed out or failed in another way.
        refused: bool,
    },
    /// A caller's request arrived.
    Arrived(Arrival, Option<KeyedRequest>),
    /// An attempt to run a request on an upstream ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The outcome.
        end: AttemptEnd,
        /// The cost of the attempt.
        cost: u32,
        /// Time from sending the request to the first byte of the answer, in milliseconds.
        first_byte_ms: Option<u32>,
        /// The answer to store for the request key.
        answer: Option<StoredAnswer>,
    },
    /// An upstream asks for something on its answer to a request.
    Noticed(RequestId, UpstreamNotice),
    /// The cost of a running request so far.
    Progressed(RequestId, u32),
    /// A caller disconnected before its request was sent.
    HungUp(RequestId),
    /// The platform listed a service's upstreams in this failure domain.
    Listed(Service, Vec<Listed>),
    /// An engine answered a request, or failed to.
    EngineResponded(EngineRequestId, EngineResponse),
    /// An engine asks for something on its answer to a request.
    EngineNoticed(EngineRequestId, UpstreamNotice),
    /// A request from an operator arrived.
    OperatorRequest(Ticket, OperatorRequest),
    /// The disk failed; the control replica must stop.
    StorageFailed(CodedError),
    /// The instance is to shut down.
    Drain,
    /// Time has passed.
    Tick,
}

/// An action the caller must carry out; outputs are ordered.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write to disk and sync before any later output is carried out.
    Persist(Persist),
    /// Send a message.
    Send(Instance, Message),
    /// Send a request to an upstream.
    Start {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// The upstream's address.
        address: SocketAddr,
    },
    /// Refuse a caller's request.
    GiveUp {
        /// The request.
        id: RequestId,
        /// The reason.
        code: Code,
        /// How long the caller should wait before it retries.
        retry_after: Millis,
    },
    /// Answer a caller with the stored answer of an earlier request.
    Replay(RequestId, StoredAnswer),
    /// Reply to an operator.
    OperatorReply(Ticket, OperatorReply),
    /// Poll the platform for the upstreams of exactly these services from now on.
    Watch(BTreeSet<Service>),
    /// Send a request to an engine.
    EngineRequest(EngineRequest),
    /// The configuration changed.
    ViewChanged,
    /// A caller's request is closed; no further output concerns it.
    Finished(RequestId),
    /// Log a decision.
    Decided(Decision),
}

/// A control instance's state in the consensus on the record, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RecordStanding {
    /// The current term.
    pub term: u64,
    /// The leader that it follows; itself if it leads; `None` if none is known.
    pub leader: Option<Instance>,
}
