//! How an answered request went: what it waited for, and whether its target was met.
//!
//! A late answer is late for one of a few reasons, and each asks for something else: a queue here
//! for room or shares, an upstream slower than expected for a better estimate, a pause for fewer
//! requests beside it. So each answer is judged here, where all of its times are known.

use metrics::{counter, histogram};
use serde::Serialize;

use crate::core::{Millis, Organisation, UpstreamName};

/// Why an answer was late, or that it was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Judgement {
    /// Its target was met.
    OnTime,
    /// It waited here for longer than its upstream was late.
    LateQueued,
    /// It was sent more than once, and the first upstream took the time.
    LateRepeated,
    /// Its upstream took longer than there was time.
    LateUpstream,
    /// It began on time and paused for too long.
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

/// The times of an answered request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// From its arrival to its target.
    pub target: Millis,
    /// How long it waited here for a place.
    pub queued: Millis,
    /// After how long the upstream's first byte was expected, if anything was.
    pub expected: Millis,
    /// After how long it came.
    pub took: Millis,
    /// From the arrival to the first byte.
    pub first_byte: Millis,
    /// The longest pause between two events.
    pub longest_pause: Millis,
    /// The longest pause that its caller allows.
    pub max_pause: Millis,
    /// Upstreams it was sent to.
    pub attempts: u32,
}

impl Times {
    /// Judges an answer.
    pub fn judge(&self) -> Judgement {
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

/// The line that tells of an answer that was not on time.
#[derive(Serialize)]
pub(super) struct Answered<'a> {
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

/// Counts an answer by its judgement, and its times.
pub(super) fn count(times: &Times, judgement: Judgement, route: &str) {
    let judged = judgement.as_str();
    counter!("kingcup_answers", "judgement" => judged, "route" => route.to_owned()).increment(1);
    histogram!("kingcup_longest_pause_ms").record(times.longest_pause.0 as f64);
    if times.expected > Millis::ZERO {
        histogram!("kingcup_expected_ms").record(times.expected.0 as f64);
        histogram!("kingcup_upstream_ms").record(times.took.0 as f64);
    }
}
