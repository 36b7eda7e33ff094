//! What is known of a request before it is sent to an upstream.

use std::sync::Arc;

use crate::{
    coordination::required_version::RequiredVersion,
    core::{Millis, Organisation, RequestDigest, Service, UpstreamName},
};

/// A part of a prompt. Requests that have a part in common share what an engine caches for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; the same in all requests that share it.
    pub id: u64,
    /// The number of tokens in the part.
    pub tokens: u32,
}

/// Returns the ids of the parts of a prompt that other requests may share: all but the last.
pub(super) fn shared_parts(prompt: &[PromptPart]) -> impl Iterator<Item = u64> {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id)
}

fn tokens_of(prompt: &[PromptPart]) -> u64 {
    prompt.iter().map(|part| u64::from(part.tokens)).sum()
}

/// Returns the work that a request is for an engine, in tokens: prompt tokens count once, generated
/// tokens twice.
pub fn work_of(prompt: &[PromptPart], expected_output: u32) -> f64 {
    tokens_of(prompt) as f64 + 2.0 * f64::from(expected_output)
}

/// Identifies a request within its entry.
pub type RequestNo = u64;

/// A request that is to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The request's number.
    pub no: RequestNo,
    /// Identifies it among the attempts of its caller.
    pub digest: RequestDigest,
    /// The service that the request is for.
    pub service: Service,
    /// The route, by which the number of generated tokens is learned.
    pub route: Arc<str>,
    /// The organisation that the request is charged to.
    pub organisation: Organisation,
    /// When the request arrived at this entry.
    pub arrived: Millis,
    /// The time by which the first byte of the answer should reach the caller.
    pub target: Millis,
    /// The time by which the request must have ended.
    pub deadline: Millis,
    /// The parts of the prompt, in order; empty for a service whose upstreams are not model
    /// engines.
    pub prompt: Arc<[PromptPart]>,
    /// The number of tokens that the request is expected to generate.
    pub expected_output: u32,
    /// Upstreams that the request must not be sent to again.
    pub avoid: Vec<UpstreamName>,
    /// Whether the request was sent to an upstream before.
    pub is_repeat: bool,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Whether it is the rest of a stream that has begun for the caller and has no upstream any more.
    pub is_resumption: bool,
    /// The versions that may serve it.
    pub version: RequiredVersion,
}

impl Demand {
    /// Returns the number of tokens in the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        tokens_of(&self.prompt)
    }

    /// Returns the id of the part by which upstreams are ranked for the request: the last part that
    /// other requests may share. The very last part of a prompt is the request's own.
    pub fn affinity(&self) -> Option<u64> {
        let shared =
            self.prompt.len().checked_sub(2).and_then(|position| self.prompt.get(position));
        shared.or(self.prompt.first()).map(|part| part.id)
    }

    /// Returns the work that the request is for an engine, in tokens.
    pub fn work(&self) -> f64 {
        work_of(&self.prompt, self.expected_output)
    }
}
