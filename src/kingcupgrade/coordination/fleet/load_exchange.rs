//! Exchange of load reports, without each entry sending to every other one.
//!
//! In a small fleet each entry sends its report to all others. The number of messages then grows
//! with the square of the fleet: with some dozens of entries, a small processor does nothing else.
//! In a larger fleet the entries of a failure domain send to two of them, the collectors.
//! Collectors add up the reports, exchange the sums of their failure domains, and send the total to
//! the entries of their own. Each entry subtracts its own report from it.
//!
//! Both collectors send the same, so one may be lost without a gap. The last message that arrives
//! replaces earlier ones.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    coordination::traffic::PlainSums,
    core::{FailureDomain, Instance, Millis, Organisation, Service, UpstreamName},
    protocol::{
        Message,
        fleet::{
            BegunStreams, CachedParts, DomainRoom, FleetEntry, FleetLoad, FleetMessage, Load,
            LoadReport, Observed,
        },
    },
    util::rendezvous,
};

/// Up to this size of a fleet each entry sends to all others: some hundred messages per second.
const MAX_MESH_ENTRIES: usize = 16;
/// The number of collectors in a failure domain.
const COLLECTORS: usize = 2;
/// The key of the rendezvous hash that selects the collectors.
const RANKING_KEY: &str = "collector";
/// The interval at which an entry sends its report. A shorter one costs processor time in every
/// entry; with a longer one entries send requests to the same upstream without knowing of each
/// other.
const MESH_INTERVAL: Millis = Millis(100);
/// The minimum of the same interval with collectors: each of the two collectors sends at this
/// interval, so totals arrive twice as often.
const MIN_COLLECTOR_INTERVAL: Millis = Millis(200);
/// The interval per entry of the fleet, so that a collector receives and sends a few hundred
/// messages per second at most.
const INTERVAL_PER_ENTRY: Millis = Millis(2);
/// The minimum time for which a report or a sum is valid: one or two may be lost.
const MIN_REPORT_TTL: Millis = Millis(1_500);
/// The minimum number of intervals for which a report or a sum is valid.
const MIN_REPORT_TTL_INTERVALS: u64 = 4;
/// The number of own reports that are remembered, to be subtracted from totals: more than are sent
/// while a total is on its way.
const MAX_OWN_REPORTS: usize = 32;
/// The name under which the total of all other entries is delivered, in place of the sender of a
/// report.
const TOTAL_SENDER: &str = "total";

/// Returns whether the entries of a fleet of `entries` exchange load through collectors.
pub fn has_collectors(entries: usize) -> bool {
    entries > MAX_MESH_ENTRIES
}

/// Returns the interval at which an entry sends its report in a fleet of `entries`.
pub fn share_interval(entries: usize) -> Millis {
    if entries <= MAX_MESH_ENTRIES {
        return MESH_INTERVAL;
    }
    MIN_COLLECTOR_INTERVAL.max(Millis(INTERVAL_PER_ENTRY.0 * entries as u64))
}

/// Returns the approximate age of the other entries' reports in a fleet of `entries`: a report is
/// half an interval old on average where each entry sends to all, and with collectors it also waits
/// at two of them.
pub fn report_age(entries: usize) -> Millis {
    let interval = share_interval(entries).0;
    if entries <= MAX_MESH_ENTRIES { Millis(interval / 2) } else { Millis(interval * 3 / 2) }
}

/// Returns how long a report is valid in a fleet of `entries`.
pub fn report_ttl(entries: usize) -> Millis {
    MIN_REPORT_TTL.max(Millis(share_interval(entries).0 * MIN_REPORT_TTL_INTERVALS))
}

/// The entries that this entry sends to, derived from the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Topology {
    /// The number of entries in the fleet.
    entries: usize,
    /// The entries that this entry sends its reports to.
    receivers: Vec<Instance>,
    /// The other entries of this failure domain, if this entry is a collector.
    members: Option<Vec<Instance>>,
    /// The collectors of the other failure domains.
    remote_collectors: Vec<Instance>,
}

