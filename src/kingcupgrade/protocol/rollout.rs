//! Rollouts: the traffic of a service moves to upstreams of another version.

use serde::{Deserialize, Serialize};

use crate::core::{Code, Millis, Service, Version, code::CodedError, names::is_valid_name};

/// An operator's order to move the traffic of a service to upstreams of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The version to move to.
    #[serde(rename = "v")]
    pub to: Version,
    /// The time within which the rollout is to end.
    #[serde(rename = "m")]
    pub duration: Millis,
}

impl RolloutOrder {
    /// Validates the order by itself.
    ///
    /// # Errors
    ///
    /// Returns [`Code::RolloutInvalid`] if the version is no valid name or the duration is 0.
    pub fn check(&self) -> Result<(), CodedError> {
        let invalid = |detail: String| Err(CodedError::new(Code::RolloutInvalid, detail));
        if !is_valid_name(self.to.as_str()) {
            return invalid(format!("{:?} is not a valid version", self.to.as_str()));
        }
        if self.duration == Millis::ZERO {
            return invalid("expected a duration above 0".to_owned());
        }
        Ok(())
    }
}

/// Why a rollout was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RollbackReason {
    /// The new version fails more requests than the old one.
    Failures,
    /// The new version answers later than the old one.
    Latency,
    /// Too few answers of the new version came in to judge it in time.
    NoEvidence,
    /// Too few upstreams of the new version were ready in time to carry the traffic.
    NoCapacity,
}

/// The stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStage {
    /// The new version gets a small fraction of the requests, and is compared with the old one. The
    /// number is the exposure step, from 0.
    #[serde(rename = "c")]
    Canary(u8),
    /// The new version gets all new requests for a moment, to be judged under the load that it will
    /// bear. Each sender ends the moment by itself, and returns to the old version.
    #[serde(rename = "l")]
    LoadTest,
    /// The new version was judged good and gets all new requests; upstreams of the old one finish
    /// what they run.
    #[serde(rename = "p")]
    Promoting,
    /// The old version is out of use.
    #[serde(rename = "d")]
    Complete,
    /// The new version is out of use.
    #[serde(rename = "r")]
    RolledBack(RollbackReason),
}

impl RolloutStage {
    /// Returns whether the rollout has not ended.
    pub fn is_running(self) -> bool {
        matches!(self, RolloutStage::Canary(_) | RolloutStage::LoadTest | RolloutStage::Promoting)
    }

    /// Returns the stage in words, for operators and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutStage::Canary(_) => "canary",
            RolloutStage::LoadTest => "load test",
            RolloutStage::Promoting => "promoting",
            RolloutStage::Complete => "complete",
            RolloutStage::RolledBack(RollbackReason::Failures) => "rolled back: failures",
            RolloutStage::RolledBack(RollbackReason::Latency) => "rolled back: latency",
            RolloutStage::RolledBack(RollbackReason::NoEvidence) => "rolled back: no evidence",
            RolloutStage::RolledBack(RollbackReason::NoCapacity) => "rolled back: no capacity",
        }
    }
}

/// A rollout, as stored in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// The index of the order in the record, which identifies the rollout.
    #[serde(rename = "n")]
    pub id: u64,
    /// The time of the record when the order was committed, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub started_unix_ms: u64,
    /// The stage.
    #[serde(rename = "g")]
    pub stage: RolloutStage,
    /// The index of the last change in the record.
    #[serde(rename = "i")]
    pub index: u64,
}

/// A histogram of positive values. Bucket `n` covers a factor of √2 from √2ⁿ on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram(
    /// The counts of the buckets; trailing empty ones may be left out.
    pub Vec<u32>,
);

impl Histogram {
    /// The number of buckets; the last one has no upper bound.
    const BUCKETS: usize = 32;

    /// Counts a value; those below 1 count as 1.
    pub fn record(&mut self, value: f64) {
        let bucket = (2.0 * value.max(1.0).log2()) as usize;
        let bucket = bucket.min(Self::BUCKETS - 1);
        if self.0.len() <= bucket {
            self.0.resize(bucket + 1, 0);
        }
        self.0[bucket] += 1;
    }

