//! What a request asks of an upstream.

use std::sync::Arc;

use crate::core::{Millis, Organisation, Service, UpstreamName};

/// A part of a prompt; requests with the same part share what an engine keeps of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What names the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Names a request within its entry.
pub type RequestNo = u64;

/// A request that is to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The request.
    pub no: RequestNo,
    /// The service it goes to.
    pub service: Service,
    /// The route, for what is learned by route.
    pub route: Arc<str>,
    /// Whose it is.
    pub organisation: Organisation,
    /// When it arrived.
    pub arrived: Millis,
    /// Until when the first byte of its answer should be there.
    pub target: Millis,
    /// Until when it may take.
    pub deadline: Millis,
    /// The parts of its prompt, in their order; empty where no engine reads one.
    pub prompt: Arc<[PromptPart]>,
    /// Tokens it is expected to generate.
    pub output: u32,
    /// Upstreams that it must not go to again.
    pub avoid: Vec<UpstreamName>,
}

impl Demand {
    /// Returns the tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the part that decides where the request is best placed: the last one that other
    /// requests share. The last part of all is the request's own.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.prompt.len().checked_sub(2).and_then(|place| self.prompt.get(place));
        shared.or(self.prompt.first()).map(|part| part.id)
    }

    /// Returns the engine's work: each token read once, each generated twice.
    pub fn work(&self) -> f64 {
        self.prompt_tokens() as f64 + 2.0 * f64::from(self.output)
    }
}
