//! Numbered result codes.
//!
//! Every answer and every refusal carries a code, so that log lines, error reports of callers and
//! the table in `docs/CODES.md` can be matched by number.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request when its answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its complete answer was received.
    Done,
    /// The request did not run: no byte of it was sent to an upstream, or the upstream refused it
    /// before running it.
    NotRun,
    /// The request was sent but no complete answer was received, so it may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value used in headers and JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $outcome:ident, $status:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[$doc])* #[doc = $text] $name,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns what the code says about the execution of the request.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Returns the HTTP status sent with the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the human-readable description.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    Done = 1000, Done, 200, "The request ran and its answer is whole.";
    Replayed = 1001, Done, 200, "The request ran earlier; this is the kept answer.";

    BadRequest = 2001, NotRun, 400, "The request is malformed.";
    UnknownToken = 2002, NotRun, 401, "The bearer token is missing or belongs to no organisation of the service.";
    UnknownService = 2003, NotRun, 404, "No document in force names this service.";
    BodyTooLarge = 2004, NotRun, 413, "The request body exceeds the service's limit.";
    HeadTooLarge = 2005, NotRun, 431, "The request head exceeds the limit.";
    KeyMissing = 2006, NotRun, 400, "The request must not repeat and needs an Idempotency-Key header.";
    KeyReused = 2007, NotRun, 422, "The Idempotency-Key was used with another request.";
    KeyInProgress = 2008, Unknown, 409, "A request with this Idempotency-Key is in progress.";
    KeyUnknown = 2009, Unknown, 409, "A request with this Idempotency-Key may have run; it will not run again.";

    BodyTimeout = 2010, NotRun, 408, "The request body did not arrive in time.";
    HeadTimeout = 2011, NotRun, 408, "The request head did not arrive in time.";

    QueueFull = 3001, NotRun, 429, "The organisation's queue is full.";
    DeadlineQueued = 3002, NotRun, 503, "The deadline passed while the request waited for a free slot.";
    NoUpstream = 3003, NotRun, 503, "No upstream of the service can be reached.";
    Draining = 3004, NotRun, 503, "This instance is shutting down.";
    NoQuorum = 3005, NotRun, 503, "The record of request keys cannot be reached.";
    TooBusy = 3006, NotRun, 503, "This instance serves as many requests as it may.";
    NotReady = 3007, NotRun, 503, "This instance has no configuration yet.";

    OverShare = 3008, NotRun, 429, "The organisation asks for more than its share while capacity is short.";

    UpstreamsBackingOff = 3009, NotRun, 503, "Every upstream of the service has asked for no requests for some time.";
    /// The caller has left before its request was sent to an upstream; it is refused for the log.
    CallerLeft = 3010, NotRun, 503, "The caller has left before the request was sent.";

    NoUpstreamOfVersion = 3011, NotRun, 503, "No upstream of the version that began the stream can be reached.";
    OriginUnknown = 3012, NotRun, 503, "Which version began the stream is not known.";

    PartBarred = 3013, NotRun, 503, "A part of the prompt crashes upstreams.";

    ServiceShort = 3014, NotRun, 503, "The service is short of capacity and could not answer the request in time.";

    UpstreamRefused = 4001, NotRun, 503, "The upstream refused the request before it ran.";
    AnswerBroken = 4002, Unknown, 502, "The request was sent and its answer broke off.";
    AnswerTimeout = 4003, Unknown, 504, "The request was sent and no answer came within the deadline.";
    DelayInvalid = 4004, NotRun, 503, "The delay that an upstream asked for is not valid.";
    RequestBarred = 4005, Unknown, 502, "The request crashes upstreams; earlier attempts of its caller may have run.";

    DocumentInvalid = 5001, NotRun, 400, "The document is not valid.";
    RevisionConflict = 5002, NotRun, 409, "The document has moved on since the revision the change was made from.";
    NotLeader = 5003, NotRun, 503, "No leader of the control instances can be reached.";
    CommitUnknown = 5004, Unknown, 504, "The change was proposed and its commit was not seen; send it again with the same change id.";
    NotFound = 5005, NotRun, 404, "Nothing has that name.";
    StorageFailed = 5006, NotRun, 503, "The control instance cannot write its data folder.";
    MemberRefused = 5007, NotRun, 409, "The change of members is refused.";
    OrderInvalid = 5008, NotRun, 400, "The order to the upstream is not valid.";
    ConfigurationTooLarge = 5009, NotRun, 413, "The configuration is larger than an instance holds.";
    RolloutInvalid = 5010, NotRun, 400, "The rollout order is not valid.";
    RolloutRefused = 5011, NotRun, 409, "The rollout is refused.";
    Overtaken = 5012, NotRun, 503, "Another change came first; the change was not carried out.";

    SettingsInvalid = 6001, NotRun, 400, "The settings file is not valid.";
    DataCorrupt = 6002, NotRun, 500, "The data folder holds a record that does not match its checksum.";
    DataForeign = 6003, NotRun, 500, "The data folder belongs to another instance.";
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Code, String> {
        let found = Code::ALL.iter().find(|code| code.number() == number);
        found.copied().ok_or_else(|| format!("unknown result code {number}"))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "K{}: {}", self.number(), self.text())
    }
}

/// An error with a result code and a description of the specific cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CodedError {
    /// The result code.
    pub code: Code,
    /// The specific cause, human-readable.
    pub detail: String,
}

impl CodedError {
    /// Creates an error from a code and a description of its cause.
    pub fn new(code: Code, detail: impl Into<String>) -> CodedError {
        CodedError { code, detail: detail.into() }
    }
}

impl fmt::Display for CodedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.detail)
    }
}

impl std::error::Error for CodedError {}
