//! Requests that were sent to an upstream, from the grant to their end.

use std::{net::SocketAddr, sync::Arc};

use super::{
    Basis, Demand, Disconnect, EngineSpeed, Grant, PromptPart, ReportedLoad, RequestNo, SendEnd,
    Traffic, barred::BEGUN_EVENTS, demand::shared_parts,
};
use crate::{
    coordination::rollout::Use,
    core::{Millis, Organisation, RequestDigest, Service, UpstreamName, Version},
};

/// The fraction of this entry's share of a connection limit that is used: connections that are
/// being closed still count at the upstream.
const CONNECTION_FRACTION: f64 = 0.85;
/// The weight of one answer in a route's moving average of generated tokens.
const OUTPUT_SAMPLE_WEIGHT: f64 = 0.05;

/// A request that was sent to an upstream and has not ended.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) upstream: UpstreamName,
    /// The incarnation of the upstream.
    pub(super) incarnation: u64,
    pub(super) digest: RequestDigest,
    pub(super) service: Service,
    pub(super) organisation: Organisation,
    pub(super) route: Arc<str>,
    pub(super) sent_at: Millis,
    /// When the first byte of the answer should reach the caller.
    pub(super) target: Millis,
    /// The requests of all entries under way at the upstream, including this one.
    pub(super) running: u32,
    /// Prompt tokens to be read at the upstream before its first event, its own included.
    pub(super) tokens_ahead: u64,
    pub(super) memory: u64,
    pub(super) prompt: u64,
    pub(super) parts: Arc<[PromptPart]>,
    /// Whether it tries a cause that is kept from upstreams.
    pub(super) is_trial: bool,
    pub(super) expected_output: u32,
    /// The work charged to its organisation's share, in tokens.
    pub(super) work: f64,
    pub(super) has_begun: bool,
    /// Whether the head of the answer has arrived.
    pub(super) has_head: bool,
    pub(super) generated: u32,
    /// The version of the upstream, and how it was used when the request was sent.
    pub(super) version: Option<Version>,
    pub(super) version_use: Use,
    /// Whether the upstream's times say nothing of its version, as it was cold.
    pub(super) was_cold: bool,
    /// The time to the first event that the mean speed of the service lets expect, since a rollout
    /// judges a version by it; zero for a plain upstream.
    pub(super) expected: Millis,
    pub(super) first_event_at: Option<Millis>,
    /// The tokens in one event of the answer; 1 for a plain upstream.
    pub(super) tokens_per_event: u32,
}

impl SentRequest {
    /// Returns the number of events of the answer that have arrived.
    fn events(&self) -> u32 {
        self.generated / self.tokens_per_event.max(1)
    }

    fn disconnect(&self, now: Millis, beyond_memory: bool) -> Disconnect {
        Disconnect {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            digest: self.digest,
            has_head: self.has_head,
            events: self.events(),
            shared_parts: shared_parts(&self.parts).collect(),
            after_ms: now.since(self.sent_at),
            beyond_memory,
        }
    }
}

