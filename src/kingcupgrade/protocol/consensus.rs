//! Messages among the replicas of the durable record, and what their logs hold.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::record::Command;
use crate::core::{Instance, Millis};

/// The replica number of the members a record begins with.
pub const FOUNDING_REPLICA: u64 = 1;

/// A data folder's identity: an instance that lost its disk comes back as another replica.
///
/// A replica votes and acknowledges from what its disk holds. If an emptied disk came back under
/// the old identity, it could vote a second time in a term and deny entries it acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(
    /// The instance.
    pub Instance,
    /// The number of its data folder.
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
    /// Its identity.
    #[serde(rename = "i")]
    pub id: ReplicaId,
    /// Whether it votes; one that does not is catching up.
    #[serde(rename = "v")]
    pub voter: bool,
}

/// What an entry of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits it to learn what is committed.
    #[serde(rename = "n")]
    Noop,
    /// A change of the record.
    #[serde(rename = "c")]
    Command(Command),
    /// The members from here on.
    #[serde(rename = "m")]
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its place, from 1.
    #[serde(rename = "i")]
    pub index: u64,
    /// The term of the leader that made it.
    #[serde(rename = "t")]
    pub term: u64,
    /// The leader's wall clock when it made it, in milliseconds since 1970.
    #[serde(rename = "w")]
    pub unix_ms: u64,
    /// What it holds.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// A place in a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The term; positions compare by it first.
    #[serde(rename = "t")]
    pub term: u64,
    /// The index.
    #[serde(rename = "i")]
    pub index: u64,
}

/// The record's state up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry included.
    #[serde(rename = "p")]
    pub position: Position,
    /// The members at that entry.
    #[serde(rename = "m")]
    pub members: Vec<Member>,
    /// The state, encoded.
    #[serde(rename = "d", with = "bytes")]
    pub data: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// Who sent it.
    #[serde(rename = "f")]
    pub from: ReplicaId,
    /// Whom it is for; a message for an earlier data folder of an instance is dropped.
    #[serde(rename = "o")]
    pub to: ReplicaId,
    /// The sender's term.
    #[serde(rename = "t")]
    pub term: u64,
    /// What it says.
    #[serde(rename = "b")]
    pub body: ConsensusBody,
}

/// What a [`ConsensusMessage`] says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusBody {
    /// Asks for a vote, or whether one would be given; asking disturbs nobody's term.
    #[serde(rename = "v")]
    Vote {
        /// Whether it only asks.
        #[serde(rename = "p")]
        pre: bool,
        /// The end of the sender's log.
        #[serde(rename = "l")]
        last: Position,
    },
    /// Answers [`ConsensusBody::Vote`].
    #[serde(rename = "w")]
    VoteReply {
        /// Whether it answers a question only.
        #[serde(rename = "p")]
        pre: bool,
        /// Whether the vote is given.
        #[serde(rename = "g")]
        granted: bool,
    },
    /// The leader's entries, or none as a heartbeat.
    #[serde(rename = "a")]
    Append {
        /// The position before the first entry.
        #[serde(rename = "p")]
        previous: Position,
        /// The entries.
        #[serde(rename = "e")]
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        #[serde(rename = "c")]
        commit: u64,
        /// The leader's clock; the reply repeats it.
        #[serde(rename = "s")]
        sent: Millis,
        /// How long ago a majority confirmed the leader.
        #[serde(rename = "g")]
        age: Millis,
    },
    /// Answers [`ConsensusBody::Append`].
    #[serde(rename = "b")]
    AppendReply {
        /// Whether the entries fitted; then `index` is the last one known to match, and
        /// otherwise a guess where to try next.
        #[serde(rename = "k")]
        matched: bool,
        /// See `matched`.
        #[serde(rename = "i")]
        index: u64,
        /// The leader's clock as sent.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// A piece of the leader's snapshot.
    #[serde(rename = "s")]
    Chunk {
        /// The snapshot's position.
        #[serde(rename = "p")]
        position: Position,
        /// Where the piece begins.
        #[serde(rename = "o")]
        offset: u64,
        /// The piece.
        #[serde(rename = "d", with = "bytes")]
        data: Vec<u8>,
        /// Whether it is the last one.
        #[serde(rename = "l")]
        last: bool,
        /// The leader's clock; the reply repeats it.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Answers [`ConsensusBody::Chunk`].
    #[serde(rename = "r")]
    ChunkReply {
        /// The snapshot's position.
        #[serde(rename = "p")]
        position: Position,
        /// How much of it has been received.
        #[serde(rename = "o")]
        received: u64,
        /// The leader's clock as sent.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Asks a caught-up voter to take over at once.
    #[serde(rename = "y")]
    TakeOver,
    /// Tells the members of a replica that belongs to no record yet.
    #[serde(rename = "h")]
    Hello,
}

/// Encodes byte vectors as CBOR byte strings, half the size of the default list of numbers.
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
