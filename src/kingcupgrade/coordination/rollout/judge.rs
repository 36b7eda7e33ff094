//! Judges a new version by its answers beside those of the old one.
//!
//! The versions are compared on each route by itself, since one may be bad on a single route, and
//! on all routes together, which also covers those with few requests.

use std::collections::BTreeMap;

use serde::Serialize;

use super::sequential::{CumulativeSums, Moment, Sample, accepts};
use crate::{
    core::Millis,
    protocol::rollout::{Answers, Histogram, RollbackReason, RouteEvidence},
};

/// The probability with which a good version may be rejected, over all tests of a rollout.
const REJECT_ERROR: f64 = 0.002;
/// The probability with which a bad version may be accepted by all its answers.
const ACCEPT_ERROR: f64 = 0.001;
/// The probability with which a version that is bad in the current stage only may be accepted by the
/// answers of that stage.
const RECENT_ACCEPT_ERROR: f64 = 0.05;
/// The error at which a version is as likely to be sound as to be bad.
const EVEN_ERROR: f64 = 1.0;
/// A route's answers in a stage are judged by themselves from this number on.
const MIN_STAGE_ANSWERS: u32 = 20;
/// A route is judged by itself if the old version has answered this many requests on it.
const MIN_ROUTE_ANSWERS: u32 = 50;
/// A route is judged by itself if at least this fraction of the old version's answers is on it.
const MIN_ROUTE_FRACTION: f64 = 0.02;
/// The number of the old version's times from which the limit of a late answer is derived.
const MIN_TIMES: u32 = 20;
/// The quantile of the old version's times from which that limit is derived.
const TIME_QUANTILE: f64 = 0.75;
/// An answer is late from this many buckets above that quantile's on: at least twice its time.
const LATE_BUCKETS: usize = 3;
/// Answers that come in within this time are judged as of one moment: reports are 0.3 s apart.
const MOMENT: Millis = Millis(700);
/// The label of all routes together.
const ALL_ROUTES: &str = "all routes";

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Criterion {
    /// The fraction of failures.
    Failures,
    /// The fraction of first bytes that come late.
    FirstByte,
    /// The fraction of streams whose events come late.
    Pace,
}

impl Criterion {
    const ALL: [Criterion; 3] = [Criterion::Failures, Criterion::FirstByte, Criterion::Pace];

    fn reason(self) -> RollbackReason {
        match self {
            Criterion::Failures => RollbackReason::Failures,
            Criterion::FirstByte | Criterion::Pace => RollbackReason::Latency,
        }
    }

    /// Returns whether all answers of a moment may be bad without any fault of the version.
    fn comes_in_bursts(self) -> bool {
        self != Criterion::Failures
    }
}

/// The counts of a comparison, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Comparison {
    /// The route; all routes together if it is none of them.
    pub route: String,
    /// What is compared.
    pub criterion: Criterion,
    /// The bad answers of the new version, and all of its answers.
    pub canary: (u32, u32),
    /// The same of the old version.
    pub baseline: (u32, u32),
}

/// The judgement of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// It is worse than the old one.
    Degraded(RollbackReason, Comparison),
    /// It is as good as the old one, as far as all comparisons together can tell.
    Sound,
    /// Its answers don't suffice to tell; this comparison is the first that is open.
    Undecided(Comparison),
    /// It does worse than the old one of late. A few more answers will tell.
    Doubtful(RollbackReason, Comparison),
}

/// The answers to one comparison.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    canary: Sample,
    /// Those of the new version in the current stage.
    in_stage: Sample,
    baseline: Sample,
    /// Those since the last update.
    latest: Moment,
}

impl Samples {
    fn add(&mut self, other: &Samples) {
        self.canary.add(other.canary);
        self.in_stage.add(other.in_stage);
        self.baseline.add(other.baseline);
        self.latest.add(other.latest);
    }
}

/// One comparison and its progress.
#[derive(Clone, Debug)]
struct Track {
    samples: Samples,
    sums: CumulativeSums,
}

/// What is known of the answers of both versions.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// All answers since the order, by route.
    pub routes: &'a BTreeMap<String, RouteEvidence>,
    /// The new version's answers to requests that were sent under the load of the current stage, by
    /// route.
    pub in_stage: &'a BTreeMap<String, Answers>,
    /// How long requests to the new version have waited for their first byte, by route.
    pub open: &'a BTreeMap<String, Histogram>,
}

