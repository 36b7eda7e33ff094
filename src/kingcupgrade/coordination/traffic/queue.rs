//! Queues requests until an upstream has capacity, and refuses those that can't be served in time.
//!
//! Engines begin requests in the order of arrival. A request sent before there is capacity would
//! wait at the engine, where its order can't be changed any more, so it waits at the entry.
//! Requests within their organisation's share go first, then those with the earliest target. A
//! request that can't meet its target any more is refused at once, with the time after which
//! capacity is expected.
//!
//! In fleets too large for entries to send each other their reports directly, organisations take
//! turns, a request is refused as soon as its expected start is too late, and each refused caller
//! gets its own retry time.

use std::collections::BTreeMap;

use super::{
    Demand, EarlyRequest, PlacementError, RequestNo, ShareStatus, Traffic, Verdict,
    placement::PlacementTerms,
    plain::PlainWait,
    returns::{LeftBehind, RefusalCounts, RetryWindow, expected_wait},
    turns::Turn,
};
use crate::{
    coordination::fleet::has_collectors,
    core::{Code, Millis, Service},
};

/// The fraction of the time to its target that a request within its organisation's share may wait;
/// the rest must suffice to read its prompt.
const WAIT_FRACTION: f64 = 0.5;
/// The same fraction beyond the share: short, since an early refusal lets the caller retry in time.
const WAIT_FRACTION_OVER_SHARE: f64 = 0.12;
/// The fraction of the time left to the target within which the first event of a request beyond its
/// organisation's share must be expected, so that its prompt is read before requests within their
/// shares have to wait.
const SPARE_TIME_FRACTION: f64 = 0.6;
/// The limit of waiting requests at one entry; more than can be served within any target.
const MAX_WAITING: usize = 400;
/// The limit of waiting requests that are tried in one poll, so that polling doesn't take up a
/// small processor.
const MAX_TRIES_PER_POLL: usize = 24;
/// The minimum interval between two polls, however many requests end: a small fraction of any
/// target, and long against the time that a poll takes.
const MIN_POLL_INTERVAL: Millis = Millis(3);
/// The limit of upstreams that are compared in one poll. Each takes a quarter of a microsecond, so
/// a poll takes about a twentieth of the interval between two.
const MAX_COMPARISONS_PER_POLL: usize = 600;
/// The minimum retry delay of a refused caller: the reason for the refusal doesn't change any
/// sooner.
pub(super) const MIN_RETRY_DELAY: Millis = Millis(120);
/// The maximum retry delay: a caller that retries later gets its answer too late in any case, and
/// an estimate for a longer time is unreliable.
const MAX_RETRY_DELAY: Millis = Millis(1_500);
/// The retry delay if no upstream is available: restarts take seconds.
const RETRY_AFTER_NO_UPSTREAM: Millis = Millis(1_000);

/// A request that waits for capacity.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) demand: Demand,
    pub(super) status: ShareStatus,
    /// The time until which the request may wait.
    wait_until: Millis,
    /// Whether it waits for a service without engines whose capacity is divided among the entries.
    is_plain: bool,
    /// Whether it goes before others with the same target.
    pub(super) goes_first: bool,
}

impl Traffic {
    /// Starts or refuses a request, or puts it in the queue and returns `None`.
    pub fn admit(&mut self, now: Millis, demand: Demand) -> Option<Verdict> {
        let work = demand.work();
        self.refresh_shares(now);
        let status = match demand.prompt.is_empty() {
            // Shares are counted in tokens, and plain requests use none.
            true => ShareStatus::Within,
            false => self.shares.status(now, &demand.organisation, work),
        };
        self.shares.on_requested(now, &demand.organisation, work);
        self.on_plain_requested(now, &demand);
        match self.start(now, &demand, status) {
            Ok(verdict) => Some(verdict),
            Err(PlacementError::NoUpstream) => Some(refuse_without_upstream(&demand)),
            Err(PlacementError::BackingOff(left)) => Some(refuse(Code::UpstreamsBackingOff, left)),
            Err(PlacementError::Barred(barred)) => Some(refuse(barred.code(), barred.left)),
            Err(PlacementError::Full) if status == ShareStatus::Over => {
                Some(self.refuse_until_capacity(now, Code::OverShare, &demand))
            }
            Err(PlacementError::Full) if self.waiting.len() >= MAX_WAITING => {
                Some(self.refuse_until_capacity(now, Code::QueueFull, &demand))
            }
            Err(PlacementError::Full) => self.enqueue(now, demand, status),
        }
    }

