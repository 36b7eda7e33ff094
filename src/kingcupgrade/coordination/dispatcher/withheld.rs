//! Why requests wait although not all slots are given.
//!
//! Slots that nobody was given may still not be free: an entry that can't be heard may use them, or
//! a request of before may still run. Without a line about it, a dispatcher that keeps them back
//! looks like one that stands still.

use super::{Dispatcher, DispatcherOutput};
use crate::{
    coordination::decision::{Decision, WithheldSlots},
    core::Millis,
};

/// How often a line is written about it while it lasts.
const INTERVAL: Millis = Millis(1_000);

impl Dispatcher {
    /// Tells which slots are withheld while requests wait, if there are such.
    pub(super) fn tell_withheld(&mut self, now: Millis, out: &mut Vec<DispatcherOutput>) {
        if self.counters.backlogged() == 0 || now < self.next_withheld {
            return;
        }
        let slots = self.slots.iter().map(|(name, slots)| WithheldSlots {
            upstream: name.clone(),
            limit: slots.limit(),
            in_flight: self.in_flight(name),
            reserved: self.reserved.get(name).copied().unwrap_or(0),
            unaccounted: slots.unaccounted(now),
            paused_ms: slots.pause_left(now),
            is_leaving: slots.leaving || self.leaving.contains(name),
        });
        let withheld: Vec<WithheldSlots> = slots.filter(WithheldSlots::has_withheld).collect();
        if withheld.is_empty() {
            return;
        }
        self.next_withheld = now + INTERVAL;
        out.push(DispatcherOutput::Decided(Decision::Withheld {
            service: self.pool.0.clone(),
            term: self.term,
            backlogged: self.counters.backlogged(),
            serving: self.serving,
            upstreams: withheld,
        }));
    }
}
