//! Admission control and load balancing of one entry: which upstream each caller's request goes to,
//! which requests wait and which are refused.
//!
//! Every entry decides locally, from the requests that it sent, from what upstreams report on their
//! answers and from the load reports that entries exchange several times a second. No request waits
//! for an answer from another instance. Limits on the whole fleet, such as the request rate of a
//! cold upstream and the retry budget, are split into a fixed share for each entry, so they also
//! hold while the entries can't reach each other.

mod backlog;
mod barred;
mod budget;
mod capability;
mod cold;
mod decaying_sum;
mod demand;
mod durations;
mod engine;
mod health;
mod origins;
mod peer_reports;
mod placement;
mod plain;
mod pressure;
mod queue;
mod rollouts;
mod room;
mod sent;
mod shares;
mod upstream;
mod verdict;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

pub use self::{
    backlog::Backlog,
    budget::{Allowance, RetryBudget},
    capability::{CapabilityChange, CapabilityChanges},
    decaying_sum::DecayingSum,
    demand::{Demand, PromptPart, RequestNo, work_of},
    engine::EngineSpeed,
    health::Health,
    origins::stream_key,
    placement::PlacementError,
    plain::PlainStatus,
    room::{EarlyRequest, PeersWithRoom},
    shares::{ShareStatus, Shares},
    upstream::{ReportedLoad, Upstream},
    verdict::{Basis, CauseChange, Disconnect, Grant, SendEnd, Verdict},
};
use self::{
    capability::Capabilities, cold::cold_rate_share, durations::AnswerDurations, origins::Origins,
    peer_reports::PeerReports, plain::PlainServices, rollouts::Rollouts, room::RoomReports,
    sent::SentRequest,
};
pub(in crate::coordination) use self::{plain::PlainSums, shares::max_min_level};
use crate::{
    coordination::{
        crashes::CrashCauses,
        fleet::report_age,
        notices::{NoticeState, Notices, UpstreamNotice},
        rollout::{ExposureLimit, Senders},
    },
    core::{
        FailureDomain, Instance, Millis, Service, UpstreamName,
        configuration::{Configuration, ServiceConfig},
        fleet::FleetSettings,
    },
    protocol::{
        fleet::{CachedParts, ListedUpstream, LoadReport},
        rollout::{Rollout, RolloutReport},
    },
};

/// The admission control and load balancing state of one entry.
#[derive(Debug)]
pub struct Traffic {
    settings: Arc<FleetSettings>,
    configuration: Option<Arc<Configuration>>,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    by_service: HashMap<Service, Vec<UpstreamName>>,
    domains_out: BTreeSet<FailureDomain>,
    /// All entries of the fleet, including this one.
    entries: Vec<Instance>,
    notices: Notices,
    peer_reports: PeerReports,
    room: RoomReports,
    speeds: HashMap<Service, EngineSpeed>,
    capabilities: Capabilities,
    budgets: HashMap<Service, RetryBudget>,
    sent: HashMap<RequestNo, SentRequest>,
    waiting: Vec<queue::WaitingRequest>,
    /// When the waiting requests were last polled.
    last_poll: Millis,
    shares: Shares,
    plain: PlainServices,
    rollouts: Rollouts,
    origins: Origins,
    crash_causes: CrashCauses,
    /// Changes of the causes that are kept from upstreams, for the log.
    cause_changes: Vec<CauseChange>,
    /// Prompt parts that upstreams cache and that have not been reported to the other entries.
    unannounced_parts: BTreeMap<UpstreamName, Vec<u64>>,
    /// Moving average of the tokens generated per request, by route.
    output_averages: HashMap<Arc<str>, f64>,
    durations: AnswerDurations,
    /// Moving average of the time for which a request is in an engine's memory, in milliseconds.
    memory_times: HashMap<Service, f64>,
}

impl Traffic {
    /// Creates the state at process start.
    pub fn new(settings: Arc<FleetSettings>) -> Traffic {
        Traffic {
            settings,
            configuration: None,
            upstreams: BTreeMap::new(),
            by_service: HashMap::new(),
            domains_out: BTreeSet::new(),
            entries: Vec::new(),
            notices: Notices::default(),
            peer_reports: PeerReports::default(),
            room: RoomReports::default(),
            speeds: HashMap::new(),
            capabilities: Capabilities::default(),
            budgets: HashMap::new(),
            sent: HashMap::new(),
            waiting: Vec::new(),
            last_poll: Millis::ZERO,
            shares: Shares::default(),
            plain: PlainServices::default(),
            rollouts: Rollouts::default(),
            origins: Origins::default(),
            crash_causes: CrashCauses::default(),
            cause_changes: Vec::new(),
            unannounced_parts: BTreeMap::new(),
            output_averages: HashMap::new(),
            durations: AnswerDurations::default(),
            memory_times: HashMap::new(),
        }
    }