    /// Returns the number of values.
    pub fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the number of values in `bucket` and those above it.
    pub fn count_from(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).sum()
    }

    /// Returns the bucket that contains the quantile `fraction`; `None` without values.
    pub fn quantile_bucket(&self, fraction: f64) -> Option<usize> {
        let rank = (f64::from(self.count()) * fraction).ceil() as u32;
        let mut seen = 0;
        self.0.iter().position(|count| {
            seen += count;
            *count > 0 && seen >= rank
        })
    }

    /// Returns the least value of the bucket that contains the quantile `fraction`; `None` without
    /// values.
    pub fn quantile(&self, fraction: f64) -> Option<f64> {
        self.quantile_bucket(fraction).map(|bucket| 2_f64.powf(bucket as f64 / 2.0))
    }

    /// Adds all values of another histogram.
    pub fn add(&mut self, other: &Histogram) {
        self.add_difference(other, &Histogram::default());
    }

    /// Adds what `newer` counts beyond `older`, an earlier state of it.
    fn add_difference(&mut self, newer: &Histogram, older: &Histogram) {
        if self.0.len() < newer.0.len() {
            self.0.resize(newer.0.len(), 0);
        }
        for (bucket, count) in newer.0.iter().enumerate() {
            let before = older.0.get(bucket).copied().unwrap_or(0);
            self.0[bucket] += count.saturating_sub(before);
        }
    }
}

/// What one version answered on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// Requests that were answered.
    #[serde(rename = "a")]
    pub answered: u32,
    /// Requests that were answered with a failure, or whose answer broke off.
    #[serde(rename = "f")]
    pub failed: u32,
    /// The times to the first byte: for engines in percent of the time that the prompt was expected
    /// to take, for plain services in milliseconds.
    #[serde(rename = "t")]
    pub first: Histogram,
    /// The mean times between two events of a stream, in milliseconds.
    #[serde(rename = "p")]
    pub pace: Histogram,
    /// The same as `first` of requests that were abandoned before their first byte: it would have
    /// taken longer.
    #[serde(rename = "l")]
    pub abandoned: Histogram,
}

impl Answers {
    /// Adds what `newer` counts beyond `older`, an earlier state of it.
    pub fn add_difference(&mut self, newer: &Answers, older: &Answers) {
        self.answered += newer.answered.saturating_sub(older.answered);
        self.failed += newer.failed.saturating_sub(older.failed);
        self.first.add_difference(&newer.first, &older.first);
        self.pace.add_difference(&newer.pace, &older.pace);
        self.abandoned.add_difference(&newer.abandoned, &older.abandoned);
    }

    /// Returns the number of requests that ended with an answer or a failure.
    pub fn ended(&self) -> u32 {
        self.answered + self.failed
    }
}

/// What both versions answered on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The new version.
    #[serde(rename = "c")]
    pub canary: Answers,
    /// The old version.
    #[serde(rename = "b")]
    pub baseline: Answers,
}

impl RouteEvidence {
    /// Adds what `newer` counts beyond `older`, an earlier state of it.
    pub fn add_difference(&mut self, newer: &RouteEvidence, older: &RouteEvidence) {
        self.canary.add_difference(&newer.canary, &older.canary);
        self.baseline.add_difference(&newer.baseline, &older.baseline);
    }
}

/// What an entry has seen of a rollout since it learned of it. Counts only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The rollout.
    #[serde(rename = "n")]
    pub id: u64,
    /// The index of the rollout's last change that the entry knows.
    #[serde(rename = "i")]
    pub index: u64,
    /// A number that identifies the entry's process.
    #[serde(rename = "b")]
    pub process: u64,
    /// Requests sent to the service.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Those of them sent to the new version.
    #[serde(rename = "x")]
    pub exposed: u64,
    /// Requests of this entry under way at upstreams of the old version.
    #[serde(rename = "o")]
    pub old_running: u32,
    /// Whether the entry knew the new version before the order: there is nothing to move.
    #[serde(rename = "k", default)]
    pub is_known_version: bool,
    /// Whether the entry has ended its part of the load test, if that is the stage.
    #[serde(rename = "y", default)]
    pub is_load_tested: bool,
    /// The slots of the listed upstreams of the old version that are ready.
    #[serde(rename = "s")]
    pub old_slots: u32,
    /// The slots of the listed upstreams of the new version that are ready.
    #[serde(rename = "t")]
    pub new_slots: u32,
    /// The answers, by route.
    #[serde(rename = "e")]
    pub routes: Vec<(String, RouteEvidence)>,
    /// The new version's answers, by route, to requests that were sent in the stage that the entry
    /// knows, once its load had come about. These begin anew with each stage.
    #[serde(rename = "g", default)]
    pub in_stage: Vec<(String, Answers)>,
    /// The times that requests to the new version have waited for their first byte so far, as
    /// [`Answers::first`] counts them, by route. These are of now, and don't only grow.
    #[serde(rename = "w", default)]
    pub open: Vec<(String, Histogram)>,
}
