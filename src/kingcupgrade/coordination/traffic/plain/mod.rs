//! Divides what a service without engines completes among the entries while it is short of
//! capacity.
//!
//! The slots of such a service are few. If each entry sent what its callers request, the upstreams
//! would turn most of it away, and what they take would depend on chance. While the service is
//! short, each entry sends at its part of the rate at which the service completes requests, in
//! proportion to what is requested from it. The rest waits at the entry as long as it can still
//! meet its target.
//!
//! In force in fleets whose load reports pass through collectors. Other entries' sums are some
//! hundred milliseconds old there, so that known loads alone can't keep upstreams from being
//! overrun.

mod service;
mod shortage;
mod spread;

use std::collections::BTreeMap;

use serde::Serialize;

pub use self::shortage::PlainSums;
pub(super) use self::spread::PlainSpread;
use self::{
    service::PlainService,
    shortage::{Occupancy, Situation},
    spread::unit_hash,
};
use super::{Demand, SendEnd, Traffic, placement::RETURN_MARGIN_MS, sent::SentRequest};
use crate::{
    coordination::fleet::report_age,
    core::{Millis, Service},
    protocol::fleet::PlainLoad,
};

/// The interval at which an entry decides anew what it may send; well below that of the reports.
const DECISION_INTERVAL: Millis = Millis(20);
/// How long an upstream's statement that requests wait there counts. An entry with few requests
/// gets an answer no more often than about once a second.
const WAITING_TTL: Millis = Millis(1_000);
/// The time left to the deadline divided by this is the longest retry delay that callers accept.
const USEFUL_DELAY_DIVISOR: u64 = 3;
/// A sum below this has decayed and is not reported.
const MIN_REPORTED_SUM: f64 = 0.01;

/// The services without engines, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct PlainServices(BTreeMap<Service, PlainService>);

/// How long a request that can't be sent now may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlainWait {
    /// It can be sent by this time and still meet its target.
    Until(Millis),
    /// It can't meet its target; the time until the entry may send one more request, but not longer
    /// than its caller would wait.
    TooLate(Millis),
}

/// What an entry sends to a service that is short of capacity, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlainStatus {
    /// The service.
    pub service: Service,
    /// The requests that all entries send, as a fraction of those that callers make.
    pub admitted_fraction: f64,
    /// The requests per second that this entry may send.
    pub rate: f64,
    /// The requests per second that callers make at this entry and at the others.
    pub requested: (f64, f64),
    /// The requests per second that upstreams complete for all entries.
    pub completed: f64,
    /// The requests per second that upstreams turn away from all entries.
    pub turned_away: f64,
    /// The requests that wait at this entry.
    pub waiting: usize,
}

impl Traffic {
    /// Returns whether plain services are rationed while they are short of capacity.
    fn rations_plain(&self) -> bool {
        self.has_collectors()
    }

    fn is_plain(&self, service: &Service) -> bool {
        let configuration = self.configuration.as_ref();
        let plan = configuration.and_then(|configuration| configuration.services.get(service));
        plan.is_some_and(|plan| plan.engine.is_none())
    }

    /// Counts a caller's request if it is for a plain service.
    pub(super) fn on_plain_requested(&mut self, now: Millis, demand: &Demand) {
        let is_first = !demand.is_repeat && demand.avoid.is_empty();
        if is_first && self.rations_plain() && self.is_plain(&demand.service) {
            self.plain.0.entry(demand.service.clone()).or_default().on_requested(now);
        }
    }

    /// Counts the end of a request if it was sent to a plain service.
    pub(super) fn on_plain_end(&mut self, now: Millis, sent: &SentRequest, end: SendEnd) {
        let Some(service) = self.plain.0.get_mut(&sent.service) else { return };
        match end {
            SendEnd::Answered => service.on_answered(now, now.since(sent.sent_at)),
            SendEnd::Failed => service.on_failed(now),
            SendEnd::Rejected => service.on_turned_away(now),
            _ => return,
        }
        if self.upstreams.get(&sent.upstream).is_some_and(|upstream| upstream.has_waiting(now)) {
            service.waiting_at = Some(now);
        }
    }

    /// Takes a request from what this entry may send; returns whether it may be sent now.
    pub(super) fn take_from_ration(&mut self, now: Millis, demand: &Demand) -> bool {
        self.refresh_ration(now, &demand.service);
        if self.plain.0.get(&demand.service).is_none_or(|service| service.ration.is_none()) {
            return true;
        }
        let ahead = self.plain_ahead(demand);
        let service = self.plain.0.get_mut(&demand.service);
        service.is_none_or(|service| service.take(now, ahead))
    }

    /// Returns how long a request for a plain service may wait; `None` if it is for another one, or
    /// if plain services aren't rationed.
    pub(super) fn plain_wait(&mut self, now: Millis, demand: &Demand) -> Option<PlainWait> {
        if !self.rations_plain() || !self.is_plain(&demand.service) {
            return None;
        }
        self.refresh_ration(now, &demand.service);
        let ahead = self.plain_ahead(demand);
        let service = self.plain.0.entry(demand.service.clone()).or_default();
        let reserved = Millis((service.duration.usual_ms() + RETURN_MARGIN_MS) as u64);
        let latest = demand.arrived + demand.target.since(demand.arrived + reserved);
        let left = service.time_to_room(now, ahead);
        if now + left <= latest {
            return Some(PlainWait::Until(latest));
        }
        let useful = Millis(demand.deadline.since(now).0 / USEFUL_DELAY_DIVISOR);
        Some(PlainWait::TooLate(left.min(useful)))
    }