impl Topology {
    fn new(own: &Instance, own_domain: &FailureDomain, fleet_entries: &[FleetEntry]) -> Topology {
        let others = fleet_entries.iter().filter(|FleetEntry(entry, _)| entry != own);
        if fleet_entries.len() <= MAX_MESH_ENTRIES {
            let receivers = others.map(|FleetEntry(entry, _)| entry.clone()).collect();
            return Topology { entries: fleet_entries.len(), receivers, ..Topology::default() };
        }
        let mut domains: BTreeMap<&FailureDomain, Vec<Instance>> = BTreeMap::new();
        domains.entry(own_domain).or_default().push(own.clone());
        for FleetEntry(entry, domain) in others {
            domains.entry(domain).or_default().push(entry.clone());
        }
        let collectors = |entries: &[Instance]| {
            let mut ranked = rendezvous::ranking(RANKING_KEY, entries.iter().cloned());
            ranked.truncate(COLLECTORS);
            ranked
        };
        let local_entries = domains.remove(own_domain).unwrap_or_default();
        let local_collectors = collectors(&local_entries);
        let members: Vec<Instance> =
            local_entries.into_iter().filter(|entry| entry != own).collect();
        Topology {
            entries: fleet_entries.len(),
            members: local_collectors.contains(own).then_some(members),
            receivers: local_collectors.into_iter().filter(|entry| entry != own).collect(),
            remote_collectors: domains.values().flat_map(|entries| collectors(entries)).collect(),
        }
    }

    fn is_mesh(&self) -> bool {
        self.entries <= MAX_MESH_ENTRIES
    }

    /// Returns the entries that get the reports of others.
    fn keepers(&self) -> impl Iterator<Item = &Instance> {
        self.receivers.iter().chain(&self.remote_collectors)
    }
}

/// An action for the node to carry out.
#[derive(Debug)]
pub(super) enum LoadExchangeOutput {
    /// Send a message to several entries.
    SendToAll(Vec<Instance>, Message),
    /// Other entries have this load under way.
    LoadReceived(Instance, LoadReport),
    /// Another entry began these streams.
    StreamsBegun(Vec<BegunStreams>),
}

/// The reports and sums known to one entry.
#[derive(Debug, Default)]
pub(super) struct LoadExchange {
    topology: Topology,
    own: VecDeque<LoadReport>,
    next_number: u32,
    /// The reports of the other entries of this failure domain, if this entry is a collector.
    members: BTreeMap<Instance, (Millis, LoadReport)>,
    /// The sums of the other failure domains.
    domains: BTreeMap<FailureDomain, (Millis, LoadReport)>,
    /// The cached parts that entries of this failure domain announced, and that were not passed on
    /// yet.
    local_parts: Vec<CachedParts>,
    /// The same that collectors of other failure domains announced.
    remote_parts: Vec<CachedParts>,
}

impl LoadExchange {
    /// Updates the topology from the entries of the fleet.
    pub(super) fn set_entries(
        &mut self,
        own: &Instance,
        domain: &FailureDomain,
        fleet_entries: &[FleetEntry],
    ) {
        self.topology = Topology::new(own, domain, fleet_entries);
    }

    /// Sends this entry's report, and the sums if it is a collector.
    pub(super) fn share(
        &mut self,
        now: Millis,
        own: &Instance,
        domain: &FailureDomain,
        mut report: LoadReport,
        out: &mut Vec<LoadExchangeOutput>,
    ) {
        report.number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        let message = Message::Fleet(FleetMessage::Load(report.clone()));
        out.push(LoadExchangeOutput::SendToAll(self.topology.receivers.clone(), message));
        if self.topology.is_mesh() {
            return;
        }
        report.begun = Vec::new();
        if self.topology.members.is_some() {
            add_unknown(&mut self.local_parts, std::mem::take(&mut report.kept));
        }
        self.own.push_back(report);
        if self.own.len() > MAX_OWN_REPORTS {
            self.own.pop_front();
        }
        if let Some(members) = self.topology.members.clone() {
            self.send_sums(now, own, domain, members, out);
        }
    }

