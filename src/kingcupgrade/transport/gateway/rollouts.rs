//! Reports of what this entry has seen of running rollouts, to the control instances and as
//! metrics.

use metrics::gauge;

use super::{Gateway, adapter::PlatformAdapter};
use crate::{
    coordination::fleet::FleetInput,
    core::Millis,
    protocol::rollout::{Answers, Histogram, RolloutReport},
};

/// How often what was seen of running rollouts is reported: a small part of the time in which a bad
/// version must be out of use.
pub(super) const REPORT_INTERVAL: Millis = Millis(300);
/// The quantile of the times to the first byte that is shown.
const SHOWN_QUANTILE: f64 = 0.75;

impl<E: PlatformAdapter> Gateway<E> {
    /// Sends the reports of the running rollouts, and sets their gauges.
    pub(super) fn report_rollouts(&self, now: Millis) {
        let reports = self.traffic.borrow().rollout_reports(now, self.process);
        reports.iter().for_each(record_metrics);
        if !reports.is_empty() {
            self.fleet.send(FleetInput::ReportRollouts(reports));
        }
    }
}

fn record_metrics(report: &RolloutReport) {
    let id = report.id.to_string();
    gauge!("kingcup_rollout_requests", "rollout" => id.clone()).set(report.requests as f64);
    gauge!("kingcup_rollout_exposed", "rollout" => id).set(report.exposed as f64);
    let routes = || report.routes.iter().map(|(_, evidence)| evidence);
    record_answers(report, "old", routes().map(|evidence| &evidence.baseline));
    record_answers(report, "new", routes().map(|evidence| &evidence.canary));
}

fn record_answers<'a>(
    report: &RolloutReport,
    version: &'static str,
    routes: impl Iterator<Item = &'a Answers>,
) {
    let (mut ended, mut failed, mut first) = (0, 0, Histogram::default());
    for answers in routes {
        ended += answers.ended();
        failed += answers.failed;
        first.add(&answers.first);
    }
    let id = report.id.to_string();
    gauge!("kingcup_rollout_answers", "rollout" => id.clone(), "version" => version)
        .set(f64::from(ended));
    gauge!("kingcup_rollout_failures", "rollout" => id.clone(), "version" => version)
        .set(f64::from(failed));
    if let Some(time) = first.quantile(SHOWN_QUANTILE) {
        gauge!("kingcup_rollout_first_byte", "rollout" => id, "version" => version).set(time);
    }
}
