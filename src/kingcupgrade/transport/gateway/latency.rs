//! Classification of answered requests: whether the latency target was met, and if not, why.
//!
//! Each cause of a late response has its own remedy: waiting in this entry's queue calls for more
//! capacity or other shares, an upstream slower than expected for a better estimate, and a pause in
//! a stream for fewer concurrent requests. Responses are classified here because only the entry
//! knows all the times involved.

use metrics::{counter, histogram};
use serde::Serialize;

use crate::core::{Millis, Organisation, UpstreamName};

/// Whether a response met its latency target, and why it didn't if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Judgement {
    /// The target was met.
    OnTime,
    /// The request spent at least as long in this entry's queue as its upstream exceeded the
    /// expected time.
    LateQueued,
    /// The request was sent more than once, and the last attempt alone took no longer than the
    /// target: the earlier attempts used up the time.
    LateRepeated,
    /// The upstream exceeded the expected time by more than the request was queued.
    LateUpstream,
    /// The response began on time, but two of its events were too far apart.
    Paused,
}

impl Judgement {
    fn as_str(self) -> &'static str {
        match self {
            Judgement::OnTime => "on-time",
            Judgement::LateQueued => "late-queued",
            Judgement::LateRepeated => "late-repeated",
            Judgement::LateUpstream => "late-upstream",
            Judgement::Paused => "paused",
        }
    }
}

/// The durations that make up the latency of an answered request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// The target for the time from arrival to the first byte.
    pub target: Millis,
    /// Time spent in this entry's queue.
    pub queued: Millis,
    /// Expected time from sending to the upstream's first byte; zero if there was no estimate.
    pub expected: Millis,
    /// Actual time from the last sending to the upstream's first byte.
    pub took: Millis,
    /// Time from arrival to the first byte.
    pub first_byte: Millis,
    /// The longest pause between two events.
    pub longest_pause: Millis,
    /// The longest pause that the route allows; zero if there is no limit.
    pub max_pause: Millis,
    /// Number of upstreams that received the request.
    pub attempts: u32,
}

impl Times {
    /// Classifies the response.
    pub fn classify(&self) -> Judgement {
        let is_late = self.first_byte > self.target;
        if !is_late {
            let is_paused = self.max_pause > Millis::ZERO && self.longest_pause > self.max_pause;
            return if is_paused { Judgement::Paused } else { Judgement::OnTime };
        }
        if self.attempts > 1 && self.took <= self.target {
            return Judgement::LateRepeated;
        }
        let beyond_expected = self.took.since(self.expected);
        match self.queued >= beyond_expected {
            true => Judgement::LateQueued,
            false => Judgement::LateUpstream,
        }
    }
}

/// The fields of the log line for a response that was not on time.
#[derive(Serialize)]
pub(super) struct LateResponseLine<'a> {
    pub(super) request: Option<&'a str>,
    pub(super) judgement: Judgement,
    pub(super) route: &'a str,
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) upstream: &'a UpstreamName,
    pub(super) target_ms: Millis,
    pub(super) queued_ms: Millis,
    pub(super) expected_ms: Millis,
    pub(super) took_ms: Millis,
    pub(super) first_byte_ms: Millis,
    pub(super) longest_pause_ms: Millis,
    pub(super) attempts: u32,
}

/// Records a response and its durations in the metrics.
pub(super) fn record_metrics(times: &Times, judgement: Judgement, route: &str) {
    let label = judgement.as_str();
    counter!("kingcup_answers", "judgement" => label, "route" => route.to_owned()).increment(1);
    histogram!("kingcup_longest_pause_ms").record(times.longest_pause.0 as f64);
    if times.expected > Millis::ZERO {
        histogram!("kingcup_expected_ms").record(times.expected.0 as f64);
        histogram!("kingcup_upstream_ms").record(times.took.0 as f64);
    }
}
