//! What the capabilities of a service's upstreams are measured against, and the changes to log.

use std::collections::HashMap;

use serde::Serialize;

use super::limit::{LateAnswers, LimitStep};
use crate::core::{Service, UpstreamName};

/// The weight of one answer in the moving averages of a service.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The limit of changes that are kept for the log; the others are counted.
const MAX_CHANGES: usize = 8;

/// The means of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceMeans {
    /// The duration of requests that found a free slot, in milliseconds; only of plain services.
    pub(super) plain_ms: Option<f64>,
    /// The logarithm of duration over expectation. What all upstreams share is not the speed of
    /// one: this entry's processor may be short, or the whole service overloaded.
    pub(super) excess: f64,
    /// The logarithm of the time left to the target over the expected duration: by how much work
    /// may slow down until answers are late. `None` before the first request.
    pub(super) slack: Option<f64>,
    /// The answers of all upstreams, late or in time.
    pub(super) late: LateAnswers,
}

impl ServiceMeans {
    pub(super) fn on_excess(&mut self, log_ratio: f64) {
        self.excess += SAMPLE_WEIGHT * (log_ratio - self.excess);
    }

    pub(super) fn on_slack(&mut self, log_slack: f64) {
        average(&mut self.slack, log_slack);
    }

    pub(super) fn on_plain_duration(&mut self, ms: f64) {
        average(&mut self.plain_ms, ms);
    }
}

fn average(mean: &mut Option<f64>, sample: f64) {
    let mean = mean.get_or_insert(sample);
    *mean += SAMPLE_WEIGHT * (sample - *mean);
}

/// A change of what is thought of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapabilityChange {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation.
    pub incarnation: u64,
    /// The present duration of work there, where 1 is the mean of its service.
    pub duration_factor: f64,
    /// The weight of the answers that its lasting part follows from.
    pub answers: f64,
    /// The change of the limit on requests under way, if that changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<LimitStep>,
    /// The previous and the present speed by which prompt parts are assigned, if that changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank_weight: Option<(f64, f64)>,
}

/// Changes to log; beyond a few they are only counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CapabilityChanges {
    /// The first of them.
    pub changes: Vec<CapabilityChange>,
    /// The number of the others.
    pub untold: u64,
}

impl CapabilityChanges {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(super) fn push(&mut self, change: CapabilityChange) {
        match self.changes.len() < MAX_CHANGES {
            true => self.changes.push(change),
            false => self.untold += 1,
        }
    }
}

/// The means of the services whose upstreams state their slowdowns; others have one speed for all
/// upstreams.
#[derive(Debug, Default)]
pub(in super::super) struct Capabilities {
    pub(super) services: HashMap<Service, ServiceMeans>,
    pub(super) changes: CapabilityChanges,
}

impl Capabilities {
    /// Returns whether capabilities are in force for a service.
    pub(in super::super) fn is_in_force(&self, service: &Service) -> bool {
        self.services.contains_key(service)
    }

    pub(super) fn put_in_force(&mut self, service: &Service) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceMeans::default());
        }
    }
}
