//! Metrics of an experiment, computed from the records of the fake engines and the request log of
//! the callers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kingcup_support::engine::EngineRecord;

use crate::{
    environment::WARM_SLOTS,
    load::{Outcome, RequestRecord},
    scenario::ORGANISATIONS,
};

/// The interval at which time series are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// A time range; `until` is not part of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

impl Window {
    fn steps(self) -> usize {
        (self.until.saturating_duration_since(self.from).as_micros() / SAMPLE_INTERVAL.as_micros())
            as usize
    }

    fn step_of(self, at: Instant) -> usize {
        (at.saturating_duration_since(self.from).as_micros() / SAMPLE_INTERVAL.as_micros()) as usize
    }

    fn contains(self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

/// Returns for each organisation whether any of its requests was waiting at each step.
///
/// A request is waiting from when it was sent until an engine started it.
fn waiting_by_step(
    requests: &[RequestRecord],
    records: &[EngineRecord],
    window: Window,
) -> Vec<Vec<bool>> {
    let started = records.iter().flat_map(|record| &record.started);
    let mut started_at: BTreeMap<&str, Instant> = BTreeMap::new();
    for (id, at) in started {
        started_at.entry(id.as_str()).or_insert(*at);
    }
    let mut waited = vec![vec![false; window.steps()]; ORGANISATIONS.len()];
    for request in requests {
        let until = started_at.get(request.id.as_str()).copied().unwrap_or(request.answered_at);
        if until <= window.from || request.sent_at >= window.until {
            continue;
        }
        let first = window.step_of(request.sent_at);
        let last = window.step_of(until).min(window.steps());
        let series = &mut waited[request.organisation];
        series[first.min(last)..last].fill(true);
    }
    waited
}

/// Returns for each organisation its cumulative service, divided by its share, at each step.
fn service_by_step(records: &[EngineRecord], window: Window) -> Vec<Vec<f64>> {
    let indexes: BTreeMap<&str, usize> =
        ORGANISATIONS.iter().enumerate().map(|(n, (name, _))| (*name, n)).collect();
    let mut totals = vec![vec![0.0; window.steps() + 1]; ORGANISATIONS.len()];
    for served in records.iter().flat_map(|record| &record.served) {
        let Some(index) = indexes.get(served.organisation.as_str()) else { continue };
        if window.contains(served.at) {
            let step = window.step_of(served.at).min(window.steps());
            totals[*index][step] += served.tokens as f64 / f64::from(ORGANISATIONS[*index].1);
        }
    }
    for series in &mut totals {
        let mut sum = 0.0;
        for value in series {
            sum += *value;
            *value = sum;
        }
    }
    totals
}

/// Returns the fairness gap.
///
/// It is the largest difference in service per share that two organisations reach over any time
/// range in which both always have waiting requests.
pub(crate) fn fairness_gap(
    requests: &[RequestRecord],
    records: &[EngineRecord],
    window: Window,
) -> f64 {
    let waited = waiting_by_step(requests, records, window);
    let served = service_by_step(records, window);
    let mut gap: f64 = 0.0;
    for a in 0..ORGANISATIONS.len() {
        for b in a + 1..ORGANISATIONS.len() {
            gap = gap.max(pair_gap(&waited[a], &waited[b], &served[a], &served[b]));
        }
    }
    gap
}

fn pair_gap(waited_a: &[bool], waited_b: &[bool], served_a: &[f64], served_b: &[f64]) -> f64 {
    let mut gap: f64 = 0.0;
    let mut range: Option<(f64, f64)> = None;
    for step in 0..waited_a.len() {
        if !(waited_a[step] && waited_b[step]) {
            range = None;
            continue;
        }
        let difference = served_a[step] - served_b[step];
        let (low, high) = range.unwrap_or((difference, difference));
        let widened = (low.min(difference), high.max(difference));
        gap = gap.max(widened.1 - widened.0);
        range = Some(widened);
    }
    gap
}

/// Returns the fraction of the slots that was in use, over the steps at which any request waited.
///
/// It is `None` if no request ever waited.
pub(crate) fn utilisation(
    requests: &[RequestRecord],
    records: &[EngineRecord],
    window: Window,
) -> Option<f64> {
    let waited = waiting_by_step(requests, records, window);
    let (mut busy, mut available) = (0.0, 0.0);
    let running: Vec<Vec<u32>> =
        records.iter().map(|record| running_by_step(record, window)).collect();
    for step in 0..window.steps() {
        if !waited.iter().any(|series| series[step]) {
            continue;
        }
        busy += running.iter().map(|series| f64::from(series[step])).sum::<f64>();
        available += f64::from(WARM_SLOTS) * records.len() as f64;
    }
    (available > 0.0).then(|| busy / available)
}

/// Returns the number of running requests of an engine at each step.
fn running_by_step(record: &EngineRecord, window: Window) -> Vec<u32> {
    let mut series = Vec::with_capacity(window.steps());
    let mut changes = record.running.iter().peekable();
    let mut current = 0;
    for step in 0..window.steps() {
        let at = window.from + SAMPLE_INTERVAL * step as u32;
        while let Some((_, count)) = changes.next_if(|(changed, _)| *changed <= at) {
            current = *count;
        }
        series.push(current);
    }
    series
}

/// Returns the 95th percentile of the time to the first token, in milliseconds.
///
/// Only completed requests count that were sent within the window by an organisation that `include`
/// accepts. It is `None` if there are none.
pub(crate) fn first_token_p95(
    requests: &[RequestRecord],
    window: Window,
    include: impl Fn(usize) -> bool,
) -> Option<f64> {
    let in_window = |request: &&RequestRecord| {
        window.contains(request.sent_at) && request.outcome == Outcome::Completed
    };
    let included = requests.iter().filter(in_window).filter(|r| include(r.organisation));
    let mut times: Vec<Duration> = included.map(|r| r.answered_at - r.sent_at).collect();
    times.sort();
    let index = (times.len() * 95).div_ceil(100).checked_sub(1)?;
    Some(times[index].as_secs_f64() * 1_000.0)
}
