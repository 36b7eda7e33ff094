//! Decisions that are written to the log.

use serde::Serialize;

use super::rollout::watch::StageDecision;
use crate::{
    core::{
        Code, FailureDomain, Instance, Millis, Organisation, RequestDigest, Service, UpstreamName,
    },
    protocol::crash::CrashCause,
};

/// A routing or placement decision and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// A dispatcher granted a slot of an upstream.
    Grant {
        /// The service.
        service: Service,
        /// The failure domain of the pool.
        failure_domain: FailureDomain,
        /// The term of the lease.
        term: u64,
        /// The number of the grant within the term.
        grant: u64,
        /// The organisation that the slot is for.
        organisation: Organisation,
        /// The organisation's counter when it was selected, the lowest among backlogged ones.
        counter: i64,
        /// The entry with the most waiting requests of the organisation.
        entry: Instance,
        /// The upstream with the most free slots.
        upstream: UpstreamName,
        /// The upstream's grants in use, including this one.
        in_flight: u32,
        /// The upstream's slot limit.
        limit: u32,
    },
    /// An entry sent a request to an upstream.
    Send {
        /// The request.
        request: u64,
        /// Identifies it among the attempts of its caller.
        digest: RequestDigest,
        /// The service.
        service: Service,
        /// The organisation of the caller.
        organisation: Organisation,
        /// The upstream that it was sent to.
        upstream: UpstreamName,
        /// The number of earlier attempts.
        attempt: u32,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An entry refused a request.
    Refuse {
        /// The request.
        request: u64,
        /// Identifies it among the attempts of its caller.
        digest: RequestDigest,
        /// The service.
        service: Service,
        /// The organisation of the caller.
        organisation: Organisation,
        /// The reason.
        code: Code,
    },
    /// An upstream closed the connection of a request before the end of its answer.
    Disconnected {
        /// The request.
        request: u64,
        /// Identifies it among the attempts of its caller.
        digest: RequestDigest,
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// Its incarnation.
        incarnation: u64,
        /// Whether its answer had begun.
        has_begun: bool,
    },
    /// A request, or a part of prompts, is kept from upstreams because it crashes them, or no longer.
    CrashCause {
        /// What crashes upstreams.
        cause: CrashCause,
        /// Whether it is kept from them from now on.
        barred: bool,
    },
    /// An entry will retry a request.
    Retry {
        /// The request.
        request: u64,
        /// The upstream on which the last attempt failed.
        upstream: UpstreamName,
    },
    /// An upstream's limit was reset to the cold limit.
    Collapse {
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// The reason.
        reason: &'static str,
    },
    /// An upstream has asked for no requests for some time, or for no new ones.
    Notice {
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// Its incarnation.
        incarnation: u64,
        /// How long it wants no requests.
        backoff_ms: Millis,
        /// Whether it is shutting down.
        is_leaving: bool,
    },
    /// Requests are waiting while a dispatcher withholds slots that no grant is using.
    Withheld {
        /// The service.
        service: Service,
        /// The term of the lease.
        term: u64,
        /// The number of organisations with waiting requests.
        backlogged: usize,
        /// Whether the failure domain may get new requests.
        serving: bool,
        /// The upstreams with withheld slots.
        upstreams: Vec<WithheldSlots>,
    },
    /// This instance gained or lost the lease on dispatching a pool.
    Lease {
        /// The service.
        service: Service,
        /// The term.
        term: u64,
        /// Whether the lease was gained; otherwise it was lost.
        held: bool,
    },
    /// An order to an upstream entered another stage or failed.
    Order {
        /// The service.
        service: Service,
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        number: u64,
        /// The stage.
        stage: &'static str,
        /// The last failure, if any.
        failure: Option<String>,
    },
    /// The stage of a rollout changes.
    Rollout(StageDecision),
    /// This instance started or stopped using its static share of a pool.
    Fallback {
        /// The service.
        service: Service,
        /// Whether it started; otherwise it stopped.
        active: bool,
    },
}

/// The slots of one upstream that are in use or withheld.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WithheldSlots {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The current slot limit.
    pub limit: u32,
    /// The number of grants in use.
    pub in_flight: u32,
    /// Slots reserved for an entry that is unreachable and may use its static share.
    pub reserved: u32,
    /// Requests that may be running without a grant known to this dispatcher; `None` before the
    /// first load report.
    pub unaccounted: Option<u32>,
    /// The remaining time during which it gets no requests, after a failure or as it has asked for.
    pub paused_ms: Millis,
    /// Whether it gets no new requests because the platform, an operator or an order withdrew it.
    pub is_leaving: bool,
}

impl WithheldSlots {
    /// Returns whether any slots are withheld, that is, unavailable without a grant using them.
    pub fn has_withheld(&self) -> bool {
        self.reserved > 0
            || self.unaccounted != Some(0)
            || self.paused_ms > Millis::ZERO
            || self.is_leaving
    }
}