    /// Counts a request that is refused before admission because this entry's processor is
    /// overloaded, and returns the caller's retry delay.
    ///
    /// The request counts as requested and refused. If it weren't counted, an organisation whose
    /// callers all use one busy entry would seem to ask for little, and would not limit the
    /// organisations that take its share at other entries.
    pub fn refuse_overloaded(&mut self, now: Millis, demand: &Demand) -> Millis {
        self.refuse_early(now, &EarlyRequest::of(now, demand))
    }

    pub(super) fn refresh_shares(&mut self, now: Millis) {
        let capacity = self.configuration.as_ref().map_or(0.0, |c| c.limits.tokens_per_s);
        self.shares.refresh(now, capacity, self.peer_reports.usage());
    }

    /// Starts a request if there is capacity for its share status.
    fn start(
        &mut self,
        now: Millis,
        demand: &Demand,
        status: ShareStatus,
    ) -> Result<Verdict, PlacementError> {
        if let Some(barred) = self.barred(now, demand.digest, &demand.prompt) {
            return Err(PlacementError::Barred(barred));
        }
        let Some(terms) = terms_for(status) else { return Err(PlacementError::Full) };
        let placed = self.place(now, demand, terms);
        if placed == Err(PlacementError::Full) {
            self.returns.on_full(now, &demand.service);
        }
        let name = placed?;
        if !self.take_from_ration(now, demand) {
            return Err(PlacementError::Full);
        }
        let granted = self.grant(now, demand, &name);
        if granted.is_some() {
            self.returns.on_started(now, &demand.service);
        }
        Ok(granted.map_or(refuse_without_upstream(demand), Verdict::Start))
    }

    /// Refuses a request for lack of capacity or because its organisation is over its share, with
    /// the time until that is expected to change.
    fn refuse_until_capacity(&mut self, now: Millis, code: Code, demand: &Demand) -> Verdict {
        self.shares.on_refused(now, &demand.organisation, demand.work());
        if self.spreads_returns() {
            return refuse(code, self.own_retry_delay(now, code, demand));
        }
        let retry_after = match code {
            Code::OverShare => self.over_share_delay(now, &EarlyRequest::of(now, demand)),
            _ => self.time_to_capacity(now, demand).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        };
        refuse(code, retry_after)
    }

    /// Returns the retry delay of a request whose organisation is beyond its share.
    pub(super) fn over_share_delay(&mut self, now: Millis, request: &EarlyRequest<'_>) -> Millis {
        let expected = self.shares.time_to_capacity(now, request.organisation);
        if !self.spreads_returns() {
            return expected.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        }
        let rate = self.shares.work_rate(now, request.organisation);
        let gap = rate.map(|rate| request.work / rate);
        let window = RetryWindow::new(expected, request.time_left);
        self.returns.after_share(now, request.organisation, window, gap)
    }

    /// Returns whether each refused caller gets its own retry time: in fleets where many callers are
    /// refused at the same time.
    fn spreads_returns(&self) -> bool {
        has_collectors(self.entry_count())
    }

