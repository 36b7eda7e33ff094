//! What the other entries have told of late, and its sums.
//!
//! Reports arrive hundreds of times a second in a large fleet, and decisions read their sums more
//! often still. Adding all reports up for each one that arrives takes a small processor whole at
//! some dozen entries, so a report only replaces its sender's part in the sums.

use std::collections::BTreeMap;

use super::upstream::Upstream;
use crate::{
    coordination::fleet::report_ttl,
    core::{Instance, Millis, Organisation, UpstreamName},
    protocol::fleet::LoadReport,
};

type Upstreams = BTreeMap<UpstreamName, Upstream>;

/// What an organisation asked of the other entries and got there, in tokens of the span in which
/// shares are counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Asked for.
    pub asked: f64,
    /// Served.
    pub served: f64,
    /// Refused a moment ago.
    pub refused: f64,
}

/// The other entries' reports.
#[derive(Debug, Default)]
pub struct Others {
    reports: BTreeMap<Instance, (Millis, LoadReport)>,
    told: BTreeMap<Organisation, Told>,
}

impl Others {
    /// Takes in what another entry tells.
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

    /// Drops the reports of entries that have fallen silent, in a fleet of so many.
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
            // Nothing is left of what rounding may have left.
            self.told.clear();
        }
    }

    /// Adds all reports up anew, after other upstreams were listed.
    pub fn recount(&self, upstreams: &mut Upstreams) {
        for upstream in upstreams.values_mut() {
            upstream.others = Default::default();
        }
        for (_, report) in self.reports.values() {
            add(report, upstreams);
        }
    }

    /// Returns what each organisation asked of the other entries and got.
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
