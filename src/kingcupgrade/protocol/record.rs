//! Messages between any instance and the durable record, and the commands the record holds.

use serde::{Deserialize, Serialize};

use super::order::{SetupChange, UpstreamOrder};
use crate::core::{
    FailureDomain, Instance, Millis, Organisation, Service, UpstreamName, code::CodedError,
};

/// Names a request key's claim: the claiming process and a number within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(
    /// A random number that no other process has.
    pub u64,
    /// The number within the process.
    pub u64,
);

/// A caller's request key, as the record files it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The service called.
    #[serde(rename = "s")]
    pub service: Service,
    /// The organisation that called; keys of two organisations never meet.
    #[serde(rename = "o")]
    pub organisation: Organisation,
    /// The caller's key.
    #[serde(rename = "k")]
    pub key: String,
}

/// An answer kept for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The content type.
    #[serde(rename = "t")]
    pub content_type: String,
    /// The body; `None` where it was too large to keep.
    #[serde(rename = "b")]
    pub body: Option<String>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It ran and was answered.
    #[serde(rename = "d")]
    Done(KeptAnswer),
    /// It surely did not run; the key may be claimed again.
    #[serde(rename = "r")]
    Released,
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// A change of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a document in force.
    #[serde(rename = "a")]
    ApplyDocument {
        /// Names the change; a resend under the same name gets the first answer.
        #[serde(rename = "i")]
        change: String,
        /// The service.
        #[serde(rename = "s")]
        service: Service,
        /// The revision the change was made from, zero for a new document.
        #[serde(rename = "r")]
        base: u64,
        /// The document as its author wrote it.
        #[serde(rename = "t")]
        text: String,
    },
    /// Takes a failure domain out of service or back in.
    #[serde(rename = "d")]
    SetDomain {
        /// Names the change.
        #[serde(rename = "i")]
        change: String,
        /// The failure domain.
        #[serde(rename = "f")]
        domain: FailureDomain,
        /// Whether it is out.
        #[serde(rename = "x")]
        out: bool,
    },
    /// Lets an upstream leave or stay.
    #[serde(rename = "l")]
    SetLeaving {
        /// Names the change.
        #[serde(rename = "i")]
        change: String,
        /// The upstream.
        #[serde(rename = "u")]
        upstream: UpstreamName,
        /// Whether it leaves.
        #[serde(rename = "x")]
        leaving: bool,
    },
    /// Changes the setup wanted of an upstream.
    #[serde(rename = "o")]
    Order {
        /// Names the change.
        #[serde(rename = "i")]
        change: String,
        /// The upstream.
        #[serde(rename = "u")]
        upstream: UpstreamName,
        /// What changes.
        #[serde(rename = "x")]
        setup: SetupChange,
    },
    /// Claims a request key before the request is sent.
    #[serde(rename = "c")]
    Claim {
        /// Names the claim.
        #[serde(rename = "i")]
        id: ClaimId,
        /// The key.
        #[serde(rename = "k")]
        key: RequestKey,
        /// Digest of method, path and body; another request under the key is refused.
        #[serde(rename = "g")]
        digest: u128,
        /// How long the request may take, by the record's time.
        #[serde(rename = "m")]
        span: Millis,
    },
    /// Adds or removes a replica of the record.
    #[serde(rename = "m")]
    ChangeMembers {
        /// Whether to add it.
        #[serde(rename = "x")]
        add: bool,
        /// Its instance.
        #[serde(rename = "n")]
        instance: Instance,
        /// Which of the instance's replicas; `None` for the only one, or the one to add.
        #[serde(rename = "r")]
        replica: Option<u64>,
    },
    /// Replaces the whole configuration, if its version is higher than the one in force.
    #[serde(rename = "w")]
    Replace(StoredConfiguration),
    /// Reads the whole configuration.
    ///
    /// It takes a place in the log like a change, so the answer is newer than every change that
    /// was acknowledged before the question, without trust in any clock.
    #[serde(rename = "g")]
    Read,
    /// Ends a claim.
    #[serde(rename = "e")]
    Settle {
        /// The claim.
        #[serde(rename = "i")]
        id: ClaimId,
        /// The key.
        #[serde(rename = "k")]
        key: RequestKey,
        /// How the request ended.
        #[serde(rename = "s")]
        settlement: Settlement,
    },
}

