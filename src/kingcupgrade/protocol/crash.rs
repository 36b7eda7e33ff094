//! What entries tell each other of upstreams that end under requests.

use serde::{Deserialize, Serialize};

use crate::core::{Millis, RequestDigest, UpstreamName};

/// What may crash each upstream that it reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashCause {
    /// A part of prompts, whatever else the request holds.
    Part(u64),
    /// One request, over all attempts of its caller.
    Request(RequestDigest),
}

/// An upstream that closed the connection of a request before the end of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Its incarnation.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// The time since then.
    #[serde(rename = "g")]
    pub age: Millis,
    /// The time for which the request had been at the upstream.
    #[serde(rename = "t")]
    pub after: Millis,
    /// Whether the head of the answer had arrived.
    #[serde(rename = "h")]
    pub had_head: bool,
    /// The request.
    #[serde(rename = "d")]
    pub request: RequestDigest,
    /// The parts of the request's prompt that other requests may share, in order; none if the answer
    /// had begun.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub shared_parts: Vec<u64>,
}

impl Crash {
    /// Returns whether both tell of the same end of the same request.
    pub fn is_same(&self, other: &Crash) -> bool {
        let key = |crash: &Crash| (crash.incarnation, crash.request);
        key(self) == key(other) && self.upstream == other.upstream
    }
}

/// A cause that may be suspected elsewhere, and of which an upstream has written an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundCause {
    /// The cause.
    #[serde(rename = "c")]
    pub cause: CrashCause,
    /// The time since the answer.
    #[serde(rename = "g")]
    pub age: Millis,
}

/// A cause that is kept from upstreams because it crashes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BarredCause {
    /// The cause.
    #[serde(rename = "c")]
    pub cause: CrashCause,
    /// The time since it was blamed.
    #[serde(rename = "g")]
    pub age: Millis,
}

/// What one entry, or several, tell others of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Crashes that the receiver was not told of yet.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Causes that crash no upstreams.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<SoundCause>,
    /// Causes that are kept from upstreams.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<BarredCause>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.barred.is_empty()
    }

    /// Adds time that has passed since the news was composed.
    pub fn grow_older(&mut self, by: Millis) {
        self.crashes.iter_mut().for_each(|crash| crash.age = crash.age + by);
        self.sound.iter_mut().for_each(|sound| sound.age = sound.age + by);
        self.barred.iter_mut().for_each(|barred| barred.age = barred.age + by);
    }

    /// Adds other news, once where both tell the same, up to `max_crashes`.
    pub fn merge(&mut self, other: CrashNews, max_crashes: usize) {
        for crash in other.crashes {
            let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
            if !is_known && self.crashes.len() < max_crashes {
                self.crashes.push(crash);
            }
        }
        for sound in other.sound {
            if !self.sound.iter().any(|known| known.cause == sound.cause) {
                self.sound.push(sound);
            }
        }
        for barred in other.barred {
            if !self.barred.iter().any(|known| known.cause == barred.cause) {
                self.barred.push(barred);
            }
        }
    }
}

/// How far news of crashes is to be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// To all entries of the fleet.
    #[serde(rename = "f")]
    Fleet,
    /// To the entries of the receiver's failure domain.
    #[serde(rename = "d")]
    Domain,
    /// No further than to the receiver.
    #[serde(rename = "r")]
    Receiver,
}
