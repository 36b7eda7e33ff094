//! Logging of slots that are withheld while requests wait.
//!
//! A slot without a grant is not necessarily free: an unreachable entry may be using it, or an
//! earlier request may still be running on it. Without a log line, a dispatcher that withholds
//! slots can't be distinguished from one that hangs.

use super::{Dispatcher, DispatcherOutput};
use crate::{
    coordination::decision::{Decision, WithheldSlots},
    core::Millis,
};

/// Interval between log lines while slots are withheld.
const LOG_INTERVAL: Millis = Millis(1_000);

impl Dispatcher {
    /// Logs which slots are withheld, if any are and requests wait.
    pub(super) fn report_withheld(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        if self.counters.backlogged() == 0 || now < self.next_withheld_report {
            return;
        }
        let slots = self.slots.iter().map(|(name, slots)| WithheldSlots {
            upstream: name.clone(),
            limit: slots.limit(),
            in_flight: self.in_flight(name),
            reserved: self.reserved.get(name).copied().unwrap_or(0),
            unaccounted: slots.unaccounted(now),
            paused_ms: slots.pause_left(now).max(self.notices_of(name).backoff_left(now)),
            is_leaving: self.leaving.contains(name) || self.notices_of(name).is_leaving,
        });
        let withheld: Vec<WithheldSlots> = slots.filter(WithheldSlots::has_withheld).collect();
        if withheld.is_empty() {
            return;
        }
        self.next_withheld_report = now + LOG_INTERVAL;
        out.push(DispatcherOutput::Decided(Decision::Withheld {
            service: self.pool.0.clone(),
            term: self.term,
            backlogged: self.counters.backlogged(),
            serving: self.serving,
            upstreams: withheld,
        }));
    }
}
