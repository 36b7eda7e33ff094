//! Keeps requests with a part that crashes upstreams from all of them, at one entry.

use std::collections::{BTreeMap, HashMap};

use super::{
    Disconnect, PartChange, PromptPart, Traffic, Upstream,
    crashing_parts::{BEGUN_EVENTS, PartNews},
    demand::shared_parts,
};
use crate::{
    core::{Millis, Service, UpstreamName},
    protocol::fleet::{Crash, LoadReport},
};

impl Traffic {
    /// Returns the changes of the parts that are kept from upstreams since the last call.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.part_changes)
    }

    /// Returns the time until a request is tried again that is kept from all upstreams, because a
    /// part of its prompt crashes them.
    pub(super) fn barred_for(&self, now: Millis, prompt: &[PromptPart]) -> Option<Millis> {
        if self.crashing_parts.bars_nothing() {
            return None;
        }
        let (own, parts) = (self.settings.instance(), shared_parts(prompt));
        self.crashing_parts.barred(now, parts, &own, &self.entries)
    }

    /// Records that an answer on a prompt has begun.
    pub(super) fn on_answer_begun(&mut self, now: Millis, prompt: &[PromptPart]) {
        let freed = self.crashing_parts.on_begun(now, shared_parts(prompt));
        self.part_changes.extend(freed.into_iter().map(PartChange::Freed));
    }

    /// Records an upstream that closed the connection of a request.
    pub(super) fn on_disconnect(&mut self, now: Millis, disconnect: &Disconnect) {
        let upstreams = upstreams_beside(&self.upstreams, &self.by_service, &disconnect.upstream);
        if disconnect.events >= BEGUN_EVENTS {
            let incarnation = (disconnect.upstream.clone(), disconnect.incarnation);
            self.crashing_parts.on_end(now, incarnation, upstreams);
            return;
        }
        let crash = Crash {
            upstream: disconnect.upstream.clone(),
            incarnation: disconnect.incarnation,
            age: Millis::ZERO,
            had_head: disconnect.has_head,
            shared_parts: disconnect.shared_parts.clone(),
        };
        let blamed = self.crashing_parts.on_crash(now, crash, upstreams);
        self.part_changes.extend(blamed.map(PartChange::Barred));
    }

    /// Applies what another entry's report tells of crashes.
    pub(super) fn on_part_news(&mut self, now: Millis, report: &mut LoadReport) {
        let news = PartNews {
            crashes: std::mem::take(&mut report.crashes),
            sound: std::mem::take(&mut report.sound),
            barred: std::mem::take(&mut report.barred),
        };
        let Traffic { crashing_parts, upstreams, by_service, .. } = self;
        let upstreams_beside = |name: &UpstreamName| upstreams_beside(upstreams, by_service, name);
        let blamed = crashing_parts.on_news(now, news, upstreams_beside);
        self.part_changes.extend(blamed.into_iter().map(PartChange::Barred));
    }
}

/// Returns the number of listed upstreams of the service that an upstream serves.
fn upstreams_beside(
    upstreams: &BTreeMap<UpstreamName, Upstream>,
    by_service: &HashMap<Service, Vec<UpstreamName>>,
    name: &UpstreamName,
) -> usize {
    let service = upstreams.get(name).map(|upstream| &upstream.listed.service);
    service.and_then(|service| by_service.get(service)).map_or(0, Vec::len)
}
