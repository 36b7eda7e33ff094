//! Messages between instances and the durable record, and the commands that change the record.

use serde::{Deserialize, Serialize};

use super::{
    order::{SetupChange, UpstreamOrder},
    rollout::{Rollout, RolloutOrder, RolloutReport, RolloutStage},
};
use crate::core::{
    FailureDomain, Instance, Millis, Organisation, Service, UpstreamName, code::CodedError,
};

/// Identifies the claim of a request key by the claiming process and a number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(
    /// A random number that identifies the process.
    pub u64,
    /// The sequence number of the claim within the process.
    pub u64,
);

/// The idempotency key of a request, as stored in the record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The requested service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The organisation of the caller. It is part of the key, so equal keys of two organisations
    /// do not collide.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The key chosen by the caller.
    #[serde(rename = "k")]
    pub key: String,
}

/// An answer stored for replay to a repeated request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The content type.
    #[serde(rename = "t")]
    pub content_type: String,
    /// The body; `None` if it was too large to store.
    #[serde(rename = "b")]
    pub body: Option<String>,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request ran and was answered.
    #[serde(rename = "d")]
    Done(StoredAnswer),
    /// The request is known not to have run, so the key may be claimed again.
    #[serde(rename = "r")]
    Released,
    /// The request may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// A command of the record's replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a document in force.
    #[serde(rename = "a")]
    ApplyDocument {
        /// The id of the change. A repeated change with the same id gets the first reply.
        #[serde(rename = "i")]
        change: String,
        /// The service.
        #[serde(rename = "s")]
        service: Service,
        /// The revision on which the change is based; 0 for a new document.
        #[serde(rename = "r")]
        base: u64,
        /// The text of the document.
        #[serde(rename = "t")]
        text: String,
    },
    /// Takes a failure domain out of service or back in.
    #[serde(rename = "d")]
    SetDomain {
        /// The id of the change.
        #[serde(rename = "i")]
        change: String,
        /// The failure domain.
        #[serde(rename = "f")]
        domain: FailureDomain,
        /// Whether the failure domain is out of service.
        #[serde(rename = "x")]
        out: bool,
    },
    /// Marks an upstream as leaving or clears the mark. A leaving upstream gets no new requests.
    #[serde(rename = "l")]
    SetLeaving {
        /// The id of the change.
        #[serde(rename = "i")]
        change: String,
        /// The upstream.
        #[serde(rename = "u")]
        upstream: UpstreamName,
        /// Whether the upstream is leaving.
        #[serde(rename = "x")]
        leaving: bool,
    },
    /// Changes the desired setup of an upstream.
    #[serde(rename = "o")]
    Order {
        /// The id of the change.
        #[serde(rename = "i")]
        change: String,
        /// The upstream.
        #[serde(rename = "u")]
        upstream: UpstreamName,
        /// The change of the setup.
        #[serde(rename = "x")]
        setup: SetupChange,
    },
    /// Claims a request key before the request is sent.
    #[serde(rename = "c")]
    Claim {
        /// The id of the claim.
        #[serde(rename = "i")]
        id: ClaimId,
        /// The key.
        #[serde(rename = "k")]
        key: RequestKey,
        /// A digest of the method, path and body. A request with the same key but another digest is
        /// refused.
        #[serde(rename = "g")]
        digest: u128,
        /// How long the request may take, measured in the time of the record.
        #[serde(rename = "m")]
        span: Millis,
    },
    /// Adds or removes a replica of the record.
    #[serde(rename = "m")]
    ChangeMembers {
        /// Whether to add the replica; otherwise it is removed.
        #[serde(rename = "x")]
        add: bool,
        /// The instance of the replica.
        #[serde(rename = "n")]
        instance: Instance,
        /// The replica number, if the instance has several replicas; `None` for its only replica or
        /// for the replica to add.
        #[serde(rename = "r")]
        replica: Option<u64>,
    },
    /// Replaces the complete configuration, if its version is higher than the one in force.
    #[serde(rename = "w")]
    Replace(StoredConfiguration),
    /// Reads the complete configuration.
    ///
    /// A read is committed as a log entry like a change. Its reply therefore includes every change
    /// that was acknowledged before the read was sent, without relying on clocks.
    #[serde(rename = "g")]
    Read,
    /// Begins a rollout.
    #[serde(rename = "v")]
    StartRollout {
        /// The id of the change; `None` if the operator's orders have none. An order is then
        /// recognised as a resend by its content.
        #[serde(rename = "i")]
        change: Option<String>,
        /// The order.
        #[serde(rename = "o")]
        order: RolloutOrder,
    },
    /// Changes the stage of a rollout, if it is still the given one.
    #[serde(rename = "n")]
    AdvanceRollout {
        /// The rollout.
        #[serde(rename = "n")]
        id: u64,
        /// The service.
        #[serde(rename = "s")]
        service: Service,
        /// The stage until now.
        #[serde(rename = "f")]
        from: RolloutStage,
        /// The new stage.
        #[serde(rename = "t")]
        to: RolloutStage,
    },
    /// Reads the last rollout of a service. It is committed as [`Command::Read`] is.
    #[serde(rename = "y")]
    ReadRollout(Service),
    /// Carries out an operator's change if what it changes has not changed after an index of the
    /// record.
    ///
    /// A change may wait anywhere on its way to the record, in a process that is suspended or on a
    /// link that is cut, until its operator has given it up and made later ones. The index shows
    /// that it is older than those; clocks of two instances would not.
    #[serde(rename = "z")]
    IfUnchanged {
        /// The index that the instance knew before the operator sent the change.
        #[serde(rename = "i")]
        since: u64,
        /// The change.
        #[serde(rename = "c")]
        command: Box<Command>,
    },
    /// Settles a claim with the outcome of its request.
    #[serde(rename = "e")]
    Settle {
        /// The id of the claim.
        #[serde(rename = "i")]
        id: ClaimId,
        /// The key.
        #[serde(rename = "k")]
        key: RequestKey,
        /// The outcome of the request.
        #[serde(rename = "s")]
        settlement: Settlement,
    },
}

