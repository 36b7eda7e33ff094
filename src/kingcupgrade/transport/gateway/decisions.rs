//! Rate-limited log lines for placements, late responses and refusals.
//!
//! A line costs processor time, and memory if the log is not read fast enough. Under a flood of
//! requests an entry would spend more on logging decisions than on serving. The lines per second
//! are therefore limited: to a few for first placements, and to more for refusals, repeats and late
//! responses together. Refusals beyond the limit are counted by code, and the counts are logged
//! once a second.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use metrics::counter;
use serde::Serialize;

use super::latency::{self, Judgement, LateResponseLine, Times};
use crate::{
    coordination::{
        notices::UpstreamNotice,
        traffic::{Basis, Disconnect},
    },
    core::{Code, Millis, Organisation, RequestDigest, UpstreamName, Version},
    util::log,
};

/// Lines per second for refusals, rejections, repeats, streams that go on and late responses. At some
/// 30 µs each they take less than a fiftieth of a quarter of a core.
const MAX_LINES: usize = 100;

/// Lines per second for first placements: enough to see how requests are placed, for a hundredth
/// of a small processor.
const MAX_PLACED_LINES: usize = 20;

/// The fields of the log line for a request that was refused or whose response was truncated.
#[derive(Serialize)]
pub(super) struct FailureLine<'a> {
    pub(super) request: Option<&'a str>,
    /// Identifies the request among the attempts of its caller; `None` if it was refused before
    /// admission.
    pub(super) digest: Option<RequestDigest>,
    pub(super) code: u16,
    pub(super) route: Option<&'a str>,
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) retry_after_ms: Millis,
    /// Time since the request arrived.
    pub(super) after_ms: Millis,
    /// Number of upstreams that received the request.
    pub(super) attempts: u32,
    /// Upstreams to which sending was attempted without success.
    pub(super) tried: &'a [UpstreamName],
    /// How the last attempt ended, if the response was truncated.
    pub(super) end: Option<&'a str>,
}

/// The fields of the log line for the upstream chosen for a request, and why.
#[derive(Serialize)]
pub(super) struct PlacementLine<'a> {
    pub(super) request: Option<&'a str>,
    /// Identifies the request among the attempts of its caller.
    pub(super) digest: RequestDigest,
    pub(super) route: &'a str,
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) upstream: &'a UpstreamName,
    /// The version of its software.
    pub(super) upstream_version: Option<&'a Version>,
    /// The id of the caller's request that brought the stream's first event, if the caller takes it
    /// up again.
    pub(super) begun_by: Option<&'a str>,
    /// The id of the event after which the stream goes on, if it does.
    pub(super) last_event: Option<u64>,
    /// Number of upstreams that received the request before.
    pub(super) attempts: u32,
    /// Time since the request arrived.
    pub(super) after_ms: Millis,
    /// The estimated state of the upstream on which the decision was based.
    pub(super) basis: &'a Basis,
    /// The version of the configuration in force.
    pub(super) version: u64,
    /// The age of the list of upstreams.
    pub(super) listing_age_ms: Millis,
}

/// The fields of the log line for an upstream that did not run a request.
#[derive(Serialize)]
pub(super) struct RejectionLine<'a> {
    pub(super) request: Option<&'a str>,
    pub(super) upstream: &'a UpstreamName,
    pub(super) status: u16,
    /// What the upstream asks for.
    pub(super) notice: UpstreamNotice,
}

/// Why a request is not sent to its upstream after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum WithheldReason {
    /// The upstream has asked for no requests since the request was placed on it.
    UpstreamAsked,
    /// The caller has left.
    CallerLeft,
}

/// The fields of the log line for a request that is not sent to its upstream after all.
#[derive(Serialize)]
pub(super) struct WithheldLine<'a> {
    pub(super) request: Option<&'a str>,
    pub(super) upstream: &'a UpstreamName,
    pub(super) reason: WithheldReason,
    /// Time since the request arrived.
    pub(super) after_ms: Millis,
}

/// The fields of the log line for a silent attempt that another upstream has taken over.
#[derive(Serialize)]
pub(super) struct ReplacementLine<'a> {
    pub(super) request: Option<&'a str>,
    /// The silent upstream.
    pub(super) upstream: Option<&'a UpstreamName>,
    /// Whether the head of its answer had arrived.
    pub(super) had_head: bool,
    /// Time since the request arrived.
    pub(super) after_ms: Millis,
}

/// The fields of the log line for an attempt that was to take over a silent one and has failed.
#[derive(Serialize)]
pub(super) struct FailedReplacementLine<'a> {
    pub(super) request: Option<&'a str>,
    /// Why no upstream answers in its place.
    pub(super) code: u16,
    /// Number of upstreams that received the request.
    pub(super) attempts: u32,
    /// Upstreams to which sending was attempted without success.
    pub(super) tried: &'a [UpstreamName],
    /// Time since the request arrived.
    pub(super) after_ms: Millis,
}