    fn send_sums(
        &mut self,
        now: Millis,
        own: &Instance,
        domain: &FailureDomain,
        members: Vec<Instance>,
        out: &mut Vec<LoadExchangeOutput>,
    ) {
        let ttl = report_ttl(self.topology.entries);
        self.members.retain(|_, (at, _)| now.since(*at) <= ttl);
        self.domains.retain(|_, (at, _)| now.since(*at) <= ttl);
        let mut sum = Sum::default();
        let mut parts = Vec::new();
        for (member, (_, report)) in &self.members {
            sum.add(report, 1);
            parts.push((member.clone(), report.number));
        }
        if let Some(report) = self.own.back() {
            sum.add(report, 1);
            parts.push((own.clone(), report.number));
        }
        let local = std::mem::take(&mut self.local_parts);
        let domain_sum = LoadReport { kept: local.clone(), ..sum.to_report() };
        let message = FleetMessage::DomainLoad(domain.clone(), domain_sum);
        out.push(LoadExchangeOutput::SendToAll(
            self.topology.remote_collectors.clone(),
            Message::Fleet(message),
        ));
        for (_, report) in self.domains.values() {
            sum.add(report, 1);
        }
        let mut kept = std::mem::take(&mut self.remote_parts);
        add_unknown(&mut kept, local);
        let total = FleetLoad { report: LoadReport { kept, ..sum.to_report() }, parts };
        out.extend(self.on_total(own, &total));
        out.push(LoadExchangeOutput::SendToAll(
            members,
            Message::Fleet(FleetMessage::Total(total)),
        ));
    }

    /// Handles another entry's report.
    pub(super) fn on_load(
        &mut self,
        now: Millis,
        from: &Instance,
        mut report: LoadReport,
    ) -> Option<LoadExchangeOutput> {
        if self.topology.is_mesh() {
            return Some(LoadExchangeOutput::LoadReceived(from.clone(), report));
        }
        if self.topology.members.is_some() {
            add_unknown(&mut self.local_parts, std::mem::take(&mut report.kept));
        }
        let begun = std::mem::take(&mut report.begun);
        self.members.insert(from.clone(), (now, report));
        (!begun.is_empty()).then_some(LoadExchangeOutput::StreamsBegun(begun))
    }

    /// Returns whether each entry sends to all others.
    pub(super) fn is_mesh(&self) -> bool {
        self.topology.is_mesh()
    }

    /// Returns the entries that this entry sends to.
    pub(super) fn receivers(&self) -> Vec<Instance> {
        self.topology.receivers.clone()
    }

    /// Returns the other entries of this failure domain, if this entry is a collector.
    pub(super) fn members(&self) -> Option<&[Instance]> {
        self.topology.members.as_deref()
    }

    /// Returns the collectors of the other failure domains.
    pub(super) fn remote_collectors(&self) -> Vec<Instance> {
        self.topology.remote_collectors.clone()
    }

    /// Returns the entries that may know which streams others began.
    pub(super) fn origin_keepers(&self, own: &Instance) -> Vec<Instance> {
        self.topology.keepers().filter(|keeper| *keeper != own).cloned().collect()
    }

    /// Handles the sum of another failure domain.
    pub(super) fn on_domain_sum(
        &mut self,
        now: Millis,
        domain: FailureDomain,
        mut sum: LoadReport,
    ) {
        if self.topology.members.is_some() {
            add_unknown(&mut self.remote_parts, std::mem::take(&mut sum.kept));
        }
        self.domains.insert(domain, (now, sum));
    }

