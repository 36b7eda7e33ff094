//! What a server takes in: connections, and the bodies of requests.

use std::sync::Arc;

use hyper::http::request::Parts;

use crate::{
    coordination::{bodies::Holder, memory::MemoryBudget},
    core::{Code, Millis, clock::Clock, code::CodedError},
    transport::{bodies::Bodies, connection_limit::ConnectionLimit},
};

/// The number of connections that a server keeps open by default.
const DEFAULT_CONNECTIONS: usize = 1_000;
/// The memory for request bodies by default, in bytes.
const DEFAULT_BODY_MEMORY: u64 = 32 << 20;
/// The maximum length of a request body by default, in bytes.
const DEFAULT_BODY_LEN: usize = 8 << 20;

/// The timeout for a request head by default.
const DEFAULT_HEAD_TIMEOUT: Millis = Millis(10_000);

/// How long a caller may read nothing of an answer by default.
const DEFAULT_WRITE_TIMEOUT: Millis = Millis(15_000);

/// How the body of one request is read.
#[derive(Clone, Debug, Default)]
pub struct BodyPolicy {
    /// Whom its memory is charged to.
    pub holder: Holder,
    /// The maximum length, in bytes.
    pub max_len: usize,
}

/// Decides by the head of a request how its body is read; refuses a request that needs none.
pub type BodyRule = Arc<dyn Fn(&RequestHead) -> Result<BodyPolicy, CodedError> + Send + Sync>;

/// The limits of a server.
#[derive(Clone)]
pub struct Limits {
    /// The number of connections that it keeps open.
    pub connections: usize,
    /// The memory for request bodies, in bytes.
    pub body_memory: u64,
    /// The part of it that the bodies of one organisation may take.
    pub holder_fraction: f64,
    /// The maximum time from the first byte of a request's head to the last one.
    pub head_timeout: Millis,
    /// How long a caller may read nothing while there is something to be written to it; it is then
    /// disconnected.
    pub write_timeout: Millis,
    /// How each body is read.
    pub body: BodyRule,
    /// Called with the code of each request that is refused before it is served.
    pub on_refusal: fn(Code),
}

impl Default for Limits {
    fn default() -> Limits {
        let policy = BodyPolicy { holder: None, max_len: DEFAULT_BODY_LEN };
        Limits {
            connections: DEFAULT_CONNECTIONS,
            body_memory: DEFAULT_BODY_MEMORY,
            holder_fraction: 1.0,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            write_timeout: DEFAULT_WRITE_TIMEOUT,
            body: Arc::new(move |_| Ok(policy.clone())),
            on_refusal: |_| {},
        }
    }
}

/// The head of a request.
pub struct RequestHead(pub(super) Parts);

impl RequestHead {
    /// Returns the method.
    pub fn method(&self) -> &str {
        self.0.method.as_str()
    }

    /// Returns the path and query.
    pub fn url(&self) -> &str {
        self.0.uri.path_and_query().map_or("/", |url| url.as_str())
    }

    /// Returns the value of a header if it is present and consists of visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.0.headers.get(name)?.to_str().ok()
    }

    /// Returns the headers whose values consist of visible ASCII.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        let headers = self.0.headers.iter();
        headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
    }
}

/// What a running server has taken in.
#[derive(Clone)]
pub(super) struct Intake {
    pub(super) connections: ConnectionLimit,
    pub(super) bodies: Arc<Bodies>,
    pub(super) head_timeout: Millis,
    pub(super) write_timeout: Millis,
    pub(super) body: BodyRule,
    pub(super) on_refusal: fn(Code),
}

impl Intake {
    pub(super) fn new(limits: Limits) -> Intake {
        let budget = MemoryBudget::for_bodies(limits.body_memory);
        Intake {
            connections: ConnectionLimit::new("http", limits.connections),
            bodies: Bodies::new(Clock::start(), budget, limits.holder_fraction),
            head_timeout: limits.head_timeout,
            write_timeout: limits.write_timeout,
            body: limits.body,
            on_refusal: limits.on_refusal,
        }
    }
}