impl Traffic {
    pub(super) fn grant(
        &mut self,
        now: Millis,
        demand: &Demand,
        name: &UpstreamName,
    ) -> Option<Grant> {
        let plan = self.plan(&demand.service)?;
        let is_trial = self.on_causes_sent(now, demand);
        let entries = self.entry_count() as f64;
        let cold_rate = self.cold_rate(&plan, name);
        let upstream = self.upstreams.get_mut(name)?;
        if upstream.is_cold(now) {
            upstream.take_cold_token(now, cold_rate);
        }
        let unread = upstream.uncached_tokens(now, demand);
        let tokens_ahead = upstream.unread() + unread;
        let prompt = demand.prompt_tokens();
        let mean_speed = self.speeds.get(&demand.service).copied().unwrap_or_default();
        let speed = mean_speed.slowed_by(upstream.duration_factor(now));
        let expected = |speed: EngineSpeed| match plan.engine {
            Some(_) => speed.first_event_ms(tokens_ahead) as u64,
            None => 0,
        };
        let running = upstream.running(now) + 1;
        let basis = Basis {
            running: (upstream.own.running, upstream.peers.running),
            unread: upstream.unread(),
            to_read: unread,
            memory: upstream.memory(),
            failures: upstream.health.failure_rate(),
            is_cold: upstream.is_cold(now),
            expected_ms: expected(speed),
        };
        // Prompt parts that the upstream has cached take no more memory for another request.
        let memory = unread + u64::from(demand.expected_output);
        upstream.own.running += 1;
        upstream.backlog.push(demand.no, unread);
        upstream.own.unread = upstream.backlog.tokens();
        upstream.own.memory += memory;
        let announcements = upstream.record_prompt(now, demand);
        if !announcements.is_empty() {
            self.unannounced_parts.entry(name.clone()).or_default().extend(announcements);
        }
        let sent = SentRequest {
            upstream: name.clone(),
            incarnation: upstream.listed.started_unix_ms,
            digest: demand.digest,
            service: demand.service.clone(),
            organisation: demand.organisation.clone(),
            route: demand.route.clone(),
            sent_at: now,
            target: demand.target,
            running,
            tokens_ahead,
            memory,
            prompt,
            parts: demand.prompt.clone(),
            is_trial,
            expected_output: demand.expected_output,
            work: demand.work(),
            has_begun: false,
            has_head: false,
            generated: 0,
            version: upstream.listed.version.clone(),
            version_use: upstream.version_use,
            was_cold: upstream.is_cold(now),
            expected: Millis(expected(mean_speed)),
            first_event_at: None,
            tokens_per_event: plan.engine.as_ref().map_or(1, |engine| engine.tokens_per_event),
        };
        self.shares.on_served(now, &demand.organisation, demand.work());
        self.rollouts.on_sent(demand, sent.version_use);
        self.sent.insert(demand.no, sent);
        let share = f64::from(plan.max_connections) * CONNECTION_FRACTION / entries;
        Some(Grant {
            upstream: name.clone(),
            address: upstream.listed.address,
            incarnation: upstream.listed.started_unix_ms,
            version: upstream.listed.version.clone(),
            max_connections: (share as usize).max(1),
            basis,
        })
    }

    /// Records the first event of an answer.
    pub fn on_first_event(&mut self, now: Millis, no: RequestNo) {
        let Some(sent) = self.sent.get_mut(&no) else { return };
        if sent.has_begun {
            return;
        }
        sent.has_begun = true;
        sent.first_event_at = Some(now);
        if let Some(upstream) = self.upstreams.get_mut(&sent.upstream) {
            upstream.backlog.on_first_event(no);
            upstream.own.unread = upstream.backlog.tokens();
        }
        // A canary must not change what is expected of the others.
        if sent.version_use == Use::Serving {
            let speed = self.speeds.entry(sent.service.clone()).or_default();
            speed.on_first_event(sent.tokens_ahead, now.since(sent.sent_at));
        }
        if self.capabilities.is_in_force(&sent.service) {
            let sent = sent.clone();
            self.on_engine_duration(now, &sent);
        }
    }

    /// Records that the head of an answer has arrived.
    pub fn on_head(&mut self, no: RequestNo) {
        if let Some(sent) = self.sent.get_mut(&no) {
            sent.has_head = true;
        }
    }

    /// Records generated tokens.
    pub fn on_tokens(&mut self, now: Millis, no: RequestNo, tokens: u32) {
        let Some(sent) = self.sent.get_mut(&no) else { return };
        let before = sent.events();
        sent.generated += tokens;
        if before < BEGUN_EVENTS && sent.events() >= BEGUN_EVENTS {
            let parts = sent.parts.clone();
            self.on_answer_begun(now, &parts);
        }
    }

    /// Returns the address of the upstream that a request was sent to, unless that is no longer
    /// listed.
    pub fn address_of_sent(&self, no: RequestNo) -> Option<SocketAddr> {
        let sent = self.sent.get(&no)?;
        Some(self.upstreams.get(&sent.upstream)?.listed.address)
    }

