//! The latest load reports of the other entries, and their sums.
//!
//! In a large fleet hundreds of reports arrive per second, and their sums are read more often
//! still. Adding up all reports whenever one arrives would take all of a small processor with some
//! dozens of entries, so a new report only replaces its sender's previous one in the sums.

use std::collections::BTreeMap;

use super::{plain::PlainSums, upstream::Upstream};
use crate::{
    coordination::fleet::report_ttl,
    core::{Instance, Millis, Organisation, Service, UpstreamName},
    protocol::fleet::LoadReport,
};

type Upstreams = BTreeMap<UpstreamName, Upstream>;

/// The demand and usage of an organisation at the other entries, in tokens, as sums that decay with
/// the time constants of the shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerUsage {
    /// Tokens requested.
    pub requested: f64,
    /// Tokens served.
    pub served: f64,
    /// Tokens refused, with the shorter time constant of refusals.
    pub refused: f64,
}

/// The other entries' reports and their sums.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: BTreeMap<Instance, (Millis, LoadReport)>,
    usage: BTreeMap<Organisation, PeerUsage>,
    plain: BTreeMap<Service, PlainSums>,
}

impl PeerReports {
    /// Replaces the report of an entry.
    pub fn on_report(
        &mut self,
        now: Millis,
        from: Instance,
        report: LoadReport,
        upstreams: &mut Upstreams,
    ) {
        add(&report, upstreams);
        self.count(&report, 1.0);
        if let Some((_, previous)) = self.reports.insert(from, (now, report)) {
            remove(&previous, upstreams);
            self.count(&previous, -1.0);
        }
    }

    /// Drops the reports of entries that have stopped sending them; `entries` is the fleet's size.
    pub fn expire(&mut self, now: Millis, entries: usize, upstreams: &mut Upstreams) {
        let ttl = report_ttl(entries);
        let is_old = |at: Millis| now.since(at) > ttl;
        let old = self.reports.extract_if(.., |_, (at, _)| is_old(*at));
        let old: Vec<LoadReport> = old.map(|(_, (_, report))| report).collect();
        for report in old {
            remove(&report, upstreams);
            self.count(&report, -1.0);
        }
        if self.reports.is_empty() {
            // With no report left the sums are exactly zero, so rounding errors are dropped too.
            self.usage.clear();
            self.plain.clear();
        }
    }

    /// Recomputes the sums of all upstreams, after the list of upstreams has changed.
    pub fn recompute(&self, upstreams: &mut Upstreams) {
        for upstream in upstreams.values_mut() {
            upstream.peers = Default::default();
        }
        for (_, report) in self.reports.values() {
            add(report, upstreams);
        }
    }

    /// Returns the demand and usage of each organisation at the other entries.
    pub fn usage(&self) -> &BTreeMap<Organisation, PeerUsage> {
        &self.usage
    }

    /// Returns the loads of the plain services at the other entries; `None` if no entry's report is
    /// known.
    pub fn plain(&self) -> Option<&BTreeMap<Service, PlainSums>> {
        (!self.reports.is_empty()).then_some(&self.plain)
    }

    fn count(&mut self, report: &LoadReport, sign: f64) {
        for (organisation, requested) in &report.requested {
            self.usage_mut(organisation).requested += sign * f64::from(*requested);
        }
        for (organisation, served) in &report.served {
            self.usage_mut(organisation).served += sign * f64::from(*served);
        }
        for (organisation, refused) in &report.refused {
            self.usage_mut(organisation).refused += sign * f64::from(*refused);
        }
        for load in &report.plain {
            self.plain.entry(load.service.clone()).or_default().add(load, sign);
        }
    }

    fn usage_mut(&mut self, organisation: &Organisation) -> &mut PeerUsage {
        if !self.usage.contains_key(organisation) {
            self.usage.insert(organisation.clone(), PeerUsage::default());
        }
        self.usage.get_mut(organisation).expect("the organisation is in the map")
    }
}

fn add(report: &LoadReport, upstreams: &mut Upstreams) {
    for (name, load) in &report.loads {
        if let Some(upstream) = upstreams.get_mut(name) {
            upstream.peers.running += load.running;
            upstream.peers.unread += load.unread;
            upstream.peers.memory += load.memory;
            upstream.peers.observed.add(&load.observed);
        }
    }
}

fn remove(report: &LoadReport, upstreams: &mut Upstreams) {
    for (name, load) in &report.loads {
        if let Some(upstream) = upstreams.get_mut(name) {
            let peers = &mut upstream.peers;
            peers.running = peers.running.saturating_sub(load.running);
            peers.unread = peers.unread.saturating_sub(load.unread);
            peers.memory = peers.memory.saturating_sub(load.memory);
            peers.observed.subtract(&load.observed);
        }
    }
}