/// The comparisons of a rollout.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    tracks: BTreeMap<(String, Criterion), Track>,
    /// The answers on each route at the last update.
    at_update: BTreeMap<String, RouteEvidence>,
    ended: u32,
    /// When the current moment began.
    moment: Millis,
}

impl Judge {
    /// Applies the evidence until now.
    ///
    /// Late answers come in later than the others, so a version that has just begun to answer looks
    /// faster than it is. Those that are late already therefore count against its acceptance.
    pub fn update(&mut self, now: Millis, evidence: Evidence<'_>) {
        self.begin_moment(now);
        self.ended = evidence.routes.values().map(|of_route| of_route.canary.ended()).sum();
        for criterion in Criterion::ALL {
            let mut all = Samples::default();
            for route in evidence.routes.keys() {
                let before = self.at_update.entry(route.clone()).or_default();
                let Some(samples) = samples(evidence, route, before, criterion) else { continue };
                all.add(&samples);
                self.advance(route, criterion, samples);
            }
            self.advance(ALL_ROUTES, criterion, all);
        }
        self.at_update.clone_from(evidence.routes);
    }

    /// Begins the next moment if the current one is over.
    fn begin_moment(&mut self, now: Millis) {
        if now.since(self.moment) < MOMENT {
            return;
        }
        self.moment = now;
        for track in self.tracks.values_mut() {
            track.sums.begin_moment(track.samples.baseline);
        }
    }

    fn advance(&mut self, route: &str, criterion: Criterion, samples: Samples) {
        let key = (route.to_owned(), criterion);
        let track = self.tracks.entry(key).or_insert_with(|| Track::new(criterion));
        if samples.baseline.all >= MIN_TIMES {
            track.sums.add(samples.latest);
        }
        track.samples = samples;
    }

    /// Returns whether nothing in the `assessment` speaks against the new version, and its answers in the current stage
    /// show that it is sound on all routes together, and on each that has enough of them.
    ///
    /// A load is of the whole version: it is shown before routes with few requests have been judged
    /// by themselves once more.
    pub fn is_sound_in_stage(&self, assessment: &Assessment) -> bool {
        let is_open = matches!(assessment, Assessment::Sound | Assessment::Undecided(_));
        let mut judged = self
            .tracks
            .iter()
            .filter(|((route, criterion), track)| self.is_judged_alone(route, *criterion, track));
        is_open
            && judged.all(|((route, _), track)| match route.as_str() {
                ALL_ROUTES => track.has_stage_answers() && track.is_likely_sound_in_stage(),
                _ => !track.has_stage_answers() || track.is_likely_sound_in_stage(),
            })
    }

    /// Judges the new version by all evidence so far.
    pub fn assess(&self) -> Assessment {
        let error = REJECT_ERROR / self.tracks.len().max(1) as f64;
        for ((route, criterion), track) in &self.tracks {
            if track.sums.exceed(error, track.samples.baseline) {
                let comparison = track.comparison(route, *criterion);
                return Assessment::Degraded(criterion.reason(), comparison);
            }
        }
        let mut open = self.tracks.iter().filter(|((route, criterion), track)| {
            self.is_judged_alone(route, *criterion, track) && !track.is_accepted()
        });
        if let Some(((route, criterion), track)) = open.clone().find(|(_, t)| t.is_doubtful()) {
            let comparison = track.comparison(route, *criterion);
            return Assessment::Doubtful(criterion.reason(), comparison);
        }
        match open.next() {
            Some(((route, criterion), track)) => {
                Assessment::Undecided(track.comparison(route, *criterion))
            }
            None if self.ended == 0 => Assessment::Undecided(Comparison {
                route: ALL_ROUTES.to_owned(),
                criterion: Criterion::Failures,
                canary: (0, 0),
                baseline: (0, 0),
            }),
            None => Assessment::Sound,
        }
    }

