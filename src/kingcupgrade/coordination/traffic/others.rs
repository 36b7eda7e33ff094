//! The latest load reports of the other entries, and their sums.
//!
//! In a large fleet hundreds of reports arrive per second, and their sums are read more often
//! still. Adding up all reports whenever one arrives would take all of a small processor with some
//! dozens of entries, so a new report only replaces its sender's previous one in the sums.

use std::collections::BTreeMap;

use super::upstream::Upstream;
use crate::{
    coordination::fleet::report_ttl,
    core::{Instance, Millis, Organisation, UpstreamName},
    protocol::fleet::LoadReport,
};

type Upstreams = BTreeMap<UpstreamName, Upstream>;

/// The demand and usage of an organisation at the other entries, in tokens, as sums that decay with
/// the time constants of the shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Tokens asked for.
    pub asked: f64,
    /// Tokens served.
    pub served: f64,
    /// Tokens refused, with the shorter time constant of refusals.
    pub refused: f64,
}

/// The other entries' reports and their sums.
#[derive(Debug, Default)]
pub struct Others {
    reports: BTreeMap<Instance, (Millis, LoadReport)>,
    told: BTreeMap<Organisation, Told>,
}

impl Others {
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
        if let Some((_, before)) = self.reports.insert(from, (now, report)) {
            remove(&before, upstreams);
            self.count(&before, -1.0);
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
            self.told.clear();
        }
    }

    /// Recomputes the sums of all upstreams, after the list of upstreams has changed.
    pub fn recount(&self, upstreams: &mut Upstreams) {
        for upstream in upstreams.values_mut() {
            upstream.others = Default::default();
        }
        for (_, report) in self.reports.values() {
            add(report, upstreams);
        }
    }

    /// Returns the demand and usage of each organisation at the other entries.
    pub fn told(&self) -> &BTreeMap<Organisation, Told> {
        &self.told
    }

    fn count(&mut self, report: &LoadReport, sign: f64) {
        for (organisation, asked) in &report.asked {
            self.told_mut(organisation).asked += sign * f64::from(*asked);
        }
        for (organisation, served) in &report.served {
            self.told_mut(organisation).served += sign * f64::from(*served);
        }
        for (organisation, refused) in &report.refused {
            self.told_mut(organisation).refused += sign * f64::from(*refused);
        }
    }

    fn told_mut(&mut self, organisation: &Organisation) -> &mut Told {
        if !self.told.contains_key(organisation) {
            self.told.insert(organisation.clone(), Told::default());
        }
        self.told.get_mut(organisation).expect("it was inserted")
    }
}

fn add(report: &LoadReport, upstreams: &mut Upstreams) {
    for (name, load) in &report.loads {
        if let Some(upstream) = upstreams.get_mut(name) {
            upstream.others.running += load.running;
            upstream.others.unread += load.unread;
            upstream.others.memory += load.memory;
        }
    }
}

fn remove(report: &LoadReport, upstreams: &mut Upstreams) {
    for (name, load) in &report.loads {
        if let Some(upstream) = upstreams.get_mut(name) {
            let others = &mut upstream.others;
            others.running = others.running.saturating_sub(load.running);
            others.unread = others.unread.saturating_sub(load.unread);
            others.memory = others.memory.saturating_sub(load.memory);
        }
    }
}