/// What the record answers to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The document is accepted under this revision.
    #[serde(rename = "a")]
    Accepted {
        /// The new revision of the service's document.
        #[serde(rename = "r")]
        revision: u64,
        /// The place of the change in the record; in force where an instance's index reaches it.
        #[serde(rename = "i")]
        index: u64,
    },
    /// The key is the claimer's; the request may be sent.
    #[serde(rename = "c")]
    Claimed,
    /// The request ran earlier.
    #[serde(rename = "r")]
    Replay(KeptAnswer),
    /// The members are these now.
    #[serde(rename = "m")]
    Members(Vec<super::consensus::Member>),
    /// The whole configuration in force, if there is one.
    #[serde(rename = "w")]
    Whole(Option<StoredConfiguration>),
    /// The claim is settled.
    #[serde(rename = "s")]
    Settled,
    /// The command is refused.
    #[serde(rename = "e")]
    Refused(CodedError),
}

/// A whole configuration as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its version.
    #[serde(rename = "v")]
    pub version: u64,
    /// The text.
    #[serde(rename = "t")]
    pub text: std::sync::Arc<str>,
    /// The place of the change in the record; 0 before it has one.
    #[serde(rename = "i")]
    pub index: u64,
}

/// A document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// Its revision, from 1.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The place of the change in the record.
    #[serde(rename = "i")]
    pub index: u64,
    /// The text.
    #[serde(rename = "t")]
    pub text: String,
}

/// A standing of a failure domain or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing<N> {
    /// Whose standing it is.
    #[serde(rename = "n")]
    pub name: N,
    /// Whether it is out or leaving.
    #[serde(rename = "x")]
    pub out: bool,
    /// The place of the change in the record.
    #[serde(rename = "i")]
    pub index: u64,
}

/// A message about the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Asks for everything that changed after a place in the record.
    #[serde(rename = "q")]
    Pull {
        /// The place.
        #[serde(rename = "h")]
        have: u64,
        /// The asker's clock; the answer repeats it.
        #[serde(rename = "s")]
        asked: Millis,
    },
    /// What changed.
    #[serde(rename = "s")]
    State {
        /// The place of the last change included.
        #[serde(rename = "i")]
        index: u64,
        /// The place after which changes are included; what is older is taken as known.
        #[serde(rename = "b")]
        since: u64,
        /// The asker's clock, as it was sent; `None` where nobody asked.
        #[serde(rename = "s")]
        asked: Option<Millis>,
        /// How long ago a majority confirmed that this is the newest; `None` from a neighbour,
        /// or from a control instance that can't reach a majority.
        #[serde(rename = "a")]
        age: Option<Millis>,
        /// Documents.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        documents: Vec<StoredDocument>,
        /// Failure domains.
        #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
        domains: Vec<Standing<FailureDomain>>,
        /// Upstreams.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        upstreams: Vec<Standing<UpstreamName>>,
        /// Orders to upstreams.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        orders: Vec<UpstreamOrder>,
        /// The whole configuration.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        whole: Option<StoredConfiguration>,
    },
    /// Asks for a change.
    #[serde(rename = "p")]
    Propose {
        /// Tells the sender's proposals apart.
        #[serde(rename = "n")]
        id: u64,
        /// The change.
        #[serde(rename = "c")]
        command: Command,
    },
    /// The change was applied, or can't be.
    #[serde(rename = "a")]
    Answer {
        /// The proposal.
        #[serde(rename = "n")]
        id: u64,
        /// The answer.
        #[serde(rename = "r")]
        reply: Reply,
    },
    /// The addressed instance does not lead the record.
    #[serde(rename = "x")]
    Redirect {
        /// The proposal.
        #[serde(rename = "n")]
        id: u64,
        /// Who leads, if known.
        #[serde(rename = "l")]
        leader: Option<Instance>,
    },
}

impl RecordMessage {
    /// Returns when a majority confirmed that this state is the newest, by the asker's clock, if
    /// this answers a question and a majority did.
    pub fn confirmed(&self) -> Option<Millis> {
        match self {
            RecordMessage::State { asked, age, .. } => Some(asked.as_ref()?.since((*age)?)),
            _ => None,
        }
    }
}
