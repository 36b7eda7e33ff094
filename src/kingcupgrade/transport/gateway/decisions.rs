//! The lines that tell where requests went and why others were refused, and how many there may be.
//!
//! A line costs processor time and, where nobody reads fast enough, room. Under a flood an entry
//! would spend more on telling of decisions than on serving. So each second has its lines: of
//! first placements a few, of refusals and of requests sent again many. What is beyond them is
//! counted, refusals by code, and the counts are told.

use std::{cell::RefCell, collections::BTreeMap};

use metrics::counter;
use serde::Serialize;

use super::course::{self, Answered, Judgement, Times};
use crate::{
    coordination::traffic::Basis,
    core::{Code, Millis, Organisation, UpstreamName},
    util::log,
};

/// Refusals and repeats told one by one in a second, at some 30 microseconds each: under a fiftieth
/// of a quarter of a core.
const MAX_LINES: usize = 100;

/// First placements told in a second: enough to see how requests are placed, for a hundredth of a
/// small processor.
const MAX_PLACED_LINES: usize = 20;

/// The line that tells why a request was given up.
#[derive(Serialize)]
pub(super) struct GivenUp<'a> {
    pub(super) request: Option<&'a str>,
    pub(super) code: u16,
    pub(super) route: Option<&'a str>,
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) retry_after_ms: Millis,
    /// How long after its arrival.
    pub(super) after_ms: Millis,
    /// Upstreams it arrived at.
    pub(super) attempts: u32,
    /// Upstreams it was or would have been sent to.
    pub(super) tried: &'a [UpstreamName],
}

/// The line that tells where a request was sent and on what grounds.
#[derive(Serialize)]
pub(super) struct Placed<'a> {
    pub(super) request: Option<&'a str>,
    pub(super) route: &'a str,
    pub(super) organisation: Option<&'a Organisation>,
    pub(super) upstream: &'a UpstreamName,
    /// Upstreams it arrived at before.
    pub(super) attempts: u32,
    /// How long after its arrival.
    pub(super) after_ms: Millis,
    /// What was believed of the upstream.
    pub(super) basis: &'a Basis,
    /// The version of the configuration in force.
    pub(super) version: u64,
    /// How old the list of upstreams was.
    pub(super) listing_age_ms: Millis,
}

/// What was told in this second.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    lines: RefCell<usize>,
    placed: RefCell<usize>,
    untold: RefCell<BTreeMap<u16, u32>>,
}

impl DecisionLog {
    /// Tells where a request goes; of first placements only some.
    pub(super) fn placed(&self, line: &Placed<'_>) {
        let (told, most) = match line.attempts {
            0 => (&self.placed, MAX_PLACED_LINES),
            _ => (&self.lines, MAX_LINES),
        };
        let mut told = told.borrow_mut();
        if *told < most {
            *told += 1;
            log::event("placed", line);
        }
    }

    /// Counts an answer, and tells of one that was not on time.
    pub(super) fn answered(&self, times: &Times, line: &Answered<'_>) {
        course::count(times, line.judgement, line.route);
        let mut lines = self.lines.borrow_mut();
        if line.judgement != Judgement::OnTime && *lines < MAX_LINES {
            *lines += 1;
            log::event("answered-late", line);
        }
    }

    /// Tells of a refusal, or counts it.
    pub(super) fn refused(&self, code: Code, line: &GivenUp<'_>) {
        self.given_up("refused", code, line);
    }

    /// Tells of an answer that was cut after it had begun, or counts it.
    pub(super) fn broken_off(&self, code: Code, line: &GivenUp<'_>) {
        self.given_up("broken-off", code, line);
    }

    fn given_up(&self, event: &str, code: Code, line: &GivenUp<'_>) {
        counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
        let mut lines = self.lines.borrow_mut();
        if *lines < MAX_LINES {
            *lines += 1;
            log::event(event, line);
        } else {
            counter!("kingcup_log_lines_untold").increment(1);
            *self.untold.borrow_mut().entry(code.number()).or_default() += 1;
        }
    }

    /// Begins another second, and tells how many refusals were not told in the one before.
    pub(super) fn next_second(&self) {
        *self.lines.borrow_mut() = 0;
        *self.placed.borrow_mut() = 0;
        let untold = std::mem::take(&mut *self.untold.borrow_mut());
        if !untold.is_empty() {
            log::event("given-up-untold", &untold);
        }
    }
}
