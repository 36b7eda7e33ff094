//! Keeps requests that crash upstreams, or have a part that does, from all of them, at one entry.

use std::collections::{BTreeMap, HashMap};

use super::{CauseChange, Demand, Disconnect, PromptPart, Traffic, Upstream, demand::shared_parts};
use crate::{
    coordination::crashes::Barred,
    core::{Millis, RequestDigest, Service, UpstreamName},
    protocol::crash::{Crash, CrashCause, CrashNews},
};

/// The events of an answer after which it counts as begun: an upstream may crash in the first ones.
pub(super) const BEGUN_EVENTS: u32 = 4;

impl Traffic {
    /// Returns the changes of the causes that are kept from upstreams since the last call.
    pub fn take_cause_changes(&mut self) -> Vec<CauseChange> {
        std::mem::take(&mut self.cause_changes)
    }

    /// Returns what keeps a request from all upstreams, if anything does.
    pub fn barred(
        &self,
        now: Millis,
        request: RequestDigest,
        prompt: &[PromptPart],
    ) -> Option<Barred> {
        if self.crash_causes.bars_nothing() {
            return None;
        }
        let own = self.settings.instance();
        self.crash_causes.barred(now, causes_of(request, prompt), &own, &self.entries)
    }

    /// Records that a request is sent; returns whether it tries a cause that is kept from upstreams.
    pub(super) fn on_causes_sent(&mut self, now: Millis, demand: &Demand) -> bool {
        self.crash_causes.on_sent(now, causes_of(demand.digest, &demand.prompt))
    }

    /// Records that an upstream has begun an answer on a prompt.
    pub(super) fn on_answer_begun(&mut self, now: Millis, prompt: &[PromptPart]) {
        for part in shared_parts(prompt) {
            self.on_sound(now, CrashCause::Part(part));
        }
    }

    /// Records that an upstream has answered a request whole.
    pub(super) fn on_answered(&mut self, now: Millis, request: RequestDigest) {
        self.on_sound(now, CrashCause::Request(request));
    }

    fn on_sound(&mut self, now: Millis, cause: CrashCause) {
        if self.crash_causes.on_sound(now, cause) {
            self.cause_changes.push(CauseChange::Freed(cause));
        }
    }

    /// Records an upstream that closed the connection of a request.
    pub(super) fn on_disconnect(&mut self, now: Millis, disconnect: &Disconnect) {
        let upstreams = upstreams_beside(&self.upstreams, &self.by_service, &disconnect.upstream);
        let has_begun = disconnect.events >= BEGUN_EVENTS;
        let crash = Crash {
            upstream: disconnect.upstream.clone(),
            incarnation: disconnect.incarnation,
            age: Millis::ZERO,
            after: disconnect.after_ms,
            had_head: disconnect.has_head,
            request: disconnect.digest,
            shared_parts: if has_begun { Vec::new() } else { disconnect.shared_parts.clone() },
        };
        let blamed = self.crash_causes.on_crash(now, crash, upstreams);
        self.cause_changes.extend(blamed.map(CauseChange::Barred));
    }

    /// Applies what other entries tell of crashes.
    pub fn on_crash_news(&mut self, now: Millis, news: CrashNews) {
        let Traffic { crash_causes, upstreams, by_service, .. } = self;
        let upstreams_beside = |name: &UpstreamName| upstreams_beside(upstreams, by_service, name);
        let blamed = crash_causes.on_news(now, news, upstreams_beside);
        self.cause_changes.extend(blamed.into_iter().map(CauseChange::Barred));
    }

    /// Returns what the other entries are to be told of crashes at once.
    pub fn take_crash_news(&mut self, now: Millis) -> CrashNews {
        let expired = self.crash_causes.expire(now);
        self.cause_changes.extend(expired.into_iter().map(CauseChange::Freed));
        self.crash_causes.take_news(now)
    }

    /// Has the causes that are kept from upstreams told again with the next news.
    pub fn repeat_bars(&mut self) {
        self.crash_causes.repeat_bars();
    }
}

fn causes_of(
    request: RequestDigest,
    prompt: &[PromptPart],
) -> impl Iterator<Item = CrashCause> + '_ {
    let parts = shared_parts(prompt).map(CrashCause::Part);
    std::iter::once(CrashCause::Request(request)).chain(parts)
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
