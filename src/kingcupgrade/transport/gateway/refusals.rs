//! The lines that tell of refused requests, and how many there may be.
//!
//! A line costs processor time and, where nobody reads fast enough, room. Under a flood an entry
//! would spend more on telling of refusals than on serving. So each second has its lines; what is
//! beyond them is counted by code, and the counts are told.

use std::{cell::RefCell, collections::BTreeMap};

use metrics::counter;
use serde::Serialize;

use crate::{
    core::{Code, Millis, Organisation, UpstreamName},
    util::log,
};

/// Refusals told one by one in a second, at some 30 microseconds each: under a fiftieth of a
/// quarter of a core.
const MAX_LINES: usize = 100;

/// The line that tells why a request was given up.
#[derive(Serialize)]
pub(super) struct Refused<'a> {
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

/// What was told in this second.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    lines: RefCell<usize>,
    untold: RefCell<BTreeMap<u16, u32>>,
}

impl RefusalLog {
    /// Tells of a refusal, or counts it.
    pub(super) fn refused(&self, code: Code, line: &Refused<'_>) {
        counter!("kingcup_requests", "code" => code.number().to_string()).increment(1);
        let mut lines = self.lines.borrow_mut();
        if *lines < MAX_LINES {
            *lines += 1;
            log::event("refused", line);
        } else {
            counter!("kingcup_log_lines_untold").increment(1);
            *self.untold.borrow_mut().entry(code.number()).or_default() += 1;
        }
    }

    /// Begins another second, and tells how many refusals were not told in the one before.
    pub(super) fn next_second(&self) {
        *self.lines.borrow_mut() = 0;
        let untold = std::mem::take(&mut *self.untold.borrow_mut());
        if !untold.is_empty() {
            log::event("refused-untold", &untold);
        }
    }
}