impl Command {
    /// Returns the change that the command carries out, without the condition for it.
    pub fn unconditional(&self) -> &Command {
        match self {
            Command::IfUnchanged { command, .. } => command.unconditional(),
            command => command,
        }
    }

    /// Returns the id of the change, if it has one.
    pub fn change_id(&self) -> Option<&str> {
        match self.unconditional() {
            Command::ApplyDocument { change, .. }
            | Command::SetDomain { change, .. }
            | Command::SetLeaving { change, .. }
            | Command::Order { change, .. }
            | Command::StartRollout { change: Some(change), .. } => Some(change),
            _ => None,
        }
    }
}

/// The reply of the record to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was accepted.
    #[serde(rename = "a")]
    Accepted {
        /// The new revision of the service's document or version of the configuration; 0 for other
        /// changes.
        #[serde(rename = "r")]
        revision: u64,
        /// The index of the change in the record. The change is in force at instances whose own
        /// index is at least this high.
        #[serde(rename = "i")]
        index: u64,
    },
    /// The key was claimed, so the request may be sent.
    #[serde(rename = "c")]
    Claimed,
    /// The request ran earlier, with this answer.
    #[serde(rename = "r")]
    Replay(StoredAnswer),
    /// The members after the change.
    #[serde(rename = "m")]
    Members(Vec<super::consensus::Member>),
    /// The complete configuration in force, if there is one.
    #[serde(rename = "w")]
    Configuration(Option<StoredConfiguration>),
    /// The last rollout of a service, if there was one.
    #[serde(rename = "v")]
    Rollout(Option<Rollout>),
    /// The claim was settled.
    #[serde(rename = "s")]
    Settled,
    /// The command was refused.
    #[serde(rename = "e")]
    Refused(CodedError),
}