    /// Returns the number of waiting requests for the same service that go before a request.
    fn plain_ahead(&self, demand: &Demand) -> usize {
        let goes_before = |other: &Demand| {
            other.service == demand.service
                && other.no != demand.no
                && (other.target, other.may_repeat) <= (demand.target, demand.may_repeat)
        };
        self.waiting.iter().filter(|waiting| goes_before(&waiting.demand)).count()
    }

    fn refresh_ration(&mut self, now: Millis, service: &Service) {
        if !self.rations_plain() {
            self.plain.0.clear();
            return;
        }
        let Some(state) = self.plain.0.get(service) else { return };
        if state.decided_at.is_some_and(|at| now.since(at) < DECISION_INTERVAL) {
            return;
        }
        let reported = self.peer_reports.plain();
        let others = reported.map(|plain| plain.get(service).copied().unwrap_or_default());
        let situation = Situation {
            own: state.own(now),
            others: others.unwrap_or(state.others),
            occupancy: others.map(|_| self.plain_occupancy(now, service)),
            has_waiting: state.waiting_at.is_some_and(|at| now.since(at) <= WAITING_TTL),
        };
        // Before the first answer nothing is known of what the service completes.
        let has_answers = state.duration.mean_ms > 0.0;
        let fraction = situation.admitted_fraction().filter(|_| has_answers);
        let phase = unit_hash((self.settings.instance().as_str(), service.as_str()));
        let state = self.plain.0.get_mut(service).expect("the service is in the map");
        state.others = situation.others;
        state.mean_load = situation.occupancy.map_or(0.0, Occupancy::per_slot);
        state.is_short = situation.is_short();
        state.decide(now, fraction, phase);
    }

    fn plain_occupancy(&self, now: Millis, service: &Service) -> Occupancy {
        let names = self.by_service.get(service).into_iter().flatten();
        let known = names.filter_map(|name| self.upstreams.get(name));
        let usable = known.filter(|upstream| {
            upstream.is_ready()
                && upstream.notices.takes_requests(now)
                && !upstream.health.is_ejected(now)
                && !self.domains_out.contains(&upstream.listed.domain)
        });
        usable.fold(Occupancy::default(), |sum, upstream| Occupancy {
            under_way: sum.under_way + upstream.running(now),
            slots: sum.slots.saturating_add(upstream.listed.slots),
        })
    }

    /// Returns how a request chooses among plain upstreams; `None` in a fleet that is small enough
    /// for their loads to be known.
    pub(super) fn plain_spread(&mut self, now: Millis, demand: &Demand) -> Option<PlainSpread> {
        if !self.rations_plain() {
            return None;
        }
        self.refresh_ration(now, &demand.service);
        let state = self.plain.0.get(&demand.service);
        let duration = state.map_or(0.0, |state| state.duration.mean_ms);
        let age = report_age(self.entry_count()).0 as f64;
        Some(PlainSpread {
            no: demand.no,
            entry: self.settings.instance(),
            staleness: 1.0 - (-age / duration.max(1.0)).exp(),
            is_short: state.is_some_and(|state| state.is_short),
            mean_load: state.map_or(0.0, |state| state.mean_load),
        })
    }

    /// Returns the loads of the plain services, to be reported to the other entries.
    pub(super) fn plain_loads(&self, now: Millis) -> Vec<PlainLoad> {
        if !self.rations_plain() {
            return Vec::new();
        }
        let sums = self.plain.0.iter().map(|(service, state)| (service, state.own(now)));
        let current = sums.filter(|(_, own)| {
            own.requested.max(own.completed).max(own.turned_away) >= MIN_REPORTED_SUM
        });
        current.map(|(service, own)| own.to_load(service)).collect()
    }

    /// Returns the plain services, with what this entry may send to those that are short of
    /// capacity.
    pub fn plain_status(&mut self, now: Millis) -> Vec<(Service, Option<PlainStatus>)> {
        let services: Vec<Service> = self.plain.0.keys().cloned().collect();
        services.iter().for_each(|service| self.refresh_ration(now, service));
        let all = self.plain.0.iter();
        all.map(|(service, state)| (service.clone(), self.status_of(now, service, state))).collect()
    }

    fn status_of(
        &self,
        now: Millis,
        service: &Service,
        state: &PlainService,
    ) -> Option<PlainStatus> {
        let ration = state.ration?;
        let own = state.own(now);
        let all = own.plus(state.others);
        let waiting = self.waiting.iter().filter(|waiting| waiting.demand.service == *service);
        Some(PlainStatus {
            service: service.clone(),
            admitted_fraction: ration.fraction,
            rate: state.rate(now).unwrap_or_default(),
            requested: (own.requested, all.requested - own.requested),
            completed: all.completed,
            turned_away: all.turned_away,
            waiting: waiting.count(),
        })
    }
}
