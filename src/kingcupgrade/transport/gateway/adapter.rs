//! The interface between the product and the platform that it runs on.
//!
//! The platform defines the wire format of requests, responses and lists. A [`PlatformAdapter`]
//! only translates between that format and the product's types; all decisions are made in this
//! crate.

use http::{HeaderMap, Method, request, response};

use crate::{
    coordination::traffic::{PromptPart, ReportedLoad},
    core::{
        FailureDomain, Millis, Organisation, Service, UpstreamName, code::CodedError,
        configuration::Configuration, fleet::FleetSettings,
    },
    protocol::{
        fleet::ListedUpstream,
        rollout::{Rollout, RolloutOrder},
    },
};

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The request's id, which the response repeats.
    pub request_id: Option<String>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The model that the request is for, if it names one.
    pub model: Option<String>,
    /// The caller's timeout for the request.
    pub timeout: Option<Millis>,
    /// The parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// The maximum number of tokens to generate; 0 if not stated.
    pub max_output: u32,
    /// The caller's estimate of the number of tokens to be generated.
    pub output_hint: Option<u32>,
    /// The stream that the caller takes up again, if it does.
    pub taken_up: Option<TakenUpStream>,
}

/// A stream that broke off and that its caller takes up again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakenUpStream {
    /// The id of the caller's request that brought the stream's first event, if stated.
    pub begun_by: Option<String>,
    /// The id of the last event that the caller has, if it is a number.
    pub last_event: Option<u64>,
}

/// What the product adds to a request that it forwards to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// The intended upstream; another one listening on the same address must refuse the request.
    pub upstream: &'a UpstreamName,
    /// The organisation on whose behalf the request is made.
    pub organisation: Option<&'a Organisation>,
    /// The time left until the request's deadline.
    pub time_left: Millis,
    /// The id of the event after which the stream is to be resumed.
    pub last_event: Option<u64>,
}

/// The decoded head of an upstream's response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the response carries the upstream's seal.
    pub is_sealed: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether an upstream other than the intended one has answered.
    pub is_misdirected: bool,
    /// Whether the upstream states that it is shutting down and wants no new requests.
    pub is_leaving: bool,
    /// The load that the upstream reports.
    pub load: Option<ReportedLoad>,
}

/// A page of the platform's list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct ListingPage {
    /// The upstreams whose list entries could be decoded.
    pub upstreams: Vec<ListedUpstream>,
    /// The number of list entries that could not be decoded.
    pub unreadable: usize,
    /// The next page.
    pub next: NextPage,
}

/// What a page of the platform's list says of the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextPage {
    /// There is none.
    #[default]
    None,
    /// It has this token.
    Token(String),
    /// There may be one, but its token can't be read.
    Unreadable,
}

/// A call of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the complete configuration.
    Replace,
    /// Read the complete configuration.
    Read,
    /// Begin a rollout.
    StartRollout,
    /// Read the last rollout of a service.
    ReadRollout(Service),
    /// Take a failure domain out of service, or put it back.
    SetDomain {
        /// The failure domain.
        domain: FailureDomain,
        /// Whether it is to be out of service.
        out: bool,
    },
}

/// Translates between the platform's wire formats and the product's types.
pub trait PlatformAdapter: Send + Sync + 'static {
    /// Reads the settings again.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the part of it that is invalid.
    fn read_settings(&self) -> anyhow::Result<FleetSettings>;

    /// Decodes a complete configuration.
    ///
    /// # Errors
    ///
    /// Returns a coded error that states which part is invalid and why.
    fn decode_configuration(&self, text: &[u8]) -> Result<Configuration, CodedError>;

    /// Decodes the order of a rollout.
    ///
    /// # Errors
    ///
    /// Returns a coded error that states which part is invalid and why.
    fn decode_rollout(&self, text: &[u8]) -> Result<RolloutOrder, CodedError>;

    /// Encodes a rollout for operators.
    fn encode_rollout(&self, rollout: &Rollout) -> String;

    /// Returns the path of a page of the list of upstreams.
    fn listing_path(&self, page: Option<&str>) -> String;

    /// Decodes a page of the list of upstreams.
    ///
    /// # Errors
    ///
    /// Returns a coded error if the page as a whole can't be decoded.
    fn decode_listing(&self, body: &[u8]) -> Result<ListingPage, CodedError>;

    /// Decodes the head of a caller's request.
    fn decode_request_head(&self, head: &request::Parts) -> RequestHead;

    /// Prepares the headers of a request for an upstream: removes those that are reserved for the
    /// product and sets its own.
    fn prepare_request(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Decodes the head of an upstream's response.
    fn decode_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Adds the request's id to the headers of a response that the product generates itself.
    fn add_request_id(&self, headers: &mut HeaderMap, request_id: &str);

    /// Returns whether a path is that of the readiness probe.
    fn is_ready_path(&self, path: &str) -> bool;

    /// Decodes an operator's call; returns `None` if the request isn't one.
    fn operator_call(&self, method: &Method, path: &str) -> Option<OperatorCall>;
}
