//! Memory of engines that end if the requests that they hold exceed it.

use super::{SendEnd, SentRequest, Traffic, placement::MEMORY_FRACTION};
use crate::{
    coordination::{fleet::report_age, memory::UnreportedMemory},
    core::{Millis, Service},
};

/// The weight of one answer in the moving average of the time for which a request is in memory.
const TIME_SAMPLE_WEIGHT: f64 = 0.05;

impl Traffic {
    /// Returns what the other entries may have sent to each engine of a service since their last
    /// reports; nothing if engines don't end beyond their memory.
    pub(super) fn unreported_memory(&self, service: &Service) -> UnreportedMemory {
        if !self.settings.ends_beyond_memory || self.entry_count() == 1 {
            return UnreportedMemory::default();
        }
        let names = self.by_service.get(service).into_iter().flatten();
        let peers = names.filter_map(|name| Some(&self.upstreams.get(name)?.peers));
        let reported = peers.map(|load| (load.running, load.memory));
        let held_for = self.memory_times.get(service).map(|time| Millis(*time as u64));
        UnreportedMemory::new(reported, report_age(self.entry_count()), held_for)
    }

    /// Records the end of a request where engines end beyond their memory; returns whether the
    /// engine has ended while its requests may have exceeded that.
    pub(super) fn note_memory_at_end(
        &mut self,
        now: Millis,
        sent: &SentRequest,
        end: SendEnd,
    ) -> bool {
        if !self.settings.ends_beyond_memory || sent.prompt == 0 {
            return false;
        }
        match end {
            SendEnd::Answered => {
                let took = now.since(sent.sent_at).0 as f64;
                let average = self.memory_times.entry(sent.service.clone()).or_insert(took);
                *average += TIME_SAMPLE_WEIGHT * (took - *average);
                false
            }
            SendEnd::Disconnected => self.has_ended_beyond_memory(sent),
            _ => false,
        }
    }

    /// Returns whether the requests at an engine may have exceeded its memory when it ended. The
    /// first of them that breaks off decides for all: each end lowers the estimate.
    fn has_ended_beyond_memory(&mut self, sent: &SentRequest) -> bool {
        let plan = self.plan(&sent.service);
        let Some(engine) = plan.as_ref().and_then(|plan| plan.engine.as_ref()) else {
            return false;
        };
        let bound = engine.kv_capacity as f64 * MEMORY_FRACTION;
        let unreported = self.unreported_memory(&sent.service);
        let Some(upstream) = self.upstreams.get_mut(&sent.upstream) else { return false };
        if upstream.listed.started_unix_ms != sent.incarnation {
            return false;
        }
        let peers = &upstream.peers;
        let held = upstream.memory() + unreported.at(peers.running, peers.memory);
        upstream.ended_beyond_memory |= held as f64 > bound;
        upstream.ended_beyond_memory
    }
}
