//! What an entry logs and counts of the retry times that it gives to refused callers.

use std::collections::BTreeMap;

use ::metrics::{counter, gauge};
use serde::Serialize;

use super::{Gateway, PlatformAdapter};
use crate::{
    coordination::traffic::RefusalCounts,
    core::{Millis, Service},
    util::log,
};

/// The fields of the log line for the refusals of the last second.
#[derive(Serialize)]
struct RefusalsLine {
    #[serde(flatten)]
    counts: RefusalCounts,
    /// The requests that start per second while others find no capacity, by service.
    starts_per_s: BTreeMap<Service, f64>,
    waiting: usize,
}

impl<E: PlatformAdapter> Gateway<E> {
    /// Counts and logs the refusals for lack of capacity since the last call, if there were any.
    pub(super) fn report_refusals(&self, now: Millis) {
        let mut traffic = self.traffic.borrow_mut();
        let counts = traffic.take_refusal_counts();
        if counts == RefusalCounts::default() {
            return;
        }
        let starts_per_s = traffic.start_rates(now);
        for (kind, count) in [
            ("promised", counts.promised),
            ("unpromised", counts.unpromised),
            ("hopeless", counts.hopeless),
        ] {
            counter!("kingcup_retry_times", "kind" => kind).increment(u64::from(count));
        }
        for (service, rate) in &starts_per_s {
            gauge!("kingcup_starts_per_s", "service" => service.as_str().to_owned()).set(*rate);
        }
        let waiting = traffic.waiting();
        log::event("retry-times", &RefusalsLine { counts, starts_per_s, waiting });
    }
}
