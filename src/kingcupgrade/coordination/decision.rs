//! The decisions that get a line in the log.

use serde::Serialize;

use crate::core::{Code, FailureDomain, Instance, Organisation, Service, UpstreamName};

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
