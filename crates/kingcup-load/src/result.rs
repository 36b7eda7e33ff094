//! The result of an experiment.

use serde::Serialize;

use crate::scenario::Scenario;

/// The design limit for control traffic of an instance, in bytes per second.
pub(crate) const CONTROL_LIMIT: f64 = 26_000.0;
/// The limit for taking a failure domain out of service, in seconds.
const TAKEOUT_LIMIT: f64 = 3.0;
/// The limit for a configuration to be in force on all instances, in seconds.
const IN_FORCE_LIMIT: f64 = 15.0;

/// The metrics of an experiment.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ExperimentResult {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    pub(crate) seconds: f64,
    pub(crate) requests: usize,
    pub(crate) completed: usize,
    pub(crate) refused_not_run: usize,
    pub(crate) unknown: usize,
    pub(crate) duplicate_runs: usize,
    pub(crate) false_not_run: usize,
    pub(crate) crossed_answers: usize,
    pub(crate) truncated_answers: usize,
    /// In cost per share.
    pub(crate) fairness_gap: f64,
    pub(crate) fairness_bound: f64,
    pub(crate) utilisation: Option<f64>,
    pub(crate) control_bytes_per_s_max: f64,
    /// CPU time of the control-plane threads of the busiest instance, in percent of a core.
    pub(crate) control_cpu_percent_max: f64,
    /// Resident memory of the largest instance in megabytes, including that of traffic threads.
    pub(crate) memory_mb_max: f64,
    pub(crate) first_token_ms_p95: Option<f64>,
    /// The same before the flood, for the same organisations.
    pub(crate) first_token_ms_p95_before: Option<f64>,
    /// Time from the order until the last request was started in the failure domain.
    pub(crate) takeout_s: Option<f64>,
    pub(crate) config_in_force_s: Option<f64>,
    /// Time from the first order until all engines of a failure domain, one by one, had applied
    /// theirs.
    pub(crate) order_s: Option<f64>,
    /// Orders that an engine applied while it ran requests.
    pub(crate) ordered_while_busy: u32,
    /// Crashes of engines that got more requests than their cold limit.
    pub(crate) falls: u32,
    /// Requests that an engine refused because they exceeded its warm limit.
    pub(crate) oversold: u32,
    /// Whether the policy is the baseline, which need not meet the fairness bound and the limit of
    /// control traffic.
    #[serde(skip)]
    pub(crate) is_baseline: bool,
}

impl ExperimentResult {
    /// Describes the checks that failed.
    pub(crate) fn failed_checks(&self) -> Vec<String> {
        let mut failed = Vec::new();
        let mut check = |holds: bool, text: String| {
            if !holds {
                failed.push(text);
            }
        };
        let is_served = self.completed > 0 || self.scenario == Scenario::Idle.name();
        check(is_served, "no request completed".to_owned());
        check(self.duplicate_runs == 0, format!("{} duplicate runs", self.duplicate_runs));
        check(
            self.false_not_run == 0,
            format!("{} requests ran but were reported as not run", self.false_not_run),
        );
        check(self.crossed_answers == 0, format!("{} crossed responses", self.crossed_answers));
        check(
            self.truncated_answers == 0,
            format!("{} truncated responses", self.truncated_answers),
        );
        check(self.falls == 0, format!("{} engine crashes", self.falls));
        let busy = self.ordered_while_busy;
        check(busy == 0, format!("{busy} orders applied while requests were running"));
        let is_ordered = self.order_s.is_some() || self.scenario != Scenario::Order.name();
        check(is_ordered, "the engines did not apply their orders in time".to_owned());
        let takeout = self.takeout_s.unwrap_or(0.0);
        check(
            takeout <= TAKEOUT_LIMIT,
            format!(
                "requests started until {takeout:.1} s after a domain was taken out of service"
            ),
        );
        let in_force = self.config_in_force_s.unwrap_or(0.0);
        check(
            in_force <= IN_FORCE_LIMIT,
            format!("a configuration was in force only after {in_force:.1} s"),
        );
        if !self.is_baseline {
            let (gap, bound) = (self.fairness_gap, self.fairness_bound);
            check(gap <= bound, format!("fairness gap {gap:.0} above its bound {bound:.0}"));
            let control = self.control_bytes_per_s_max;
            check(
                control <= CONTROL_LIMIT,
                format!("control traffic {control:.0} bytes/s above its limit {CONTROL_LIMIT:.0}"),
            );
        }
        failed
    }

    /// Formats the result as text for a terminal.
    pub(crate) fn summary(&self) -> String {
        let optional = |value: Option<f64>, unit: &str| match value {
            Some(value) => format!("{value:.2}{unit}"),
            None => "not measured".to_owned(),
        };
        let failed = self.failed_checks();
        let conclusion = if failed.is_empty() {
            "all checks passed".to_owned()
        } else {
            format!("FAILED: {}", failed.join("; "))
        };
        [
            format!("{} under {}, {:.0} s", self.scenario, self.policy, self.seconds),
            format!(
                "  requests {}: {} completed, {} refused as not run, {} unknown",
                self.requests, self.completed, self.refused_not_run, self.unknown
            ),
            format!(
                "  duplicate runs {}, false not-run {}, crossed {}, truncated {}",
                self.duplicate_runs,
                self.false_not_run,
                self.crossed_answers,
                self.truncated_answers
            ),
            format!("  fairness gap {:.0} (bound {:.0})", self.fairness_gap, self.fairness_bound),
            format!("  utilisation while requests waited: {}", optional(self.utilisation, "")),
            format!(
                "  engine crashes {}, requests over the warm limit {}",
                self.falls, self.oversold
            ),
            format!(
                "  control traffic at most {:.0} bytes/s per instance",
                self.control_bytes_per_s_max
            ),
            format!(
                "  control plane at most {:.1}% of a core, memory at most {:.0} MB per instance",
                self.control_cpu_percent_max, self.memory_mb_max
            ),
            format!("  first token p95 {}", optional(self.first_token_ms_p95, " ms")),
            format!(
                "  first token p95 before the flood {}",
                optional(self.first_token_ms_p95_before, " ms")
            ),
            format!(
                "  last request started in a domain out of service: {}",
                optional(self.takeout_s, " s")
            ),
            format!("  configuration in force after {}", optional(self.config_in_force_s, " s")),
            format!("  engine orders applied after {}", optional(self.order_s, " s")),
            conclusion,
        ]
        .join("\n")
    }
}