    /// Returns a retry delay that differs from those of the callers refused before.
    fn own_retry_delay(&mut self, now: Millis, code: Code, demand: &Demand) -> Millis {
        if code == Code::OverShare {
            return self.over_share_delay(now, &EarlyRequest::of(now, demand));
        }
        if code == Code::DeadlineQueued {
            self.returns.on_hopeless();
        }
        let expected = self.time_to_fit(now, demand);
        let window = RetryWindow::new(expected, demand.deadline.since(now));
        self.returns.after_shortage(now, &demand.service, window)
    }

    /// Returns what was refused since the last call.
    pub fn take_refusal_counts(&mut self) -> RefusalCounts {
        self.returns.take_counts()
    }

    /// Returns the requests of each service that this entry starts per second while others find no
    /// capacity, as far as that is known.
    pub fn start_rates(&mut self, now: Millis) -> BTreeMap<Service, f64> {
        self.returns.start_rates(now)
    }

    /// Puts a request in the queue, or refuses it if it is expected to wait there for too long.
    fn enqueue(&mut self, now: Millis, demand: Demand, status: ShareStatus) -> Option<Verdict> {
        let no = demand.no;
        let plain_wait = self.plain_wait(now, &demand);
        let wait_until = match plain_wait {
            None => self.wait_until(&demand, status),
            Some(PlainWait::Until(latest)) => latest,
            Some(PlainWait::TooLate(left)) => {
                let retry_after = left.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                return Some(refuse(Code::ServiceShort, retry_after));
            }
        };
        let is_plain = plain_wait.is_some();
        let goes_first = is_plain && !demand.may_repeat;
        self.waiting.push(WaitingRequest { demand, status, wait_until, is_plain, goes_first });
        if is_plain || !self.spreads_returns() {
            return None;
        }
        let refused = self.take_if_hopeless(now, no)?;
        Some(self.refuse_until_capacity(now, Code::DeadlineQueued, &refused.demand))
    }

    /// Returns the time until which a request may wait.
    fn wait_until(&self, demand: &Demand, status: ShareStatus) -> Millis {
        if self.spreads_returns()
            && let Some(terms) = terms_for(status)
            && let Some(latest_start) = self.latest_start(demand, terms)
        {
            return latest_start;
        }
        let fraction =
            if status == ShareStatus::Within { WAIT_FRACTION } else { WAIT_FRACTION_OVER_SHARE };
        let span = demand.target.since(demand.arrived).0 as f64 * fraction;
        demand.arrived + Millis(span as u64)
    }

    /// Removes a request from the queue if it is expected to wait there for too long.
    fn take_if_hopeless(&mut self, now: Millis, no: RequestNo) -> Option<WaitingRequest> {
        let order = self.turns.order(&mut self.waiting);
        let position = order.iter().position(|turn| self.waiting[turn.index].demand.no == no)?;
        let request = &self.waiting[order[position].index];
        let service = &request.demand.service;
        self.returns.on_waiting(now, service);
        let is_same = |turn: &&Turn| self.waiting[turn.index].demand.service == *service;
        let ahead = order[..position].iter().filter(is_same).count();
        let wait = expected_wait(ahead, self.returns.queue_gap(now, service));
        let is_hopeless = now + wait >= request.wait_until;
        is_hopeless.then(|| self.waiting.remove(order[position].index))
    }

    /// Removes a waiting request whose caller has left.
    pub fn cancel_waiting(&mut self, no: RequestNo) {
        self.waiting.retain(|waiting| waiting.demand.no != no);
    }