    /// Returns whether a route has enough requests to be judged alone. All routes together always
    /// are, but by times only if there are any.
    fn is_judged_alone(&self, route: &str, criterion: Criterion, track: &Track) -> bool {
        if route == ALL_ROUTES {
            return criterion == Criterion::Failures || track.samples.baseline.all > 0;
        }
        let all = self.tracks.get(&(ALL_ROUTES.to_owned(), criterion));
        let total = all.map_or(0, |all| all.samples.baseline.all);
        let answers = track.samples.baseline.all;
        answers >= MIN_ROUTE_ANSWERS && f64::from(answers) >= MIN_ROUTE_FRACTION * f64::from(total)
    }
}

impl Track {
    fn new(criterion: Criterion) -> Track {
        let sums = CumulativeSums::new(criterion.comes_in_bursts());
        Track { samples: Samples::default(), sums }
    }

    fn is_accepted(&self) -> bool {
        let Samples { canary, baseline, .. } = self.samples;
        accepts(canary, baseline, ACCEPT_ERROR) && self.is_accepted_in_stage()
    }

    fn has_stage_answers(&self) -> bool {
        self.samples.in_stage.all >= MIN_STAGE_ANSWERS
    }

    /// Returns whether the answers in the stage are likelier those of a sound version.
    fn is_likely_sound_in_stage(&self) -> bool {
        accepts(self.samples.in_stage, self.samples.baseline, EVEN_ERROR)
    }

    fn is_accepted_in_stage(&self) -> bool {
        let Samples { in_stage, baseline, .. } = self.samples;
        accepts(in_stage, baseline, RECENT_ACCEPT_ERROR)
    }

    fn is_doubtful(&self) -> bool {
        self.sums.are_rising(ACCEPT_ERROR, self.samples.baseline)
    }

    fn comparison(&self, route: &str, criterion: Criterion) -> Comparison {
        let Samples { canary, baseline, .. } = self.samples;
        Comparison {
            route: route.to_owned(),
            criterion,
            canary: (canary.bad, canary.all),
            baseline: (baseline.bad, baseline.all),
        }
    }
}

/// Returns the bad answers by a criterion; `None` if what is late can't be told yet, or no answer
/// has such times.
///
/// All counts use the same limit. With the limits of earlier times, answers would seem to turn bad
/// whenever the old version's times become known better.
fn samples(
    evidence: Evidence<'_>,
    route: &str,
    before: &RouteEvidence,
    criterion: Criterion,
) -> Option<Samples> {
    let RouteEvidence { canary, baseline } = evidence.routes.get(route)?;
    let open = evidence.open.get(route).filter(|_| criterion == Criterion::FirstByte);
    let limit = match criterion {
        Criterion::Failures => 0,
        Criterion::FirstByte => late_from(&baseline.first)?,
        Criterion::Pace => late_from(&baseline.pace)?,
    };
    let count = |answers: &Answers| bad_answers(answers, criterion, limit);
    let total = count(canary);
    let all_old = count(baseline);
    let late = open.map_or(0, |open| open.count_from(limit));
    let mut samples = Samples {
        canary: total,
        in_stage: evidence.in_stage.get(route).map(count).unwrap_or_default(),
        baseline: all_old,
        latest: Moment {
            new: total.since(count(&before.canary)),
            old: all_old.since(count(&before.baseline)),
        },
    };
    samples.canary.add(Sample { bad: late, all: late });
    samples.in_stage.add(Sample { bad: late, all: late });
    Some(samples)
}

fn bad_answers(answers: &Answers, criterion: Criterion, limit: usize) -> Sample {
    match criterion {
        Criterion::Failures => Sample { bad: answers.failed, all: answers.ended() },
        Criterion::FirstByte => {
            // An abandoned answer that was not late yet says nothing.
            let abandoned = answers.abandoned.count_from(limit);
            Sample {
                bad: answers.first.count_from(limit) + abandoned,
                all: answers.first.count() + abandoned,
            }
        }
        Criterion::Pace => {
            Sample { bad: answers.pace.count_from(limit), all: answers.pace.count() }
        }
    }
}

/// Returns the first bucket of late answers, by the old version's times.
fn late_from(times: &Histogram) -> Option<usize> {
    if times.count() < MIN_TIMES {
        return None;
    }
    Some(times.quantile_bucket(TIME_QUANTILE)? + LATE_BUCKETS)
}
