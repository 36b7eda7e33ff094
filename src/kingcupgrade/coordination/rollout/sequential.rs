//! Sequential tests of whether one version does worse than another.
//!
//! A test that may be read after every answer needs bounds that hold for all readings together. Two
//! are used, both on the likelihood ratio of two rates of bad answers, the expected one and a
//! degraded one: Wald's sequential probability ratio test (A. Wald, Sequential Tests of Statistical
//! Hypotheses, 1945) to accept a version, and Page's cumulative sum (E. S. Page, Continuous
//! Inspection Schemes, 1954) to reject it. The sum starts anew whenever it falls below zero, so a
//! version that turns bad later is found as soon as one that was bad from the start.

/// The smallest rate that is assumed: a few failures in a hundred thousand answers are no evidence.
const MIN_RATE: f64 = 0.005;
/// The largest rate that is assumed; at higher ones the versions can't be told apart.
const MAX_RATE: f64 = 0.97;
/// The degradation to be found, as a fraction of all answers.
const MIN_DEGRADATION: f64 = 0.12;
/// The same in addition, in standard deviations of a single answer: where many answers are bad
/// anyway, a small excess takes more answers than an exposure allows.
const DEGRADATION_DEVIATIONS: f64 = 0.4;
/// The quantile of the normal distribution by which the expected rate is raised for its own
/// uncertainty before a version is rejected for exceeding it.
const UNCERTAINTY: f64 = 1.64;
/// The parts of the degradation that are looked for: large ones are found soon, small ones in many
/// answers.
const REJECT_SCALES: [f64; 2] = [1.0, 0.5];
/// The number of answers in which a cumulative sum is expected to start anew at most once.
const ANSWERS_PER_RESTART: f64 = 5.0;

/// Bad answers among all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// The number of bad answers.
    pub bad: u32,
    /// The number of all answers.
    pub all: u32,
}

impl Sample {
    /// Adds another sample.
    pub fn add(&mut self, other: Sample) {
        self.bad += other.bad;
        self.all += other.all;
    }

    /// Returns the part of this sample that came after `earlier`.
    pub fn since(self, earlier: Sample) -> Sample {
        Sample {
            bad: self.bad.saturating_sub(earlier.bad),
            all: self.all.saturating_sub(earlier.all),
        }
    }
}

/// The two rates of bad answers that are told apart.
#[derive(Clone, Copy, Debug)]
pub struct Hypotheses {
    expected: f64,
    degraded: f64,
}

impl Hypotheses {
    /// Derives the rates for accepting a version from the answers of the old one.
    pub fn to_accept(baseline: Sample) -> Hypotheses {
        Hypotheses::above(rate(baseline), 1.0)
    }

    /// Derives the rates for rejecting a version from the answers of the old one; `scale` is the
    /// part of the degradation that is to be found.
    pub fn to_reject(baseline: Sample, scale: f64) -> Hypotheses {
        let rate = rate(baseline);
        let deviation = (rate * (1.0 - rate) / f64::from(baseline.all.max(1))).sqrt();
        Hypotheses::above(rate + UNCERTAINTY * deviation, scale)
    }

    fn above(expected: f64, scale: f64) -> Hypotheses {
        let expected = expected.clamp(MIN_RATE, MAX_RATE - MIN_DEGRADATION);
        let deviation = (expected * (1.0 - expected)).sqrt();
        let degradation = MIN_DEGRADATION + DEGRADATION_DEVIATIONS * deviation;
        Hypotheses { expected, degraded: (expected + scale * degradation).min(MAX_RATE) }
    }

    /// Returns the logarithm of the likelihood of a sample under the degraded rate over that under
    /// the expected one.
    pub fn log_ratio(&self, sample: Sample) -> f64 {
        let good = f64::from(sample.all.saturating_sub(sample.bad));
        let of_bad = (self.degraded / self.expected).ln();
        let of_good = ((1.0 - self.degraded) / (1.0 - self.expected)).ln();
        f64::from(sample.bad) * of_bad + good * of_good
    }
}

fn rate(sample: Sample) -> f64 {
    (f64::from(sample.bad) + 0.5) / (f64::from(sample.all) + 1.0)
}

/// Cumulative sums of log-likelihood ratios that never fall below zero, one for each scale of the
/// degradation.
#[derive(Clone, Copy, Debug, Default)]
pub struct CumulativeSums {
    sums: [f64; REJECT_SCALES.len()],
    answers: f64,
}

impl CumulativeSums {
    /// Adds the answers of a new version, judged against those of the old one so far.
    pub fn add(&mut self, new: Sample, baseline: Sample) {
        for (sum, scale) in self.sums.iter_mut().zip(REJECT_SCALES) {
            let hypotheses = Hypotheses::to_reject(baseline, scale);
            *sum = (*sum + hypotheses.log_ratio(new)).max(0.0);
        }
        self.answers += f64::from(new.all);
    }

    /// Returns whether a sum exceeds what any of them exceeds with probability `error` if the
    /// version is as good as the old one.
    pub fn exceed(&self, error: f64) -> bool {
        let restarts = 1.0 + self.answers / ANSWERS_PER_RESTART;
        let limit = (restarts * self.sums.len() as f64 / error).ln();
        self.sums.iter().any(|sum| *sum >= limit)
    }
}

/// Returns whether a sample shows that a version is no worse than the old one; a degraded one is
/// accepted with a probability of at most `error`.
pub fn accepts(sample: Sample, baseline: Sample, error: f64) -> bool {
    Hypotheses::to_accept(baseline).log_ratio(sample) <= error.ln()
}
