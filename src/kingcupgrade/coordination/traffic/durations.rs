//! How long the answers of each route take, from sending to their end.
//!
//! An entry that is shutting down has to know which answers would outlast it. The deadline of a
//! request doesn't tell: most answers end long before.

use std::{collections::HashMap, sync::Arc};

use super::Traffic;
use crate::core::Millis;

/// The weight of a new duration in the moving average.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new deviation from it.
const DEVIATION_WEIGHT: f64 = 0.25;
/// The mean deviations by which an answer may exceed the average; about one in twenty takes longer.
const DEVIATIONS: f64 = 2.0;

/// The durations of the answers of each route.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerDurations {
    routes: HashMap<Arc<str>, Estimate>,
}

/// The moving averages of a duration and of its deviation, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl AnswerDurations {
    /// Records a complete answer.
    pub(super) fn on_answered(&mut self, route: &Arc<str>, took: Millis) {
        let took = took.0 as f64;
        match self.routes.get_mut(route) {
            Some(estimate) => {
                let error = took - estimate.mean;
                estimate.deviation += DEVIATION_WEIGHT * (error.abs() - estimate.deviation);
                estimate.mean += MEAN_WEIGHT * error;
            }
            None => {
                let estimate = Estimate { mean: took, deviation: 0.0 };
                self.routes.insert(route.clone(), estimate);
            }
        }
    }

    /// Returns the time within which almost all answers of a route end; zero if none has ended yet.
    fn upper_bound(&self, route: &str) -> Millis {
        self.routes.get(route).map_or(Millis::ZERO, |estimate| {
            Millis((estimate.mean + DEVIATIONS * estimate.deviation) as u64)
        })
    }
}

impl Traffic {
    /// Returns the time that an answer of a route may be expected to take, in milliseconds: that of
    /// almost all that have ended, or longer if one that is under way has lasted longer. Zero if
    /// nothing is known.
    pub fn expected_duration(&self, now: Millis, route: &str) -> Millis {
        let under_way = self.sent.values().filter(|sent| *sent.route == *route);
        let oldest = under_way.map(|sent| now.since(sent.sent_at)).max();
        self.durations.upper_bound(route).max(oldest.unwrap_or(Millis::ZERO))
    }
}
