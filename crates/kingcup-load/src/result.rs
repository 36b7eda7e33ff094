//! The result of an experiment.

use serde::Serialize;

use crate::scenario::Scenario;

/// The design's limit for control traffic, in bytes a second.
pub(crate) const CONTROL_LIMIT: f64 = 26_000.0;
/// The limit for taking a failure domain out, in seconds.
const TAKEOUT_LIMIT: f64 = 3.0;
/// The limit for a configuration to be in force everywhere, in seconds.
const IN_FORCE_LIMIT: f64 = 15.0;

/// What was measured.
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
    /// In cost over share.
    pub(crate) fairness_gap: f64,
    pub(crate) fairness_bound: f64,
    pub(crate) utilisation: Option<f64>,
    pub(crate) control_bytes_per_s_max: f64,
    /// Processor time of control state and messages of the busiest instance, in percent of a core.
    pub(crate) control_cpu_percent_max: f64,
    /// Resident memory of the largest instance, in megabytes; traffic threads included.
    pub(crate) memory_mb_max: f64,
    pub(crate) first_token_ms_p95: Option<f64>,
    /// The same before the flood, of the same organisations.
    pub(crate) first_token_ms_p95_before: Option<f64>,
    /// From the order to the last request begun in the failure domain.
    pub(crate) takeout_s: Option<f64>,
    pub(crate) config_in_force_s: Option<f64>,
    /// From the order until the engines of a failure domain, one by one, were as ordered.
    pub(crate) order_s: Option<f64>,
    /// Orders an engine carried out while it ran requests.
    pub(crate) ordered_while_busy: u32,
    /// Times an engine fell over.
    pub(crate) falls: u32,
    /// Requests given to an engine beyond its warm limit.
    pub(crate) oversold: u32,
    /// The share of the wanted fairness bound and others to be held against the policy.
    #[serde(skip)]
    pub(crate) is_baseline: bool,
}

impl ExperimentResult {
    /// Lists the promises that did not hold.
    pub(crate) fn broken_promises(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut check = |holds: bool, text: String| {
            if !holds {
                broken.push(text);
            }
        };
        let is_served = self.completed > 0 || self.scenario == Scenario::Idle.name();
        check(is_served, "no request completed".to_owned());
        check(self.duplicate_runs == 0, format!("{} runs too many", self.duplicate_runs));
        check(
            self.false_not_run == 0,
            format!("{} ran and were called not run", self.false_not_run),
        );
        check(self.crossed_answers == 0, format!("{} crossed answers", self.crossed_answers));
        check(self.truncated_answers == 0, format!("{} truncated answers", self.truncated_answers));
        check(self.falls == 0, format!("engines fell over {} times", self.falls));
        let busy = self.ordered_while_busy;
        check(busy == 0, format!("{busy} orders to engines that ran requests"));
        let is_ordered = self.order_s.is_some() || self.scenario != Scenario::Order.name();
        check(is_ordered, "the engines are not as ordered".to_owned());
        let takeout = self.takeout_s.unwrap_or(0.0);
        check(
            takeout <= TAKEOUT_LIMIT,
            format!("new work {takeout:.1} s after a domain was taken out"),
        );
        let in_force = self.config_in_force_s.unwrap_or(0.0);
        check(in_force <= IN_FORCE_LIMIT, format!("a configuration took {in_force:.1} s"));
        if !self.is_baseline {
            let (gap, bound) = (self.fairness_gap, self.fairness_bound);
            check(gap <= bound, format!("fairness gap {gap:.0} above its bound {bound:.0}"));
            let control = self.control_bytes_per_s_max;
            check(control <= CONTROL_LIMIT, format!("control traffic of {control:.0} bytes/s"));
        }
        broken
    }

    /// Describes the result for a person.
    pub(crate) fn summary(&self) -> String {
        let optional = |value: Option<f64>, unit: &str| match value {
            Some(value) => format!("{value:.2}{unit}"),
            None => "not measured".to_owned(),
        };
        let broken = self.broken_promises();
        let verdict = if broken.is_empty() {
            "every promise that was checked held".to_owned()
        } else {
            format!("BROKEN: {}", broken.join("; "))
        };
        [
            format!("{} under {}, {:.0} s", self.scenario, self.policy, self.seconds),
            format!(
                "  requests {}: {} completed, {} refused as not run, {} unknown",
                self.requests, self.completed, self.refused_not_run, self.unknown
            ),
            format!(
                "  runs too many {}, false not-run {}, crossed {}, truncated {}",
                self.duplicate_runs,
                self.false_not_run,
                self.crossed_answers,
                self.truncated_answers
            ),
            format!("  fairness gap {:.0} (bound {:.0})", self.fairness_gap, self.fairness_bound),
            format!("  utilisation while work waited: {}", optional(self.utilisation, "")),
            format!("  engines fell over {}, oversold {}", self.falls, self.oversold),
            format!(
                "  control traffic at most {:.0} bytes/s an instance",
                self.control_bytes_per_s_max
            ),
            format!(
                "  control state at most {:.1}% of a core, memory at most {:.0} MB an instance",
                self.control_cpu_percent_max, self.memory_mb_max
            ),
            format!("  first token p95 {}", optional(self.first_token_ms_p95, " ms")),
            format!(
                "  first token p95 before the flood {}",
                optional(self.first_token_ms_p95_before, " ms")
            ),
            format!("  last new work after taking out {}", optional(self.takeout_s, " s")),
            format!("  configuration in force after {}", optional(self.config_in_force_s, " s")),
            format!("  engines as ordered after {}", optional(self.order_s, " s")),
            verdict,
        ]
        .join("\n")
    }
}