/// A complete configuration, as sent by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// The version.
    #[serde(rename = "v")]
    pub version: u64,
    /// The text.
    #[serde(rename = "t")]
    pub text: std::sync::Arc<str>,
    /// The index of the change in the record; 0 until the change is applied.
    #[serde(rename = "i")]
    pub index: u64,
    /// The services that it configures.
    #[serde(rename = "s", default)]
    pub services: Vec<Service>,
}

/// A document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The revision; the first one is 1.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The index of the change in the record.
    #[serde(rename = "i")]
    pub index: u64,
    /// The text.
    #[serde(rename = "t")]
    pub text: String,
}

/// Whether a failure domain is out of service or an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Availability<N> {
    /// The name of the failure domain or upstream.
    #[serde(rename = "n")]
    pub name: N,
    /// Whether the failure domain is out of service, or the upstream is leaving.
    #[serde(rename = "x")]
    pub out: bool,
    /// The index of the change in the record.
    #[serde(rename = "i")]
    pub index: u64,
}

/// A message between an instance and the record, or between instances that pass on its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Requests everything that changed after an index of the record.
    #[serde(rename = "q")]
    Pull {
        /// The index up to which the sender knows the record.
        #[serde(rename = "h")]
        have: u64,
        /// The time of the request by the sender's clock, echoed in the answer.
        #[serde(rename = "s")]
        asked: Millis,
    },
    /// Sends the changed state.
    #[serde(rename = "s")]
    State {
        /// The index of the last included change.
        #[serde(rename = "i")]
        index: u64,
        /// The index after which changes are included. Earlier changes are assumed to be known; a
        /// receiver whose own index is lower does not advance it.
        #[serde(rename = "b")]
        since: u64,
        /// The time of the request by the receiver's clock; `None` if the state was not requested.
        #[serde(rename = "s")]
        asked: Option<Millis>,
        /// The time since a majority confirmed that this state is the newest; `None` if another
        /// entry sends it, or a control instance that cannot reach a majority.
        #[serde(rename = "a")]
        age: Option<Millis>,
        /// The changed documents.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        documents: Vec<StoredDocument>,
        /// The changed failure domains.
        #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
        domains: Vec<Availability<FailureDomain>>,
        /// The changed upstreams.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        upstreams: Vec<Availability<UpstreamName>>,
        /// The changed orders to upstreams.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        orders: Vec<UpstreamOrder>,
        /// The complete configuration, if it changed.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        configuration: Option<StoredConfiguration>,
        /// The changed rollouts.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        rollouts: Vec<Rollout>,
    },
    /// Reports what an entry has seen of a rollout.
    #[serde(rename = "v")]
    RolloutReport(RolloutReport),
    /// Proposes a command.
    #[serde(rename = "p")]
    Propose {
        /// The id of the proposal, unique for its sender.
        #[serde(rename = "n")]
        id: u64,
        /// The command.
        #[serde(rename = "c")]
        command: Command,
    },
    /// Answers a proposal whose command was applied or refused.
    #[serde(rename = "a")]
    Answer {
        /// The id of the proposal.
        #[serde(rename = "n")]
        id: u64,
        /// The reply.
        #[serde(rename = "r")]
        reply: Reply,
    },
    /// Answers a proposal that was sent to an instance other than the leader.
    #[serde(rename = "x")]
    Redirect {
        /// The id of the proposal.
        #[serde(rename = "n")]
        id: u64,
        /// The leader, if known.
        #[serde(rename = "l")]
        leader: Option<Instance>,
    },
}

impl RecordMessage {
    /// Returns when, by the clock of the requester, a majority confirmed that this state is the
    /// newest. Returns `None` if the message does not answer a [`RecordMessage::Pull`] or carries
    /// no confirmation.
    pub fn confirmed(&self) -> Option<Millis> {
        match self {
            RecordMessage::State { asked, age, .. } => Some(asked.as_ref()?.since((*age)?)),
            _ => None,
        }
    }
}
