//! Sequential tests of whether one version does worse than another.
//!
//! A test that may be read after every answer needs bounds that hold for all readings together. Two
//! are used, both on the likelihood ratio of two rates of bad answers, the expected one and a
//! degraded one: Wald's sequential probability ratio test (A. Wald, Sequential Tests of Statistical
//! Hypotheses, 1945) to accept a version, and Page's cumulative sum (E. S. Page, Continuous
//! Inspection Schemes, 1954) to reject it. The sum starts anew whenever it falls below zero, so a
//! version that turns bad later is found as soon as one that was bad from the start.
//!
//! The ratio takes answers for independent of each other. Those of one moment are not: on a busy
//! machine all are late, of both versions alike. They are therefore judged moment by moment, beside
//! those of the old version, and the late answers of one moment are limited evidence.

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
/// The most that the late answers of one moment add to a cumulative sum: evidence of 400 to 1.
const MAX_OF_MOMENT: f64 = 6.0;
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

    /// Returns the fraction of bad answers; 0 without answers.
    fn bad_fraction(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
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

    /// Derives the rates for rejecting a version from the answers of the old one, all of them and
    /// those of the same moment; `scale` is the part of the degradation that is to be found.
    pub fn to_reject(baseline: Sample, of_moment: Sample, scale: f64) -> Hypotheses {
        let rate = rate(baseline);
        let deviation = (rate * (1.0 - rate) / f64::from(baseline.all.max(1))).sqrt();
        let usual = rate + UNCERTAINTY * deviation;
        Hypotheses::above(usual.max(of_moment.bad_fraction()), scale)
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

/// The answers of both versions that came in at about the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moment {
    /// Those of the new version.
    pub new: Sample,
    /// Those of the old one.
    pub old: Sample,
}

impl Moment {
    /// Adds the answers of another part of the moment.
    pub fn add(&mut self, other: Moment) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Returns the old version's answers, of the worse of this moment and the `last` one, that those
    /// of the new one may be held against.
    ///
    /// Fewer than the new version's are no measure: while the old version gets nothing new, what
    /// still comes of it are its latest answers.
    fn comparable_old(&self, last: Sample) -> Sample {
        let comparable =
            |old: Sample| if old.all >= self.new.all { old } else { Sample::default() };
        let (current, last) = (comparable(self.old), comparable(last));
        if current.bad_fraction() > last.bad_fraction() { current } else { last }
    }
}

/// Cumulative sums of log-likelihood ratios that never fall below zero, one for each scale of the
/// degradation.
#[derive(Clone, Copy, Debug, Default)]
pub struct CumulativeSums {
    /// The sums over the moments that are over.
    sums: [f64; REJECT_SCALES.len()],
    answers: f64,
    /// The old version's answers of the last moment that is over, and its log-likelihood ratios.
    last_old: Sample,
    last_ratios: [f64; REJECT_SCALES.len()],
    /// The moment that lasts.
    current: Moment,
    is_limited: bool,
}

impl CumulativeSums {
    /// Creates sums without answers; `is_limited` says whether the bad answers of one moment are
    /// limited evidence.
    pub fn new(is_limited: bool) -> CumulativeSums {
        CumulativeSums { is_limited, ..CumulativeSums::default() }
    }

    /// Adds answers to the moment that lasts.
    pub fn add(&mut self, answers: Moment) {
        self.current.add(answers);
    }

    /// Begins the next moment. The answers of the one that is over are judged against those of the
    /// old version so far.
    pub fn begin_moment(&mut self, baseline: Sample) {
        self.last_ratios = self.current_ratios(baseline);
        self.sums = self.with_ratios(self.last_ratios);
        let over = std::mem::take(&mut self.current);
        self.answers += f64::from(over.new.all);
        self.last_old = over.old;
    }

    /// Returns the log-likelihood ratios of the moment that lasts. The old version's late answers
    /// may have come in just before the new one's.
    fn current_ratios(&self, baseline: Sample) -> [f64; REJECT_SCALES.len()] {
        let old = self.current.comparable_old(self.last_old);
        REJECT_SCALES
            .map(|scale| Hypotheses::to_reject(baseline, old, scale).log_ratio(self.current.new))
    }

    /// Returns the sums with a moment of these log-likelihood ratios.
    fn with_ratios(&self, ratios: [f64; REJECT_SCALES.len()]) -> [f64; REJECT_SCALES.len()] {
        let most = if self.is_limited { MAX_OF_MOMENT } else { f64::INFINITY };
        std::array::from_fn(|scale| (self.sums[scale] + ratios[scale].min(most)).max(0.0))
    }

    /// Returns whether the version does worse in the moment that lasts and in the one before it,
    /// which both may be by chance with a probability of at most `error`.
    pub fn are_rising(&self, error: f64, baseline: Sample) -> bool {
        let current = self.current_ratios(baseline);
        let mut pairs = current.into_iter().zip(self.last_ratios);
        pairs.any(|(current, last)| current.min(last) > 0.0 && current + last >= -error.ln())
    }

    /// Returns whether a sum exceeds what any of them exceeds with probability `error` if the
    /// version is as good as the old one, by the answers of that one so far.
    pub fn exceed(&self, error: f64, baseline: Sample) -> bool {
        let answers = self.answers + f64::from(self.current.new.all);
        let restarts = 1.0 + answers / ANSWERS_PER_RESTART;
        let limit = (restarts * self.sums.len() as f64 / error).ln();
        self.with_ratios(self.current_ratios(baseline)).iter().any(|sum| *sum >= limit)
    }
}

/// Returns whether a sample shows that a version is no worse than the old one; a degraded one is
/// accepted with a probability of at most `error`.
pub fn accepts(sample: Sample, baseline: Sample, error: f64) -> bool {
    Hypotheses::to_accept(baseline).log_ratio(sample) <= error.ln()
}
