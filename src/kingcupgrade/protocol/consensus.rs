//! Messages between the replicas of the durable record, and the entries of their logs.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::record::Command;
use crate::core::{Instance, Millis};

/// The replica number of the initial members of a record.
pub const INITIAL_REPLICA: u64 = 1;

/// Identifies a replica by its instance and data folder. An instance that lost its disk returns as
/// a new replica.
///
/// A replica votes and acknowledges entries based on what is stored on its disk. If it returned
/// with an empty disk under its old identity, it could vote twice in the same term and lack entries
/// that it has acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(
    /// The instance.
    pub Instance,
    /// The number that identifies the data folder among those of the instance.
    pub u64,
);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.0, self.1)
    }
}

/// A member of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    #[serde(rename = "i")]
    pub id: ReplicaId,
    /// Whether the member votes. A non-voting member is still catching up with the log.
    #[serde(rename = "v")]
    pub voter: bool,
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No change. A new leader commits such an entry to learn which entries are committed.
    #[serde(rename = "n")]
    Noop,
    /// A command to apply to the record.
    #[serde(rename = "c")]
    Command(Command),
    /// The members of the record from this entry on.
    #[serde(rename = "m")]
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The index of the entry; the first entry has index 1.
    #[serde(rename = "i")]
    pub index: u64,
    /// The term of the leader that appended the entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// The wall clock of the leader when it appended the entry, in milliseconds since the Unix
    /// epoch.
    #[serde(rename = "w")]
    pub unix_ms: u64,
    /// The payload.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// A position in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The term. Positions are ordered by term first, then by index.
    #[serde(rename = "t")]
    pub term: u64,
    /// The index.
    #[serde(rename = "i")]
    pub index: u64,
}

/// The state of the record up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the snapshot includes.
    #[serde(rename = "p")]
    pub position: Position,
    /// The members as of that entry.
    #[serde(rename = "m")]
    pub members: Vec<Member>,
    /// The encoded state.
    #[serde(rename = "d", with = "bytes")]
    pub data: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// The sender.
    #[serde(rename = "f")]
    pub from: ReplicaId,
    /// The receiver. An instance drops messages addressed to an earlier data folder of its own.
    #[serde(rename = "o")]
    pub to: ReplicaId,
    /// The current term of the sender.
    #[serde(rename = "t")]
    pub term: u64,
    /// The body.
    #[serde(rename = "b")]
    pub body: ConsensusBody,
}

/// The body of a [`ConsensusMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusBody {
    /// Requests a vote or, as a pre-vote, asks whether one would be granted. A pre-vote does not
    /// change the term of any replica.
    #[serde(rename = "v")]
    Vote {
        /// Whether this is a pre-vote.
        #[serde(rename = "p")]
        pre: bool,
        /// The position of the last entry in the sender's log.
        #[serde(rename = "l")]
        last: Position,
        /// Whether the leader has asked the sender to take over.
        #[serde(rename = "y", default, skip_serializing_if = "std::ops::Not::not")]
        by_leader: bool,
    },
    /// Answers [`ConsensusBody::Vote`].
    #[serde(rename = "w")]
    VoteReply {
        /// Whether this answers a pre-vote.
        #[serde(rename = "p")]
        pre: bool,
        /// Whether the vote is granted.
        #[serde(rename = "g")]
        granted: bool,
    },
    /// Replicates entries of the leader's log. Without entries it serves as a heartbeat.
    #[serde(rename = "a")]
    Append {
        /// The position of the entry before the first one in `entries`.
        #[serde(rename = "p")]
        previous: Position,
        /// The entries to append.
        #[serde(rename = "e")]
        entries: Vec<LogEntry>,
        /// The commit index of the leader.
        #[serde(rename = "c")]
        commit: u64,
        /// The time of sending by the leader's clock, echoed in the reply.
        #[serde(rename = "s")]
        sent: Millis,
        /// The time since a majority last confirmed the leader.
        #[serde(rename = "g")]
        age: Millis,
    },
    /// Answers [`ConsensusBody::Append`].
    #[serde(rename = "b")]
    AppendReply {
        /// Whether the receiver's log contained the entry at `previous`.
        #[serde(rename = "k")]
        matched: bool,
        /// If `matched`, the last index known to match the leader's log; otherwise a guess of the
        /// last index that matches, after which the leader tries next.
        #[serde(rename = "i")]
        index: u64,
        /// The value of `sent` in the message being answered.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// A chunk of the leader's snapshot.
    #[serde(rename = "s")]
    Chunk {
        /// The position of the snapshot.
        #[serde(rename = "p")]
        position: Position,
        /// The offset of the chunk in the snapshot data, in bytes.
        #[serde(rename = "o")]
        offset: u64,
        /// The bytes of the chunk.
        #[serde(rename = "d", with = "bytes")]
        data: Vec<u8>,
        /// Whether this is the last chunk.
        #[serde(rename = "l")]
        last: bool,
        /// The time of sending by the leader's clock, echoed in the reply.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Answers [`ConsensusBody::Chunk`].
    #[serde(rename = "r")]
    ChunkReply {
        /// The position of the snapshot.
        #[serde(rename = "p")]
        position: Position,
        /// The number of bytes of the snapshot received so far.
        #[serde(rename = "o")]
        received: u64,
        /// The value of `sent` in the message being answered.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Transfers leadership: asks an up-to-date voter to start an election at once.
    #[serde(rename = "y")]
    TakeOver,
    /// Announces a replica that is not part of a record yet to all control instances. They may add it
    /// as a member.
    #[serde(rename = "h")]
    Hello,
}

/// Encodes byte vectors as CBOR byte strings, which take half the size of the default encoding as
/// an array of numbers.
mod bytes {
    use std::fmt;

    use serde::{Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;

        impl de::Visitor<'_> for Bytes {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(bytes)
            }
        }

        d.deserialize_byte_buf(Bytes)
    }
}