    /// Starts waiting requests as far as there is capacity, and refuses those that have waited too
    /// long.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<(RequestNo, Verdict)>) {
        if self.waiting.is_empty() || now.since(self.last_poll) < MIN_POLL_INTERVAL {
            return;
        }
        self.last_poll = now;
        let mut waiting = std::mem::take(&mut self.waiting);
        let order = self.order_to_try(&mut waiting);
        let max_tries =
            (MAX_COMPARISONS_PER_POLL / self.upstreams.len().max(1)).clamp(1, MAX_TRIES_PER_POLL);
        let mut left_behind = LeftBehind::default();
        let mut has_left = vec![false; waiting.len()];
        for (tries, turn) in order.into_iter().enumerate() {
            let request = &waiting[turn.index];
            let verdict = match self.try_waiting(now, request, tries < max_tries) {
                Ok(verdict) => verdict,
                Err(StillFull) if !self.must_leave(now, request, &mut left_behind) => continue,
                Err(StillFull) => {
                    self.refuse_until_capacity(now, Code::DeadlineQueued, &request.demand)
                }
            };
            if matches!(verdict, Verdict::Start(_)) {
                self.turns.on_started(request, turn);
                self.returns.on_started_from_queue(now, &request.demand.service);
            }
            has_left[turn.index] = true;
            out.push((request.demand.no, verdict));
        }
        for service in left_behind.services() {
            self.returns.on_waiting(now, service);
        }
        let mut has_left = has_left.into_iter();
        waiting.retain(|_| !has_left.next().unwrap_or_default());
        self.waiting = waiting;
    }

    /// Sorts the waiting requests, and returns the order in which they are to be tried.
    fn order_to_try(&self, waiting: &mut [WaitingRequest]) -> Vec<Turn> {
        if self.spreads_returns() {
            return self.turns.order(waiting);
        }
        waiting.sort_by_key(|waiting| (waiting.status, waiting.demand.target));
        (0..waiting.len()).map(Turn::in_sequence).collect()
    }

    /// Starts a waiting request if it may be tried and there is capacity, or refuses it if no
    /// upstream may take it.
    fn try_waiting(
        &mut self,
        now: Millis,
        waiting: &WaitingRequest,
        may_try: bool,
    ) -> Result<Verdict, StillFull> {
        if !may_try {
            return Err(StillFull);
        }
        match self.start(now, &waiting.demand, waiting.status) {
            Ok(verdict) => Ok(verdict),
            Err(PlacementError::NoUpstream) => Ok(refuse_without_upstream(&waiting.demand)),
            Err(PlacementError::BackingOff(left)) => Ok(refuse(Code::UpstreamsBackingOff, left)),
            Err(PlacementError::Barred(barred)) => Ok(refuse(barred.code(), barred.left)),
            Err(PlacementError::Full) => Err(StillFull),
        }
    }

    /// Returns whether a request has waited for too long or is expected to; `left_behind` are the
    /// requests before it that go on waiting.
    fn must_leave(
        &mut self,
        now: Millis,
        waiting: &WaitingRequest,
        left_behind: &mut LeftBehind,
    ) -> bool {
        if waiting.is_plain || !self.spreads_returns() {
            return now >= waiting.wait_until;
        }
        let service = &waiting.demand.service;
        let wait = left_behind.expected_wait(service, || self.returns.queue_gap(now, service));
        let must_leave = now + wait >= waiting.wait_until;
        if !must_leave {
            left_behind.add(service);
        }
        must_leave
    }
}

/// No upstream has capacity for a waiting request, or it was not tried.
struct StillFull;

/// Returns the terms on which a request of this status may start; `None` if it may not.
fn terms_for(status: ShareStatus) -> Option<PlacementTerms> {
    match status {
        ShareStatus::Within => Some(PlacementTerms { time_fraction: 1.0, may_reread: true }),
        // Capacity that would require re-reading a part cached by another engine doesn't count as
        // spare.
        ShareStatus::Spare => {
            Some(PlacementTerms { time_fraction: SPARE_TIME_FRACTION, may_reread: false })
        }
        ShareStatus::Over => None,
    }
}

fn refuse_without_upstream(demand: &Demand) -> Verdict {
    let code = match demand.version.is_exact() {
        true => Code::NoUpstreamOfVersion,
        false => Code::NoUpstream,
    };
    refuse(code, RETRY_AFTER_NO_UPSTREAM)
}

fn refuse(code: Code, retry_after: Millis) -> Verdict {
    Verdict::Refuse { code, retry_after }
}
