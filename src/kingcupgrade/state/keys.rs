//! Request keys: what must run at most once, and the answers kept for it.
//!
//! A key is claimed in the record before the first byte of its request leaves the fleet. Whatever
//! dies after that, the record says that the request may have run, and no entry sends it again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    core::{Code, Millis, Organisation, code::CodedError},
    protocol::record::{ClaimId, Reply, RequestKey, Settlement, StoredAnswer},
};

/// How long an ended key is remembered, by the record's time.
pub const KEY_RETENTION: Millis = Millis(3_600_000);
/// Keys of one organisation at most; beyond it new ones are refused, since forgetting one that a
/// caller may still repeat would let its request run twice.
pub const MAX_KEYS: usize = 10_000;
/// The largest answer kept for replay, in bytes.
pub const MAX_KEPT_BODY: usize = 64 << 10;
/// Bytes of kept answers of one organisation at most; later answers are kept without a body.
const MAX_KEPT_BYTES: usize = 8 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Standing {
    /// Claimed until a point of the record's time.
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
    standing: Standing,
    #[serde(rename = "f")]
    forget_at: Millis,
}

/// How much of the bounds an organisation uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    keys: usize,
    bytes: usize,
}

/// All request keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    keys: Vec<(RequestKey, KeyState)>,
    #[serde(skip)]
    index: BTreeMap<RequestKey, KeyState>,
    #[serde(skip)]
    forgets: BTreeSet<(Millis, RequestKey)>,
    #[serde(skip)]
    usage: BTreeMap<Organisation, Usage>,
}

impl Keys {
    /// Claims a key at a point of the record's time.
    pub fn claim(
        &mut self,
        now: Millis,
        id: ClaimId,
        key: &RequestKey,
        digest: u128,
        span: Millis,
    ) -> Reply {
        self.forget(now);
        if let Some(state) = self.index.get(key) {
            return answer_known(now, state, id, digest);
        }
        if self.usage.get(&key.organisation).is_some_and(|usage| usage.keys >= MAX_KEYS) {
            let detail = format!("{} has {MAX_KEYS} request keys in use", key.organisation);
            return Reply::Refused(CodedError::new(Code::QueueFull, detail));
        }
        let standing = Standing::Claimed(id, now + span);
        let forget_at = now + span + KEY_RETENTION;
        self.insert(key.clone(), KeyState { digest, standing, forget_at });
        Reply::Claimed
    }

    /// Ends a claim; one that is not the key's present claim changes nothing.
    pub fn settle(
        &mut self,
        now: Millis,
        id: ClaimId,
        key: &RequestKey,
        settlement: &Settlement,
    ) -> Reply {
        let Some(state) = self.index.get(key) else { return Reply::Settled };
        if !matches!(state.standing, Standing::Claimed(claim, _) if claim == id) {
            return Reply::Settled;
        }
        let digest = state.digest;
        self.remove(key);
        let standing = match settlement {
            Settlement::Released => return Reply::Settled,
            Settlement::Unknown => Standing::Unknown,
            Settlement::Done(answer) => Standing::Done(self.fit(key, answer)),
        };
        let forget_at = now + KEY_RETENTION;
        self.insert(key.clone(), KeyState { digest, standing, forget_at });
        Reply::Settled
    }

    /// Leaves the body out of an answer that would exceed the organisation's bound.
    fn fit(&self, key: &RequestKey, answer: &StoredAnswer) -> StoredAnswer {
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
        self.forgets.insert((state.forget_at, key.clone()));
        self.index.insert(key, state);
    }

    fn remove(&mut self, key: &RequestKey) {
        let Some(state) = self.index.remove(key) else { return };
        self.forgets.remove(&(state.forget_at, key.clone()));
        let Some(usage) = self.usage.get_mut(&key.organisation) else { return };
        usage.keys -= 1;
        usage.bytes -= body_len(&state);
        if usage.keys == 0 {
            self.usage.remove(&key.organisation);
        }
    }

    /// Forgets keys whose time is over.
    fn forget(&mut self, now: Millis) {
        while let Some((forget_at, key)) = self.forgets.first().cloned() {
            if forget_at > now {
                break;
            }
            self.remove(&key);
        }
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Prepares for being written: fills the part that is written from the index.
    pub fn pack(&mut self) {
        self.keys = self.index.iter().map(|(key, state)| (key.clone(), state.clone())).collect();
    }

    /// Completes what was read.
    pub fn unpack(&mut self) {
        for (key, state) in std::mem::take(&mut self.keys) {
            self.insert(key, state);
        }
    }
}

fn body_len(state: &KeyState) -> usize {
    match &state.standing {
        Standing::Done(answer) => answer.body.as_ref().map_or(0, String::len),
        Standing::Claimed(..) | Standing::Unknown => 0,
    }
}

fn answer_known(now: Millis, state: &KeyState, id: ClaimId, digest: u128) -> Reply {
    if state.digest != digest {
        return refuse(Code::KeyReused);
    }
    match &state.standing {
        // The claimer's own resend after a lost answer.
        Standing::Claimed(claim, _) if *claim == id => Reply::Claimed,
        Standing::Claimed(_, until) if now < *until => refuse(Code::KeyInProgress),
        // Its claimer never said how it ended and has run out of time.
        Standing::Claimed(..) | Standing::Unknown => refuse(Code::KeyUnknown),
        Standing::Done(answer) => Reply::Replay(answer.clone()),
    }
}

fn refuse(code: Code) -> Reply {
    Reply::Refused(CodedError::new(code, ""))
}
