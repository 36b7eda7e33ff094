//! The decisions that get a line in the log.

use serde::Serialize;

use crate::core::{Code, FailureDomain, Instance, Millis, Organisation, Service, UpstreamName};

/// A routing or placement decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// A dispatcher gave a slot.
    Grant {
        /// The service.
        service: Service,
        /// The failure domain of the pool.
        failure_domain: FailureDomain,
        /// The term of the lease.
        term: u64,
        /// The number of the grant within the term.
        grant: u64,
        /// Who was owed the slot.
        organisation: Organisation,
        /// Their counter when chosen, the least among the backlogged.
        counter: i64,
        /// The entry with most of their requests waiting.
        entry: Instance,
        /// The upstream with most room.
        upstream: UpstreamName,
        /// Its grants in use, this one included.
        in_flight: u32,
        /// Its limit.
        limit: u32,
    },
    /// An entry sent a request to an upstream.
    Send {
        /// The request.
        request: u64,
        /// The service.
        service: Service,
        /// Who asked.
        organisation: Organisation,
        /// Where it goes.
        upstream: UpstreamName,
        /// How many times it was sent before.
        attempt: u32,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An entry gave up on a request.
    Refuse {
        /// The request.
        request: u64,
        /// The service.
        service: Service,
        /// Who asked.
        organisation: Organisation,
        /// Why.
        code: Code,
    },
    /// An entry will try a request again.
    Retry {
        /// The request.
        request: u64,
        /// The upstream that failed it.
        upstream: UpstreamName,
    },
    /// An upstream's limit fell back to the cold one.
    Collapse {
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// The evidence.
        reason: &'static str,
    },
    /// Requests wait, and a dispatcher keeps slots back that no grant is using.
    Withheld {
        /// The service.
        service: Service,
        /// The term of the lease.
        term: u64,
        /// Organisations with requests that wait.
        backlogged: usize,
        /// Whether the failure domain may get new work.
        serving: bool,
        /// The upstreams concerned.
        upstreams: Vec<WithheldSlots>,
    },
    /// This instance began to dispatch a pool.
    Lease {
        /// The service.
        service: Service,
        /// The term.
        term: u64,
        /// Whether the lease was gained or lost.
        held: bool,
    },
    /// An order to an upstream went a step on.
    Order {
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        number: u64,
        /// How far it is carried out.
        stage: &'static str,
        /// What went wrong last, if anything did.
        failure: Option<String>,
    },
    /// This instance began or ended to use its static share of a pool.
    Fallback {
        /// The service.
        service: Service,
        /// Whether it began.
        active: bool,
    },
}

/// What is made of the slots of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WithheldSlots {
    /// The upstream.
    pub upstream: UpstreamName,
    /// How many slots it has at present.
    pub limit: u32,
    /// Grants in use.
    pub in_flight: u32,
    /// Slots kept back for an entry that can't be heard.
    pub reserved: u32,
    /// Requests that may run without a grant known here; `None` before the first report.
    pub unaccounted: Option<u32>,
    /// How long it is still left alone after trouble.
    pub paused_ms: Millis,
    /// Whether it gets nothing new, by the platform's word, an operator's, or an order.
    pub is_leaving: bool,
}

impl WithheldSlots {
    /// Tells whether anything but grants in use takes slots.
    pub fn is_any(&self) -> bool {
        self.reserved > 0
            || self.unaccounted != Some(0)
            || self.paused_ms > Millis::ZERO
            || self.is_leaving
    }
}