    /// Returns the upstream that a request was sent to, unless the request has ended.
    pub fn upstream_of_sent(&self, no: RequestNo) -> Option<&UpstreamName> {
        self.sent.get(&no).map(|sent| &sent.upstream)
    }

    /// Records the load that an upstream reported on an answer.
    pub fn on_load(&mut self, now: Millis, name: &UpstreamName, load: ReportedLoad) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.on_report(now, load.running, load.waiting);
        }
        self.on_slowdown(now, name, load.slowdown);
    }

    /// Records the end of a request that was sent; returns how far it was if its upstream closed the
    /// connection.
    pub fn on_end(&mut self, now: Millis, no: RequestNo, end: SendEnd) -> Option<Disconnect> {
        let sent = self.sent.remove(&no)?;
        self.rollouts.on_end(now, &sent, end);
        let beyond_memory = self.note_memory_at_end(now, &sent, end);
        if end == SendEnd::Answered {
            self.durations.on_answered(&sent.route, now.since(sent.sent_at));
            self.on_plain_duration(now, &sent);
        }
        let service_rate = self.median_failure_rate(&sent.service);
        if let Some(upstream) = self.upstreams.get_mut(&sent.upstream) {
            upstream.own.running = upstream.own.running.saturating_sub(1);
            upstream.own.memory = upstream.own.memory.saturating_sub(sent.memory);
            if !sent.has_begun {
                upstream.backlog.remove(no);
                upstream.own.unread = upstream.backlog.tokens();
            }
            match end {
                SendEnd::Answered => upstream.health.on_answer(),
                SendEnd::Failed
                | SendEnd::Disconnected
                | SendEnd::ClosedByRunning
                | SendEnd::Broken => upstream.health.on_failure(now, service_rate),
                SendEnd::Unreachable => upstream.health.on_unreachable(now),
                SendEnd::Replaced => upstream.listed.is_ready = false,
                SendEnd::Rejected => {
                    let slots = upstream.listed.slots;
                    upstream.on_report(now, slots, 1);
                }
                SendEnd::Unread | SendEnd::Cancelled => {}
            }
        }
        self.on_plain_end(now, &sent, end);
        if !sent.has_begun && end != SendEnd::Answered {
            // The request never ran, so its charge is refunded. Without that, an organisation whose
            // upstreams crash would get less than the others while they do.
            self.shares.on_served(now, &sent.organisation, -sent.work);
        }
        self.update_output_average(now, &sent, end);
        match end {
            SendEnd::Answered => {
                self.on_answer_begun(now, &sent.parts);
                self.on_answered(now, sent.digest);
            }
            SendEnd::Failed => self.on_answered(now, sent.digest),
            _ => {}
        }
        match end {
            SendEnd::Disconnected => {
                let disconnect = sent.disconnect(now, beyond_memory);
                if !beyond_memory {
                    self.on_disconnect(now, &disconnect);
                }
                Some(disconnect)
            }
            SendEnd::ClosedByRunning => Some(sent.disconnect(now, beyond_memory)),
            _ => None,
        }
    }

    fn median_failure_rate(&self, service: &Service) -> f64 {
        let names = self.by_service.get(service).into_iter().flatten();
        let mut rates: Vec<f64> =
            names.map(|name| self.upstreams[name].health.failure_rate()).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }

    fn update_output_average(&mut self, now: Millis, sent: &SentRequest, end: SendEnd) {
        if sent.prompt == 0 || end != SendEnd::Answered {
            return;
        }
        let average =
            self.output_averages.entry(sent.route.clone()).or_insert(f64::from(sent.generated));
        *average += OUTPUT_SAMPLE_WEIGHT * (f64::from(sent.generated) - *average);
        let surplus = f64::from(sent.generated) - f64::from(sent.expected_output);
        self.shares.on_served(now, &sent.organisation, 2.0 * surplus);
    }
}
