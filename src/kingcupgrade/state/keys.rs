//! Request keys (`Idempotency-Key`), for requests that must run at most once, and their stored
//! answers.
//!
//! A key is claimed in the record before the first byte of its request is sent to an upstream. If
//! any process fails after that, the record shows that the request may have run, and no entry sends
//! it again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    core::{Code, Millis, Organisation, code::CodedError},
    protocol::record::{ClaimId, Reply, RequestKey, Settlement, StoredAnswer},
};

/// How long a key is kept after its request ended, by the record's clock.
pub const KEY_RETENTION: Millis = Millis(3_600_000);
/// The maximum number of keys per organisation. Further ones are refused: if an old key were
/// evicted while its caller could still retry, the request could run twice.
pub const MAX_KEYS: usize = 10_000;
/// The maximum body length of an answer stored for replay, in bytes.
pub const MAX_KEPT_BODY: usize = 64 << 10;
/// The maximum total bytes of stored bodies per organisation; further answers are stored without
/// their body.
const MAX_KEPT_BYTES: usize = 8 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimStatus {
    /// Claimed by an attempt, which may run until the given time of the record's clock.
    #[serde(rename = "c")]
    Claimed(ClaimId, Millis),
    #[serde(rename = "d")]
    Done(StoredAnswer),
    #[serde(rename = "u")]
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeyState {
    #[serde(rename = "g")]
    digest: u128,
    #[serde(rename = "s")]
    status: ClaimStatus,
    #[serde(rename = "f")]
    expires_at: Millis,
}

/// The number of keys and the stored bytes of an organisation, which are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    keys: usize,
    bytes: usize,
}

/// The request keys of all organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// The serialized form of `index`, filled by [`Keys::pack`] and emptied by [`Keys::unpack`].
    keys: Vec<(RequestKey, KeyState)>,
    #[serde(skip)]
    index: BTreeMap<RequestKey, KeyState>,
    #[serde(skip)]
    expirations: BTreeSet<(Millis, RequestKey)>,
    #[serde(skip)]
    usage: BTreeMap<Organisation, Usage>,
}

impl Keys {
    /// Claims a key; `now` is the time of the record's clock.
    pub fn claim(
        &mut self,
        now: Millis,
        id: ClaimId,
        key: &RequestKey,
        digest: u128,
        span: Millis,
    ) -> Reply {
        self.expire(now);
        if let Some(state) = self.index.get(key) {
            return reply_to_known_key(now, state, id, digest);
        }
        if self.usage.get(&key.organisation).is_some_and(|usage| usage.keys >= MAX_KEYS) {
            let detail = format!("{} has {MAX_KEYS} request keys in use", key.organisation);
            return Reply::Refused(CodedError::new(Code::QueueFull, detail));
        }
        let status = ClaimStatus::Claimed(id, now + span);
        let expires_at = now + span + KEY_RETENTION;
        self.insert(key.clone(), KeyState { digest, status, expires_at });
        Reply::Claimed
    }

    /// Settles a claim; has no effect if the key is not claimed under this id.
    pub fn settle(
        &mut self,
        now: Millis,
        id: ClaimId,
        key: &RequestKey,
        settlement: &Settlement,
    ) -> Reply {
        let Some(state) = self.index.get(key) else { return Reply::Settled };
        if !matches!(state.status, ClaimStatus::Claimed(claim, _) if claim == id) {
            return Reply::Settled;
        }
        let digest = state.digest;
        self.remove(key);
        let status = match settlement {
            Settlement::Released => return Reply::Settled,
            Settlement::Unknown => ClaimStatus::Unknown,
            Settlement::Done(answer) => ClaimStatus::Done(self.limit_body(key, answer)),
        };
        let expires_at = now + KEY_RETENTION;
        self.insert(key.clone(), KeyState { digest, status, expires_at });
        Reply::Settled
    }

    /// Drops the body of an answer that exceeds the limits.
    fn limit_body(&self, key: &RequestKey, answer: &StoredAnswer) -> StoredAnswer {
        let used = self.usage.get(&key.organisation).map_or(0, |usage| usage.bytes);
        let mut answer = answer.clone();
        let len = answer.body.as_ref().map_or(0, String::len);
        if len > MAX_KEPT_BODY || used + len > MAX_KEPT_BYTES {
            answer.body = None;
        }
        answer
    }

    fn insert(&mut self, key: RequestKey, state: KeyState) {
        let usage = self.usage.entry(key.organisation.clone()).or_default();
        usage.keys += 1;
        usage.bytes += body_len(&state);
        self.expirations.insert((state.expires_at, key.clone()));
        self.index.insert(key, state);
    }

    fn remove(&mut self, key: &RequestKey) {
        let Some(state) = self.index.remove(key) else { return };
        self.expirations.remove(&(state.expires_at, key.clone()));
        let Some(usage) = self.usage.get_mut(&key.organisation) else { return };
        usage.keys -= 1;
        usage.bytes -= body_len(&state);
        if usage.keys == 0 {
            self.usage.remove(&key.organisation);
        }
    }

    /// Removes expired keys.
    fn expire(&mut self, now: Millis) {
        while let Some((expires_at, key)) = self.expirations.first().cloned() {
            if expires_at > now {
                break;
            }
            self.remove(&key);
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Fills the serialized form from the index; to be called before encoding.
    pub fn pack(&mut self) {
        self.keys = self.index.iter().map(|(key, state)| (key.clone(), state.clone())).collect();
    }

    /// Rebuilds the index and the usage from the serialized form; to be called after decoding.
    pub fn unpack(&mut self) {
        for (key, state) in std::mem::take(&mut self.keys) {
            self.insert(key, state);
        }
    }
}

fn body_len(state: &KeyState) -> usize {
    match &state.status {
        ClaimStatus::Done(answer) => answer.body.as_ref().map_or(0, String::len),
        ClaimStatus::Claimed(..) | ClaimStatus::Unknown => 0,
    }
}

fn reply_to_known_key(now: Millis, state: &KeyState, id: ClaimId, digest: u128) -> Reply {
    if state.digest != digest {
        return refuse(Code::KeyReused);
    }
    match &state.status {
        // A resend by the same claimer after a lost reply.
        ClaimStatus::Claimed(claim, _) if *claim == id => Reply::Claimed,
        ClaimStatus::Claimed(_, until) if now < *until => refuse(Code::KeyInProgress),
        // The claim was never settled and has expired, so the request may have run.
        ClaimStatus::Claimed(..) | ClaimStatus::Unknown => refuse(Code::KeyUnknown),
        ClaimStatus::Done(answer) => Reply::Replay(answer.clone()),
    }
}

fn refuse(code: Code) -> Reply {
    Reply::Refused(CodedError::new(code, ""))
}
