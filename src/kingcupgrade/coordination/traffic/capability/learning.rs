//! Learns the capabilities of upstreams from answers and from the reports of other entries.

use super::{CapabilityChange, CapabilityChanges, LimitStep, Outcome, plausible_log};
use crate::{
    coordination::{
        fleet::report_age,
        rollout::Use,
        traffic::{SentRequest, Traffic, Upstream},
    },
    core::{Millis, Service, UpstreamName},
    protocol::fleet::{Load, LoadReport},
};

/// Answers before which as many tokens were read count in full. With fewer, more of the time is
/// spent on other things than reading, and they count in proportion.
const RELIABLE_TOKENS: f64 = 4_000.0;
/// The weight from which statements are current enough to judge an upstream's load.
const MIN_STATEMENTS: f64 = 0.5;
/// The limit of upstreams without requests of this entry whose observations are in a report. A
/// report has a few hundred milliseconds to be sent in, to two collectors and within 26 KB a second
/// together with all else.
const MAX_IDLE_REPORTED: usize = 16;

impl Traffic {
    /// Records a slowdown that an upstream stated.
    pub(in super::super) fn on_slowdown(
        &mut self,
        now: Millis,
        name: &UpstreamName,
        slowdown: Option<f32>,
    ) {
        let stated = slowdown.and_then(|slowdown| plausible_log(f64::from(slowdown)));
        let (Some(log_slowdown), Some(upstream)) = (stated, self.upstreams.get_mut(name)) else {
            return;
        };
        upstream.capability.on_statement(now, log_slowdown);
        self.capabilities.put_in_force(&upstream.listed.service);
    }

