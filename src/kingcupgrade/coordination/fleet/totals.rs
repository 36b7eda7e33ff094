//! What each entry learns of the others' load, without every entry telling every other.
//!
//! In a small fleet each entry tells all others. Messages then grow with the square of the fleet:
//! at some dozen entries a small processor does nothing else. In a larger one the entries of a
//! failure domain tell two of them, the collectors; these add up what they hear, exchange the sums
//! of their domains, and tell their own domain the total. Each entry takes out its own part.
//!
//! Two collectors say the same, so one may be lost without a gap; the later word counts.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    core::{FailureDomain, Instance, Millis, Organisation, UpstreamName},
    protocol::{
        Message,
        fleet::{CachedParts, FleetEntry, FleetLoad, FleetMessage, Load, LoadReport},
    },
    util::rendezvous,
};

/// Up to this many entries each tells all others: some hundred messages a second.
const MESH_MOST: usize = 16;
/// Collectors of a failure domain.
const COLLECTORS: usize = 2;
/// What the collectors' ranking is drawn by.
const RANKING_KEY: &str = "collector";
/// How often an entry tells of its load. Shorter costs processor time in every entry; longer lets
/// entries send to the same upstream without knowing.
const MESH_INTERVAL: Millis = Millis(100);
/// The same where collectors add up: each of two collectors tells as often, in turn.
const COLLECTED_INTERVAL: Millis = Millis(200);
/// The interval grows by this for each entry, so that a collector hears and tells a few hundred
/// times a second at most.
const INTERVAL_PER_ENTRY: Millis = Millis(2);
/// A report or a sum counts for this long at least: one or two may be lost.
const TTL: Millis = Millis(1_500);
/// And for this many intervals.
const TTL_INTERVALS: u64 = 4;
/// Own reports that are remembered, to be taken out of totals: more than are told while one is on
/// its way.
const OWN_REPORTS: usize = 32;
/// Whose report the total of all others counts as.
const TOTAL: &str = "total";

/// Returns how often an entry tells of its load in a fleet of so many.
pub fn share_interval(entries: usize) -> Millis {
    if entries <= MESH_MOST {
        return MESH_INTERVAL;
    }
    COLLECTED_INTERVAL.max(Millis(INTERVAL_PER_ENTRY.0 * entries as u64))
}

/// Returns how old what an entry knows of the others is, about, in a fleet of so many: a report is
/// half an interval old on average where each tells all, and waits at two collectors beyond that.
pub fn report_age(entries: usize) -> Millis {
    let interval = share_interval(entries).0;
    if entries <= MESH_MOST { Millis(interval / 2) } else { Millis(interval * 3 / 2) }
}

/// Returns how long a report counts in a fleet of so many.
pub fn report_ttl(entries: usize) -> Millis {
    TTL.max(Millis(share_interval(entries).0 * TTL_INTERVALS))
}

/// Whom an entry tells, as follows from the fleet's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Layout {
    /// How many entries the fleet has.
    entries: usize,
    /// Who hears this entry's reports.
    hearers: Vec<Instance>,
    /// Where this entry collects: the others of its failure domain.
    members: Option<Vec<Instance>>,
    /// The collectors of the other failure domains.
    far_collectors: Vec<Instance>,
}

impl Layout {
    fn new(own: &Instance, own_domain: &FailureDomain, residents: &[FleetEntry]) -> Layout {
        let others = residents.iter().filter(|FleetEntry(entry, _)| entry != own);
        if residents.len() <= MESH_MOST {
            let hearers = others.map(|FleetEntry(entry, _)| entry.clone()).collect();
            return Layout { entries: residents.len(), hearers, ..Layout::default() };
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
        let here = domains.remove(own_domain).unwrap_or_default();
        let near = collectors(&here);
        let members: Vec<Instance> = here.into_iter().filter(|entry| entry != own).collect();
        Layout {
            entries: residents.len(),
            members: near.contains(own).then_some(members),
            hearers: near.into_iter().filter(|entry| entry != own).collect(),
            far_collectors: domains.values().flat_map(|entries| collectors(entries)).collect(),
        }
    }

    fn is_mesh(&self) -> bool {
        self.entries <= MESH_MOST
    }
}

/// Something to do.
#[derive(Debug)]
pub(super) enum TotalsOutput {
    /// Send a message to several entries.
    SendToAll(Vec<Instance>, Message),
    /// Others have this under way.
    Heard(Instance, LoadReport),
}

/// The reports and sums known to one entry.
#[derive(Debug, Default)]
pub(super) struct Totals {
    layout: Layout,
    own: VecDeque<LoadReport>,
    next_number: u32,
    /// Reports of the other entries of this failure domain, where this entry collects.
    members: BTreeMap<Instance, (Millis, LoadReport)>,
    /// The sums of the other failure domains.
    domains: BTreeMap<FailureDomain, (Millis, LoadReport)>,
    /// Parts kept by upstreams that this failure domain's entries told of, not passed on yet.
    kept_here: Vec<CachedParts>,
    /// The same that the collectors of the others told of.
    kept_elsewhere: Vec<CachedParts>,
}

impl Totals {
    /// Takes in who is in the fleet.
    pub(super) fn set_residents(
        &mut self,
        own: &Instance,
        domain: &FailureDomain,
        residents: &[FleetEntry],
    ) {
        self.layout = Layout::new(own, domain, residents);
    }