/// The fields of the log line for an upstream that begins to ask for no requests.
#[derive(Serialize)]
pub(super) struct NoticeLine<'a> {
    pub(super) upstream: &'a UpstreamName,
    /// The Unix millisecond at which the upstream started.
    pub(super) incarnation: u64,
    pub(super) notice: UpstreamNotice,
}

/// The fields of the log line for an attempt whose upstream closed the connection.
#[derive(Serialize)]
pub(super) struct DisconnectLine<'a> {
    pub(super) request: Option<&'a str>,
    /// Whether the upstream seems to have ended.
    pub(super) end: &'a str,
    pub(super) disconnect: Disconnect,
}

/// From this number of refusals in a second on, what each costs matters.
const MANY_REFUSALS: u32 = 50;

/// Writes the lines and counts those of the current second.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// The refusals of this second, and of the last one.
    refusals: Cell<(u32, u32)>,
    lines: RefCell<usize>,
    placed: RefCell<usize>,
    /// Failures that were not logged, by code.
    suppressed: RefCell<BTreeMap<u16, u32>>,
}

impl DecisionLog {
    /// Logs the placement of a request, up to the limit for first placements or for repeats.
    pub(super) fn placed(&self, line: &PlacementLine<'_>) {
        let is_first = line.attempts == 0 && line.last_event.is_none();
        let (logged, limit) = match is_first {
            true => (&self.placed, MAX_PLACED_LINES),
            false => (&self.lines, MAX_LINES),
        };
        let mut logged = logged.borrow_mut();
        if *logged < limit {
            *logged += 1;
            log::event("placed", line);
        }
    }

    /// Records a response in the metrics, and logs it if it was not on time.
    pub(super) fn answered(&self, times: &Times, line: &LateResponseLine<'_>) {
        latency::record_metrics(times, line.judgement, line.route);
        if line.judgement != Judgement::OnTime {
            self.log_limited("answered-late", line);
        }
    }

    /// Logs that an upstream did not run a request, up to the limit of such lines.
    pub(super) fn rejected(&self, line: &RejectionLine<'_>) {
        self.log_limited("rejected", line);
    }

    /// Logs that a request is not sent to the upstream that it was placed on, up to the limit of
    /// such lines.
    pub(super) fn withheld(&self, line: &WithheldLine<'_>) {
        self.log_limited("withheld", line);
    }

    /// Logs that another upstream has taken over a silent attempt, up to the limit of such lines.
    pub(super) fn replaced(&self, line: &ReplacementLine<'_>) {
        counter!("kingcup_replaced_attempts").increment(1);
        self.log_limited("replaced", line);
    }

    /// Logs that no other upstream has taken over a silent attempt, up to the limit of such lines.
    pub(super) fn replacement_failed(&self, line: &FailedReplacementLine<'_>) {
        counter!("kingcup_failed_replacements").increment(1);
        self.log_limited("replacement-failed", line);
    }

    /// Logs that an upstream closed the connection of an attempt, up to the limit of such lines.
    pub(super) fn disconnected(&self, line: &DisconnectLine<'_>) {
        self.log_limited("upstream-disconnected", line);
    }

    /// Logs that a caller takes a stream up again, up to the limit of such lines.
    pub(super) fn taken_up(&self, line: &impl Serialize) {
        self.log_limited("stream-taken-up", line);
    }

    /// Logs a line unless the limit of this second is reached; returns whether it did.
    fn log_limited(&self, event: &str, line: &impl Serialize) -> bool {
        let mut lines = self.lines.borrow_mut();
        let is_within = *lines < MAX_LINES;
        if is_within {
            *lines += 1;
            log::event(event, line);
        }
        is_within
    }

    /// Logs the refusal of a request, or counts it if the limit is reached.
    pub(super) fn refused(&self, code: Code, line: &FailureLine<'_>) {
        let (current, last) = self.refusals.get();
        self.refusals.set((current + 1, last));
        self.log_failure("refused", code, line);
    }

    /// Returns whether many requests are being refused.
    pub(super) fn refuses_many(&self) -> bool {
        let (current, last) = self.refusals.get();
        current.max(last) >= MANY_REFUSALS
    }

    /// Logs the truncation of a response that had begun, or counts it if the limit is reached.
    pub(super) fn truncated(&self, code: Code, line: &FailureLine<'_>) {
        self.log_failure("broken-off", code, line);
    }

    fn log_failure(&self, event: &str, code: Code, line: &FailureLine<'_>) {
        counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
        if !self.log_limited(event, line) {
            counter!("kingcup_log_lines_untold").increment(1);
            *self.suppressed.borrow_mut().entry(code.number()).or_default() += 1;
        }
    }

    /// Resets the limits for the next second, and logs the number of failures suppressed in the
    /// last one.
    pub(super) fn next_second(&self) {
        self.refusals.set((0, self.refusals.get().0));
        *self.lines.borrow_mut() = 0;
        *self.placed.borrow_mut() = 0;
        let suppressed = std::mem::take(&mut *self.suppressed.borrow_mut());
        if !suppressed.is_empty() {
            log::event("given-up-untold", &suppressed);
        }
    }
}