    /// Records the observations in another entry's report.
    pub(in super::super) fn on_reported_observations(&mut self, now: Millis, report: &LoadReport) {
        let age = report_age(self.entry_count());
        for (name, load) in report.loads.iter().filter(|(_, load)| !load.observed.is_empty()) {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.capability.on_reported(now, age, &load.observed);
                self.capabilities.put_in_force(&upstream.listed.service);
            }
        }
    }

    /// Records the first event of an engine's answer.
    pub(in super::super) fn on_engine_duration(&mut self, now: Millis, sent: &SentRequest) {
        if sent.expected > Millis::ZERO {
            let weight = (sent.tokens_ahead as f64 / RELIABLE_TOKENS).min(1.0);
            self.on_duration(now, sent, sent.expected.0 as f64, weight);
        }
    }

    /// Records the end of a plain request that was answered. Those that had to wait at the upstream
    /// say nothing of its speed.
    pub(in super::super) fn on_plain_duration(&mut self, now: Millis, sent: &SentRequest) {
        let is_plain = sent.prompt == 0 && sent.expected == Millis::ZERO;
        let slots = self.upstreams.get(&sent.upstream).map_or(0, |upstream| upstream.listed.slots);
        if !is_plain || sent.running > slots {
            return;
        }
        let Some(means) = self.capabilities.services.get_mut(&sent.service) else { return };
        if sent.version_use == Use::Serving && !sent.was_cold {
            means.on_plain_duration(now.since(sent.sent_at).0 as f64);
        }
        if let Some(mean_ms) = means.plain_ms {
            self.on_duration(now, sent, mean_ms, 1.0);
        }
    }

    /// Compares an answer's duration with the one that the mean of the service lets expect.
    fn on_duration(&mut self, now: Millis, sent: &SentRequest, expected_ms: f64, weight: f64) {
        let Some(means) = self.capabilities.services.get_mut(&sent.service) else { return };
        let Some(upstream) = self.upstreams.get_mut(&sent.upstream) else { return };
        if sent.was_cold || upstream.listed.started_unix_ms != sent.incarnation {
            return;
        }
        let took_ms = now.since(sent.sent_at).0 as f64;
        let Some(log_ratio) = plausible_log(took_ms / expected_ms.max(1.0)) else { return };
        let relative = log_ratio - means.excess;
        upstream.capability.on_duration(now, relative, weight, &upstream.peers.observed);
        // A rollout limits the exposure of a canary and judges its answers.
        if sent.version_use != Use::Serving {
            return;
        }
        means.on_excess(log_ratio);
        let slack = sent.target.since(sent.sent_at).0 as f64 / expected_ms.max(1.0);
        if slack <= 1.0 {
            return;
        }
        means.on_slack(slack.ln());
        let outcome = Outcome {
            is_late: log_ratio > slack.ln(),
            running: sent.running.max(upstream.running(now)),
            slots: upstream.listed.slots,
        };
        let step = upstream.capability.limit.on_answer(now, outcome, &mut means.late);
        self.log_limit(now, &sent.upstream, step);
    }

    /// Computes the lasting speeds of all upstreams relative to the means of their services, and
    /// judges their loads by what all entries know of their present slowdowns.
    pub(in super::super) fn refresh_capabilities(&mut self, now: Millis) {
        let services: Vec<Service> = self.capabilities.services.keys().cloned().collect();
        for service in services {
            let names = self.by_service.get(&service).cloned().unwrap_or_default();
            let mean = self.mean_estimate(now, &names);
            for name in &names {
                self.refresh_lasting(now, name, mean);
                self.judge_load(now, &service, name);
            }
        }
    }

    /// Returns the mean over the upstreams that serve, each weighted by the confidence in it, so
    /// that the lasting parts relative to it cancel out.
    fn mean_estimate(&self, now: Millis, names: &[UpstreamName]) -> f64 {
        let serving = names.iter().filter_map(|name| self.upstreams.get(name));
        let serving = serving.filter(|upstream| upstream.version_use == Use::Serving);
        let (mut sum, mut weight) = (0.0, 0.0);
        for upstream in serving {
            let estimate = upstream.capability.estimate(now, &upstream.peers.observed);
            sum += estimate.mean * estimate.confidence();
            weight += estimate.confidence();
        }
        if weight > 0.0 { sum / weight } else { 0.0 }
    }

    fn refresh_lasting(&mut self, now: Millis, name: &UpstreamName, mean: f64) {
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let estimate = upstream.capability.estimate(now, &upstream.peers.observed);
        let lasting = (estimate.mean - mean) * estimate.confidence();
        let before = upstream.capability.rank_weight();
        if upstream.capability.set_lasting(lasting).is_some() {
            let rank_weight = Some((before, upstream.capability.rank_weight()));
            let change = CapabilityChange { rank_weight, ..change_of(now, upstream) };
            self.capabilities.changes.push(change);
        }
    }

    /// Judges whether answers of an upstream would be late at its present slowdown.
    fn judge_load(&mut self, now: Millis, service: &Service, name: &UpstreamName) {
        let Some(means) = self.capabilities.services.get_mut(service) else { return };
        let Some(slack) = means.slack else { return };
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        let running = upstream.running(now);
        let (_, statements) = upstream.capability.stated(now, &upstream.peers.observed);
        if upstream.version_use != Use::Serving || statements < MIN_STATEMENTS || running == 0 {
            return;
        }
        let outcome = Outcome {
            is_late: upstream.duration_factor(now).ln() > slack,
            running,
            slots: upstream.listed.slots,
        };
        let step = upstream.capability.limit.on_slowdown(now, outcome, &mut means.late);
        self.log_limit(now, name, step);
    }

    fn log_limit(&mut self, now: Millis, name: &UpstreamName, step: Option<LimitStep>) {
        let (Some(step), Some(upstream)) = (step, self.upstreams.get(name)) else { return };
        let change = CapabilityChange { limit: Some(step), ..change_of(now, upstream) };
        self.capabilities.changes.push(change);
    }

    /// Returns the changes of limits and ranks since the last call, for the log.
    pub fn take_capability_changes(&mut self) -> CapabilityChanges {
        std::mem::take(&mut self.capabilities.changes)
    }

    /// Returns the loads to report: those of upstreams with requests of this entry, and of some
    /// without that were observed last.
    pub(in super::super) fn reported_loads(&self, now: Millis) -> Vec<(UpstreamName, Load)> {
        let loads = self.upstreams.iter().map(|(name, upstream)| {
            let observed = upstream.capability.observed(now);
            (name, Load { observed, ..upstream.own.clone() })
        });
        let (mut reported, idle): (Vec<_>, Vec<_>) = loads.partition(|(_, load)| load.running > 0);
        let mut idle: Vec<_> =
            idle.into_iter().filter(|(_, load)| !load.observed.is_empty()).collect();
        idle.sort_by_key(|(_, load)| {
            std::cmp::Reverse((load.observed.statements, load.observed.answers))
        });
        idle.truncate(MAX_IDLE_REPORTED);
        reported.extend(idle);
        reported.into_iter().map(|(name, load)| (name.clone(), load)).collect()
    }
}

fn change_of(now: Millis, upstream: &Upstream) -> CapabilityChange {
    CapabilityChange {
        upstream: upstream.listed.name.clone(),
        incarnation: upstream.listed.started_unix_ms,
        duration_factor: upstream.duration_factor(now),
        answers: upstream.capability.answers(now, &upstream.peers.observed),
        limit: None,
        rank_weight: None,
    }
}