    /// Handles the total of the fleet, and subtracts this entry's report from it.
    pub(super) fn on_total(&self, own: &Instance, total: &FleetLoad) -> Option<LoadExchangeOutput> {
        let mut sum = Sum::default();
        sum.add(&total.report, 1);
        let number = total.parts.iter().find(|(entry, _)| entry == own).map(|(_, number)| *number);
        let part = number.and_then(|n| self.own.iter().find(|report| report.number == n));
        if let Some(report) = part {
            sum.add(report, -1);
        }
        let report = LoadReport { kept: total.report.kept.clone(), ..sum.to_report() };
        Some(LoadExchangeOutput::LoadReceived(Instance::from(TOTAL_SENDER), report))
    }
}

/// Adds announced parts, once where both collectors of a failure domain send the same.
fn add_unknown(known: &mut Vec<CachedParts>, announced: Vec<CachedParts>) {
    for parts in announced {
        if !known.contains(&parts) {
            known.push(parts);
        }
    }
}

/// A sum of reports.
#[derive(Debug, Default)]
struct Sum {
    loads: BTreeMap<UpstreamName, LoadSum>,
    served: BTreeMap<Organisation, f64>,
    requested: BTreeMap<Organisation, f64>,
    refused: BTreeMap<Organisation, f64>,
    /// Entries, and those of them with room.
    room: BTreeMap<FailureDomain, [i64; 2]>,
    plain: BTreeMap<Service, PlainSums>,
}

/// The sum of the loads of one upstream.
#[derive(Debug, Default)]
struct LoadSum {
    /// Running requests, unread tokens and memory.
    amounts: [i64; 3],
    observed: Observed,
}

impl LoadSum {
    fn to_load(&self) -> Load {
        let [running, unread, memory] = self.amounts.map(|sum| sum.max(0) as u64);
        Load { running: running as u32, unread, memory, observed: self.observed }
    }
}

impl Sum {
    /// Adds a report multiplied by `sign`, which is 1 or -1.
    fn add(&mut self, report: &LoadReport, sign: i64) {
        for (name, load) in &report.loads {
            let amounts = [i64::from(load.running), load.unread as i64, load.memory as i64];
            let sum = self.loads.entry(name.clone()).or_default();
            sum.amounts.iter_mut().zip(amounts).for_each(|(sum, amount)| *sum += sign * amount);
            match sign {
                1 => sum.observed.add(&load.observed),
                _ => sum.observed.subtract(&load.observed),
            }
        }
        let all = [
            (&mut self.served, &report.served),
            (&mut self.requested, &report.requested),
            (&mut self.refused, &report.refused),
        ];
        for (sums, reported) in all {
            for (organisation, tokens) in reported {
                *sums.entry(organisation.clone()).or_default() += sign as f64 * f64::from(*tokens);
            }
        }
        for room in &report.room {
            let sums = self.room.entry(room.domain.clone()).or_default();
            sums[0] += sign * i64::from(room.entries);
            sums[1] += sign * i64::from(room.with_room);
        }
        for load in &report.plain {
            self.plain.entry(load.service.clone()).or_default().add(load, sign as f64);
        }
    }

    fn to_report(&self) -> LoadReport {
        let loads = self.loads.iter().map(|(name, sum)| (name.clone(), sum.to_load()));
        let loads = loads.filter(|(_, load)| *load != Load::default());
        let tokens = |sums: &BTreeMap<Organisation, f64>| {
            let sums = sums.iter().filter(|(_, tokens)| **tokens >= 1.0);
            sums.map(|(organisation, tokens)| (organisation.clone(), *tokens as f32)).collect()
        };
        let room = self.room.iter().filter(|(_, [entries, _])| *entries > 0);
        let room = room.map(|(domain, sums)| {
            let [entries, with_room] = sums.map(|sum| sum.max(0) as u32);
            DomainRoom { domain: domain.clone(), entries, with_room }
        });
        let plain = self.plain.iter().map(|(service, sums)| sums.to_load(service));
        LoadReport {
            loads: loads.collect(),
            served: tokens(&self.served),
            requested: tokens(&self.requested),
            refused: tokens(&self.refused),
            room: room.collect(),
            plain: plain.collect(),
            ..LoadReport::default()
        }
    }
}
