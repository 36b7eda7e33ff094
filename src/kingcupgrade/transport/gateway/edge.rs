//! The border between the product and the platform it runs on.
//!
//! What a request, an answer or a list looks like on the wire is the platform's; what follows from
//! it is decided here. An [`Edge`] translates and decides nothing.

use http::{HeaderMap, Method, request, response};

use crate::{
    coordination::traffic::PromptPart,
    core::{
        FailureDomain, Millis, Organisation, UpstreamName, code::CodedError,
        configuration::Configuration, fleet::FleetSettings,
    },
    protocol::fleet::ListedUpstream,
};

/// A caller's request head, decoded.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Names the request; its answer repeats it.
    pub request_id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Millis>,
    /// The parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// The most tokens that are generated.
    pub max_output: u32,
    /// The caller's guess of the tokens that are generated.
    pub output_hint: Option<u32>,
}

/// What a request that is sent on says beside what its caller said.
#[derive(Clone, Debug)]
pub struct Mark<'a> {
    /// The upstream it is meant for; another one at the address must refuse it.
    pub upstream: &'a UpstreamName,
    /// The organisation it is for.
    pub organisation: Option<&'a Organisation>,
    /// The time left.
    pub patience: Millis,
    /// The event after which the answer is to go on.
    pub last_event: Option<u64>,
}

/// An answer's head, decoded.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The request it answers.
    pub request_id: Option<String>,
    /// Whether the upstream vouches for it.
    pub is_sealed: bool,
    /// Whether the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream than the one meant answered.
    pub is_elsewhere: bool,
    /// Running and waiting requests at the upstream.
    pub load: Option<(u32, u32)>,
}

/// A page of the platform's list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct ListingPage {
    /// The upstreams that could be read.
    pub upstreams: Vec<ListedUpstream>,
    /// Entries that could not be read.
    pub unreadable: usize,
    /// What names the next page.
    pub next: Option<String>,
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the whole configuration.
    Replace,
    /// Read the whole configuration.
    Read,
    /// Take a failure domain out of service, or back in.
    SetDomain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether it is out.
        out: bool,
    },
}

/// Translates between the platform's wire and the product's types.
pub trait Edge: Send + Sync + 'static {
    /// Reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns an error with the place of what can't be read.
    fn read_settings(&self) -> anyhow::Result<FleetSettings>;

    /// Decodes a whole configuration.
    ///
    /// # Errors
    ///
    /// Returns a numbered error with place and reason.
    fn decode_configuration(&self, text: &[u8]) -> Result<Configuration, CodedError>;

    /// Returns the path of a page of the list of upstreams.
    fn listing_path(&self, page: Option<&str>) -> String;

    /// Decodes a page of the list of upstreams.
    ///
    /// # Errors
    ///
    /// Returns a numbered error if nothing of it can be read.
    fn decode_listing(&self, body: &[u8]) -> Result<ListingPage, CodedError>;

    /// Decodes a caller's request head.
    fn read_caller(&self, head: &request::Parts) -> CallerHead;

    /// Prepares the headers of a request for an upstream: drops what only the product may say and
    /// adds what it says.
    fn mark_request(&self, headers: &mut HeaderMap, mark: &Mark<'_>);

    /// Decodes an answer's head.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Adds to an answer of the product's own what names the request.
    fn mark_refusal(&self, headers: &mut HeaderMap, request_id: &str);

    /// Tells whether a path asks for readiness.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Decodes an operator's call, `None` if it is none.
    fn operator_call(&self, method: &Method, path: &str) -> Option<OperatorCall>;
}