    /// Tells of this entry's load, and of the sums where it collects.
    pub(super) fn share(
        &mut self,
        now: Millis,
        own: &Instance,
        domain: &FailureDomain,
        mut report: LoadReport,
        out: &mut Vec<TotalsOutput>,
    ) {
        report.number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        let message = Message::Fleet(FleetMessage::Load(report.clone()));
        out.push(TotalsOutput::SendToAll(self.layout.hearers.clone(), message));
        if self.layout.is_mesh() {
            return;
        }
        if self.layout.members.is_some() {
            add_news(&mut self.kept_here, &mut report.kept);
        }
        self.own.push_back(report);
        if self.own.len() > OWN_REPORTS {
            self.own.pop_front();
        }
        if let Some(members) = self.layout.members.clone() {
            self.tell_sums(now, own, domain, members, out);
        }
    }

    fn tell_sums(
        &mut self,
        now: Millis,
        own: &Instance,
        domain: &FailureDomain,
        members: Vec<Instance>,
        out: &mut Vec<TotalsOutput>,
    ) {
        let ttl = report_ttl(self.layout.entries);
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
        let here = std::mem::take(&mut self.kept_here);
        let domain_sum = LoadReport { kept: here.clone(), ..sum.to_report() };
        let message = FleetMessage::DomainLoad(domain.clone(), domain_sum);
        out.push(TotalsOutput::SendToAll(
            self.layout.far_collectors.clone(),
            Message::Fleet(message),
        ));
        for (_, report) in self.domains.values() {
            sum.add(report, 1);
        }
        let mut kept = std::mem::take(&mut self.kept_elsewhere);
        kept.extend(here);
        let total = FleetLoad { report: LoadReport { kept, ..sum.to_report() }, parts };
        out.extend(self.on_total(own, &total));
        out.push(TotalsOutput::SendToAll(members, Message::Fleet(FleetMessage::Total(total))));
    }

    /// Takes in another entry's report.
    pub(super) fn on_load(
        &mut self,
        now: Millis,
        from: &Instance,
        mut report: LoadReport,
    ) -> Option<TotalsOutput> {
        if self.layout.is_mesh() {
            return Some(TotalsOutput::Heard(from.clone(), report));
        }
        if self.layout.members.is_some() {
            add_news(&mut self.kept_here, &mut report.kept);
        }
        self.members.insert(from.clone(), (now, report));
        None
    }

    /// Takes in the sum of another failure domain.
    pub(super) fn on_domain_sum(
        &mut self,
        now: Millis,
        domain: FailureDomain,
        mut sum: LoadReport,
    ) {
        if self.layout.members.is_some() {
            add_news(&mut self.kept_elsewhere, &mut sum.kept);
        }
        self.domains.insert(domain, (now, sum));
    }

    /// Takes in the total of the fleet, and takes this entry's part out of it.
    pub(super) fn on_total(&self, own: &Instance, total: &FleetLoad) -> Option<TotalsOutput> {
        let mut sum = Sum::default();
        sum.add(&total.report, 1);
        let number = total.parts.iter().find(|(entry, _)| entry == own).map(|(_, number)| *number);
        let part = number.and_then(|n| self.own.iter().find(|report| report.number == n));
        if let Some(report) = part {
            sum.add(report, -1);
        }
        let report = LoadReport { kept: total.report.kept.clone(), ..sum.to_report() };
        Some(TotalsOutput::Heard(Instance::from(TOTAL), report))
    }
}

/// Adds what was told of kept parts, once where both collectors of a failure domain tell it.
fn add_news(known: &mut Vec<CachedParts>, told: &mut Vec<CachedParts>) {
    let news = std::mem::take(told).into_iter();
    for parts in news {
        if !known.contains(&parts) {
            known.push(parts);
        }
    }
}

/// A sum of reports.
#[derive(Debug, Default)]
struct Sum {
    loads: BTreeMap<UpstreamName, [i64; 3]>,
    served: BTreeMap<Organisation, f64>,
    asked: BTreeMap<Organisation, f64>,
    refused: BTreeMap<Organisation, f64>,
}

impl Sum {
    /// Adds a report, or takes it out where `sign` is -1.
    fn add(&mut self, report: &LoadReport, sign: i64) {
        for (name, load) in &report.loads {
            let amounts = [i64::from(load.running), load.unread as i64, load.memory as i64];
            let sums = self.loads.entry(name.clone()).or_default();
            sums.iter_mut().zip(amounts).for_each(|(sum, amount)| *sum += sign * amount);
        }
        let all = [
            (&mut self.served, &report.served),
            (&mut self.asked, &report.asked),
            (&mut self.refused, &report.refused),
        ];
        for (sums, told) in all {
            for (organisation, tokens) in told {
                *sums.entry(organisation.clone()).or_default() += sign as f64 * f64::from(*tokens);
            }
        }
    }

    fn to_report(&self) -> LoadReport {
        let loads = self.loads.iter().filter(|(_, sums)| **sums != [0; 3]);
        let loads = loads.map(|(name, sums)| {
            let [running, unread, memory] = sums.map(|sum| sum.max(0) as u64);
            (name.clone(), Load { running: running as u32, unread, memory })
        });
        let tokens = |sums: &BTreeMap<Organisation, f64>| {
            let sums = sums.iter().filter(|(_, tokens)| **tokens >= 1.0);
            sums.map(|(organisation, tokens)| (organisation.clone(), *tokens as f32)).collect()
        };
        LoadReport {
            number: 0,
            loads: loads.collect(),
            served: tokens(&self.served),
            asked: tokens(&self.asked),
            kept: Vec::new(),
            refused: tokens(&self.refused),
        }
    }
}
