//! An entry's part in the rollouts of all services.

use std::collections::{BTreeMap, HashMap};

use super::{Demand, SendEnd, SentRequest, upstream::Upstream};
use crate::{
    coordination::rollout::{Participant, Senders, Use, VersionedUpstream},
    core::{Millis, Service, UpstreamName},
    protocol::{
        fleet::ListedUpstream,
        rollout::{Answers, Histogram, Rollout, RolloutReport},
    },
};

/// The fewest events of a stream from which its pace is taken.
const MIN_PACE_EVENTS: u32 = 3;
/// Times relative to the expected one are counted in this many parts.
const EXPECTED_PARTS: f64 = 100.0;

/// The rollouts, as one entry takes part in them.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    services: HashMap<Service, Participant>,
    confirmed: Option<Millis>,
}

impl Rollouts {
    /// Applies the rollouts of all services.
    pub(super) fn set(
        &mut self,
        now: Millis,
        rollouts: &BTreeMap<Service, BTreeMap<u64, Rollout>>,
        senders: Senders<'_>,
    ) {
        for (service, rollouts) in rollouts {
            let participant = self.participant(service);
            participant.set_rollouts(now, service, rollouts, senders);
        }
    }

    fn participant(&mut self, service: &Service) -> &mut Participant {
        let confirmed = self.confirmed;
        self.services.entry(service.clone()).or_insert_with(|| {
            let mut participant = Participant::default();
            confirmed.into_iter().for_each(|at| participant.on_confirmed(at));
            participant
        })
    }

    /// Records that all rollouts ordered until `at` are known.
    pub(super) fn on_confirmed(&mut self, at: Millis) {
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
        self.services.values_mut().for_each(|participant| participant.on_confirmed(at));
    }

    /// Applies a list of upstreams.
    pub(super) fn on_listing(
        &mut self,
        now: Millis,
        upstreams: &BTreeMap<UpstreamName, Upstream>,
        by_service: &HashMap<Service, Vec<UpstreamName>>,
    ) {
        for (service, names) in by_service {
            let listed = names.iter().filter_map(|name| upstreams.get(name));
            let listed = listed.map(|upstream| versioned(&upstream.listed));
            self.participant(service).on_listed(now, listed);
        }
    }

    /// Returns how the version of an upstream is used.
    pub(super) fn use_of(&self, listed: &ListedUpstream) -> Use {
        let participant = self.services.get(&listed.service);
        participant.map_or(Use::Serving, |p| p.use_of(listed.version.as_ref()))
    }

    /// Returns whether the version of an upstream was found bad.
    pub(super) fn is_rolled_back(&self, listed: &ListedUpstream) -> bool {
        let participant = self.services.get(&listed.service);
        participant.is_some_and(|p| p.is_rolled_back(listed.version.as_ref()))
    }

    /// Returns whether a request may go to a canary. Repeats go to the old version: a
    /// caller meets the new one once at most.
    pub(super) fn allows_canary(&self, now: Millis, demand: &Demand) -> bool {
        let participant = self.services.get(&demand.service);
        !demand.is_repeat && participant.is_some_and(|p| p.allows_canary(now, &demand.route))
    }

    /// Returns whether the canary of a service is in its last exposure step.
    pub(super) fn is_last_step(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(Participant::is_last_step)
    }

    /// Returns whether the new version of a service is tested under the load of all its requests.
    pub(super) fn is_load_test(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(Participant::is_load_test)
    }

    /// Records that a request is sent to an upstream of a version with this use.
    pub(super) fn on_sent(&mut self, demand: &Demand, version_use: Use) {
        if let Some(participant) = self.services.get_mut(&demand.service) {
            participant.on_sent(&demand.route, version_use);
        }
    }

    /// Records the end of a request that was sent.
    pub(super) fn on_end(&mut self, now: Millis, sent: &SentRequest, end: SendEnd) {
        let Some(participant) = self.services.get_mut(&sent.service) else { return };
        participant.count(&sent.route, sent.version.as_ref(), sent.sent_at, |answers| {
            record_end(answers, now, sent, end);
        });
    }

    /// Returns what this entry has seen of the running rollouts; `process` identifies the process,
    /// and `sent` are the requests under way.
    pub(super) fn reports<'a>(
        &self,
        now: Millis,
        process: u64,
        sent: impl Iterator<Item = &'a SentRequest> + Clone,
    ) -> Vec<RolloutReport> {
        let mut reports = Vec::new();
        for (service, participant) in &self.services {
            let Some(report) = participant.report(now) else { continue };
            let of_service = sent.clone().filter(|sent| sent.service == *service);
            let (new, old): (Vec<_>, Vec<_>) =
                of_service.partition(|sent| sent.version.as_ref() == participant.new_version());
            reports.push(RolloutReport {
                process,
                old_running: old.len() as u32,
                open: open_waits(now, &new),
                ..report
            });
        }
        reports
    }
}

fn versioned(listed: &ListedUpstream) -> VersionedUpstream<'_> {
    VersionedUpstream {
        version: listed.version.as_ref(),
        started_unix_ms: listed.started_unix_ms,
        slots: if listed.is_ready { listed.slots } else { 0 },
    }
}

/// Returns how long requests have waited for their first byte, by route.
fn open_waits(now: Millis, sent: &[&SentRequest]) -> Vec<(String, Histogram)> {
    let mut open: BTreeMap<&str, Histogram> = BTreeMap::new();
    for sent in sent.iter().filter(|sent| sent.first_event_at.is_none() && !sent.was_cold) {
        let wait = relative_time(sent, now.since(sent.sent_at));
        open.entry(&sent.route).or_default().record(wait);
    }
    open.into_iter().map(|(route, waits)| (route.to_owned(), waits)).collect()
}

/// Returns a time to the first byte as [`Answers::first`] counts it.
fn relative_time(sent: &SentRequest, took: Millis) -> f64 {
    match sent.expected {
        Millis::ZERO => took.0 as f64,
        expected => EXPECTED_PARTS * took.0 as f64 / expected.0 as f64,
    }
}

fn record_end(answers: &mut Answers, now: Millis, sent: &SentRequest, end: SendEnd) {
    match end {
        SendEnd::Answered => answers.answered += 1,
        SendEnd::Failed | SendEnd::Disconnected | SendEnd::ClosedByRunning | SendEnd::Broken => {
            answers.failed += 1;
        }
        SendEnd::Cancelled => {}
        // None of these was an answer of the version, or its caller did not read it.
        SendEnd::Unreachable | SendEnd::Rejected | SendEnd::Replaced | SendEnd::Unread => return,
    }
    if !sent.was_cold {
        record_times(answers, now, sent, end);
    }
}

fn record_times(answers: &mut Answers, now: Millis, sent: &SentRequest, end: SendEnd) {
    match sent.first_event_at {
        Some(first) => {
            answers.first.record(relative_time(sent, first.since(sent.sent_at)));
            let events = sent.generated / sent.tokens_per_event;
            if events >= MIN_PACE_EVENTS {
                let pace = now.since(first).0 as f64 / f64::from(events - 1);
                answers.pace.record(pace);
            }
        }
        None if end == SendEnd::Answered && sent.expected == Millis::ZERO => {
            answers.first.record(relative_time(sent, now.since(sent.sent_at)));
        }
        None if end == SendEnd::Cancelled => {
            answers.abandoned.record(relative_time(sent, now.since(sent.sent_at)));
        }
        None => {}
    }
}