    /// Applies a configuration.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        self.origins.set_configuration(&configuration);
        self.configuration = Some(configuration);
    }

    /// Returns the configuration that is applied, if there is one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Sets the failure domains that are out of service.
    pub fn set_domains_out(&mut self, domains: BTreeSet<FailureDomain>) {
        self.domains_out = domains;
    }

    /// Sets the entries of the fleet.
    pub fn set_entries(&mut self, entries: Vec<Instance>) {
        self.entries = entries;
        let count = self.entry_count();
        self.shares.set_peers(count - 1, report_age(count));
    }

    /// Sets the rollouts of all services, by their ids.
    pub fn set_rollouts(
        &mut self,
        now: Millis,
        rollouts: &BTreeMap<Service, BTreeMap<u64, Rollout>>,
    ) {
        let senders = Senders {
            own: &self.settings.instance(),
            all: &self.entries,
            limit: ExposureLimit {
                fraction: self.settings.exposed_fraction,
                slack: self.settings.exposed_slack,
            },
        };
        self.rollouts.set(now, rollouts, senders);
        self.rollouts.on_listing(now, &self.upstreams, &self.by_service);
        self.update_version_uses();
    }

    /// Records that all rollouts ordered until `at` are known.
    pub fn on_rollouts_confirmed(&mut self, at: Millis) {
        self.rollouts.on_confirmed(at);
        self.update_version_uses();
    }

    /// Returns what this entry has seen of the running rollouts, for the control instances;
    /// `process` is a number that identifies this process.
    pub fn rollout_reports(&self, now: Millis, process: u64) -> Vec<RolloutReport> {
        self.rollouts.reports(now, process, self.sent.values())
    }

    /// Returns whether any upstream is known.
    pub fn has_upstreams(&self) -> bool {
        !self.upstreams.is_empty()
    }

    /// Returns the state of all upstreams.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamName, Upstream> {
        &self.upstreams
    }

    /// Returns the number of requests that wait at this entry.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of entries in the fleet, including this one; at least 1.
    pub fn entry_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Returns the requests per second that this entry may send to a cold upstream.
    fn cold_rate(&self, plan: &ServiceConfig, upstream: &UpstreamName) -> f64 {
        cold_rate_share(plan.cold_per_s, upstream, &self.settings.instance(), &self.entries)
    }

    fn plan(&self, service: &Service) -> Option<ServiceConfig> {
        self.configuration.as_ref()?.services.get(service).cloned()
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
        }
    }

    /// Replaces the known upstreams by the platform's complete list.
    pub fn set_listing(&mut self, now: Millis, listing: Vec<ListedUpstream>) {
        let noted = listing.iter().map(|l| (&l.name, l.started_unix_ms, !l.is_ready));
        self.notices.on_listing(now, noted);
        self.origins.on_listing(now, listing.iter());
        let names: BTreeSet<UpstreamName> = listing.iter().map(|l| l.name.clone()).collect();
        self.upstreams.retain(|name, _| names.contains(name));
        for listed in listing {
            match self.upstreams.get_mut(&listed.name) {
                Some(upstream) => upstream.relist(now, listed),
                None => {
                    let name = listed.name.clone();
                    self.upstreams.insert(name, Upstream::new(now, listed));
                }
            }
        }
        self.by_service.clear();
        for (name, upstream) in &mut self.upstreams {
            upstream.notices = self.notices.state(name, upstream.listed.started_unix_ms);
            let service = upstream.listed.service.clone();
            self.by_service.entry(service).or_default().push(name.clone());
        }
        self.peer_reports.recompute(&mut self.upstreams);
        self.rollouts.on_listing(now, &self.upstreams, &self.by_service);
        self.update_version_uses();
    }

    /// Records what an incarnation of an upstream asks for on an answer.
    pub fn on_notice(
        &mut self,
        now: Millis,
        name: &UpstreamName,
        incarnation: u64,
        notice: UpstreamNotice,
    ) {
        let state = self.notices.on_notice(now, name, incarnation, notice);
        if let Some(upstream) = self.upstreams.get_mut(name)
            && upstream.listed.started_unix_ms == incarnation
        {
            upstream.notices = state;
        }
    }

    /// Returns what the upstream of a grant has asked for.
    pub fn notices_of(&self, grant: &Grant) -> NoticeState {
        self.notices.state(&grant.upstream, grant.incarnation)
    }

    /// Returns whether a request that was granted an upstream may still be sent to it. The grant may
    /// have waited for a connection or for the processor, and the upstream may have asked for no
    /// requests or have restarted meanwhile, or the request may have been found to crash upstreams.
    pub fn may_send(&self, now: Millis, no: RequestNo) -> bool {
        let Some(sent) = self.sent.get(&no) else { return false };
        let listed = self.upstreams.get(&sent.upstream).map(|upstream| &upstream.listed);
        let is_out = listed.is_some_and(|listed| self.domains_out.contains(&listed.domain));
        let has_restarted = listed.is_some_and(|listed| listed.started_unix_ms != sent.incarnation);
        let is_barred = !sent.is_trial && self.barred(now, sent.digest, &sent.parts).is_some();
        !is_out
            && !has_restarted
            && !is_barred
            && self.notices.state(&sent.upstream, sent.incarnation).takes_requests(now)
    }

    fn update_version_uses(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.version_use = self.rollouts.use_of(&upstream.listed);
        }
    }

    /// Applies another entry's load report.
    pub fn on_report(&mut self, now: Millis, from: Instance, mut report: LoadReport) {
        self.origins.on_reported(now, std::mem::take(&mut report.begun));
        self.room.on_report(now, &self.settings.failure_domain, &report.room);
        for CachedParts(name, parts) in std::mem::take(&mut report.kept) {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.on_announced_parts(now, &parts);
            }
        }
        self.on_reported_observations(now, &report);
        self.peer_reports.on_report(now, from, report, &mut self.upstreams);
    }

    /// Drops the reports of entries that have stopped sending them.
    pub fn expire_reports(&mut self, now: Millis) {
        let entries = self.entry_count();
        self.peer_reports.expire(now, entries, &mut self.upstreams);
    }

    /// Returns the load report to send to the other entries, with the prompt parts and the
    /// begun streams that they were not told of yet.
    pub fn take_report(&mut self, now: Millis) -> LoadReport {
        self.refresh_capabilities(now);
        let announcements = std::mem::take(&mut self.unannounced_parts).into_iter();
        let kept = announcements.map(|(name, parts)| CachedParts(name, parts)).collect();
        let begun = self.origins.take_unreported();
        LoadReport { kept, begun, ..self.report(now) }
    }

    /// Returns this entry's load, without what is told only once.
    pub fn report(&self, now: Millis) -> LoadReport {
        LoadReport {
            loads: self.reported_loads(now),
            served: self.shares.served(now),
            requested: self.shares.requested(now),
            refused: self.shares.refused(now),
            room: self.own_room(),
            plain: self.plain_loads(now),
            ..LoadReport::default()
        }
    }

    /// Returns the number of tokens that a request is expected to generate: the mean of the
    /// caller's hint and the route's moving average, or the one of them that is known. With neither
    /// it is half of `max_output`, the largest number allowed.
    pub fn expected_output(&self, route: &str, hint: Option<u32>, max_output: u32) -> u32 {
        let average = self.output_averages.get(route).copied();
        let expected = match (hint, average) {
            (Some(hint), Some(average)) => (f64::from(hint) + average) / 2.0,
            (Some(hint), None) => f64::from(hint),
            (None, Some(average)) => average,
            (None, None) => f64::from(max_output) / 2.0,
        };
        (expected as u32).clamp(1, max_output.max(1))
    }

    /// Counts a caller's request towards the service's retry budget.
    pub fn on_request(&mut self, now: Millis, service: &Service) {
        let allowance = self.allowance();
        self.budgets.entry(service.clone()).or_default().on_request(now, allowance);
    }

    /// Returns whether a retry is left in the service's budget.
    pub fn has_retry(&mut self, now: Millis, service: &Service) -> bool {
        let (allowance, entries) = (self.allowance(), self.entry_count());
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.has_retry(now, allowance, entries)
    }

    /// Spends a retry from the service's budget; returns false if none is left.
    pub fn try_retry(&mut self, now: Millis, service: &Service) -> bool {
        let (allowance, entries) = (self.allowance(), self.entry_count());
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.try_retry(now, allowance, entries)
    }
}
