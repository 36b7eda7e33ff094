//! The dispatcher's part in the rollout of its service.
//!
//! Only the dispatcher sends requests to the upstreams of its pool, and it learns how each of them
//! ends. It therefore keeps to the exposure limit for its own grants, and reports what both versions
//! answered. It knows no routes, so all requests are judged together.

use std::collections::BTreeMap;

use super::{Dispatcher, OutstandingGrant, slots::Listed};
use crate::{
    coordination::rollout::{ExposureLimit, Senders, Use, VersionedUpstream},
    core::{Millis, UpstreamName, Version},
    protocol::{
        dispatch::{FinishedGrant, GrantOutcome},
        rollout::{Answers, Rollout, RolloutReport},
    },
};

/// The fraction of a service's requests that a new version may get until it is judged good.
const EXPOSED_FRACTION: f64 = 0.1;
/// The label under which the requests of all routes are judged.
const ALL_ROUTES: &str = "all";

impl Dispatcher {
    /// Applies the rollouts of the service, by id. All of them are known that were ordered until
    /// `confirmed`.
    pub fn set_rollouts(
        &mut self,
        now: Millis,
        confirmed: Option<Millis>,
        rollouts: &BTreeMap<u64, Rollout>,
    ) {
        let limit = ExposureLimit { fraction: EXPOSED_FRACTION, slack: 0.0 };
        let senders = Senders { own: &self.instance, all: &[], limit };
        self.rollout.set_rollouts(now, &self.pool.0, rollouts, senders);
        confirmed.into_iter().for_each(|at| self.rollout.on_confirmed(at));
    }

    /// Returns what this dispatcher has seen of the running rollout; `process` identifies this
    /// dispatcher.
    pub fn rollout_report(&self, now: Millis, process: u64) -> Option<RolloutReport> {
        let report = self.rollout.report(now)?;
        let new = self.rollout.new_version();
        let of_old = self.outstanding.values().filter(|g| self.version_of(&g.upstream) != new);
        let old_running = u32::try_from(of_old.count()).unwrap_or(u32::MAX);
        Some(RolloutReport { process, old_running, ..report })
    }

    pub(super) fn version_of(&self, upstream: &UpstreamName) -> Option<&Version> {
        self.slots.get(upstream)?.version.as_ref()
    }

    /// Returns how the version of an upstream is used.
    pub(super) fn use_of(&self, upstream: &UpstreamName) -> Use {
        self.rollout.use_of(self.version_of(upstream))
    }

    /// Returns whether the next grant may be one of a canary upstream.
    pub(super) fn allows_canary(&self, now: Millis) -> bool {
        self.rollout.allows_canary(now, ALL_ROUTES)
    }

    pub(super) fn on_listed_versions(&mut self, now: Millis, listing: &[Listed]) {
        let listed = listing.iter().map(|listed| VersionedUpstream {
            version: listed.version.as_ref(),
            started_unix_ms: listed.incarnation,
            slots: if listed.leaving { 0 } else { self.document.slots.warm },
        });
        self.rollout.on_listed(now, listed);
    }

    pub(super) fn on_rollout_grant(&mut self, upstream: &UpstreamName) {
        let version_use = self.use_of(upstream);
        self.rollout.on_sent(ALL_ROUTES, version_use);
    }

    /// Counts how a grant ended towards the version of its upstream.
    pub(super) fn on_rollout_finished(&mut self, grant: &OutstandingGrant, done: &FinishedGrant) {
        let version = self.version_of(&grant.upstream).cloned();
        self.rollout.count(ALL_ROUTES, version.as_ref(), grant.granted_at, |answers| {
            record_end(answers, done);
        });
    }
}

fn record_end(answers: &mut Answers, done: &FinishedGrant) {
    match done.outcome {
        GrantOutcome::Completed => {
            answers.answered += 1;
            if let Some(ms) = done.first_byte_ms {
                answers.first.record(f64::from(ms));
            }
        }
        GrantOutcome::Failed => answers.failed += 1,
        GrantOutcome::Unused | GrantOutcome::Refused => {}
    }
}
