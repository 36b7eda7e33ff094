//! Queues requests until an upstream has capacity, and refuses those that can't be served in time.
//!
//! Engines begin requests in the order of arrival. A request sent before there is capacity would
//! wait at the engine, where its order can't be changed any more, so it waits at the entry.
//! Requests within their organisation's share go first, the rests of streams that have lost their upstream
//! before others, then those with the earliest target. A
//! request that can't meet its target any more is refused at once, with the time after which
//! capacity is expected.

use super::{
    Demand, EarlyRequest, PlacementError, RequestNo, ShareStatus, Traffic, Verdict,
    placement::PlacementTerms, plain::PlainWait,
};
use crate::core::{Code, Millis, Organisation};

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
const MIN_RETRY_DELAY: Millis = Millis(120);
/// The maximum retry delay: a caller that retries later gets its answer too late in any case, and
/// an estimate for a longer time is unreliable.
const MAX_RETRY_DELAY: Millis = Millis(1_500);
/// The retry delay if no upstream is available: restarts take seconds.
const RETRY_AFTER_NO_UPSTREAM: Millis = Millis(1_000);

/// A request that waits for capacity.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) demand: Demand,
    status: ShareStatus,
    /// The time until which the request may wait.
    wait_until: Millis,
    /// Whether it goes before others with the same target: a request to a plain service that must
    /// not be repeated.
    goes_first: bool,
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
    /// It counts as requested and refused. If it weren't counted, an organisation whose
    /// callers all use one busy entry would seem to ask for little, and would not limit the
    /// organisations that take its share at other entries.
    pub fn refuse_overloaded(&mut self, now: Millis, demand: &Demand) -> Millis {
        self.refuse_early(
            now,
            &EarlyRequest {
                organisation: &demand.organisation,
                work: demand.work(),
                uses_engine: !demand.prompt.is_empty(),
                time_left: demand.deadline.since(now),
            },
        )
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
        let terms = match status {
            ShareStatus::Within => PlacementTerms { time_fraction: 1.0, may_reread: true },
            // Capacity that would require re-reading a part cached by another engine doesn't count
            // as spare.
            ShareStatus::Spare => {
                PlacementTerms { time_fraction: SPARE_TIME_FRACTION, may_reread: false }
            }
            ShareStatus::Over => return Err(PlacementError::Full),
        };
        let name = self.place(now, demand, terms)?;
        if !self.take_from_ration(now, demand) {
            return Err(PlacementError::Full);
        }
        let granted = self.grant(now, demand, &name);
        Ok(granted.map_or(refuse_without_upstream(demand), Verdict::Start))
    }

    /// Refuses a request for lack of capacity or because its organisation is over its share, with
    /// the time until that is expected to change.
    fn refuse_until_capacity(&mut self, now: Millis, code: Code, demand: &Demand) -> Verdict {
        self.shares.on_refused(now, &demand.organisation, demand.work());
        let retry_after = match code {
            Code::OverShare => self.over_share_delay(now, &demand.organisation),
            _ => retry_delay(self.time_to_capacity(now, demand)),
        };
        refuse(code, retry_after)
    }

    /// Returns the retry delay of a caller whose organisation is over its share.
    pub(super) fn over_share_delay(&self, now: Millis, organisation: &Organisation) -> Millis {
        retry_delay(self.shares.time_to_capacity(now, organisation))
    }

    /// Puts a request in the queue. A request to a plain service that is known to miss its target
    /// is refused instead.
    fn enqueue(&mut self, now: Millis, demand: Demand, status: ShareStatus) -> Option<Verdict> {
        let fraction =
            if status == ShareStatus::Within { WAIT_FRACTION } else { WAIT_FRACTION_OVER_SHARE };
        let began = if demand.is_resumption { now } else { demand.arrived };
        let span = demand.target.since(began).0 as f64 * fraction;
        let plain_wait = self.plain_wait(now, &demand);
        let wait_until = match plain_wait {
            None => began + Millis(span as u64),
            Some(PlainWait::Until(latest)) => latest,
            Some(PlainWait::TooLate(left)) => {
                return Some(refuse(Code::ServiceShort, retry_delay(left)));
            }
        };
        let goes_first = plain_wait.is_some() && !demand.may_repeat;
        self.waiting.push(WaitingRequest { demand, status, wait_until, goes_first });
        None
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
        waiting.sort_by_key(|waiting| {
            let demand = &waiting.demand;
            (waiting.status, !demand.is_resumption, demand.target, !waiting.goes_first)
        });
        let max_tries =
            (MAX_COMPARISONS_PER_POLL / self.upstreams.len().max(1)).clamp(1, MAX_TRIES_PER_POLL);
        let mut tries = 0;
        for waiting in waiting {
            tries += 1;
            let started = match tries <= max_tries {
                true => self.start(now, &waiting.demand, waiting.status),
                false => Err(PlacementError::Full),
            };
            let no = waiting.demand.no;
            match started {
                Ok(verdict) => out.push((no, verdict)),
                Err(PlacementError::NoUpstream) => {
                    out.push((no, refuse_without_upstream(&waiting.demand)));
                }
                Err(PlacementError::BackingOff(left)) => {
                    out.push((no, refuse(Code::UpstreamsBackingOff, left)));
                }
                Err(PlacementError::Barred(barred)) => {
                    out.push((no, refuse(barred.code(), barred.left)));
                }
                Err(PlacementError::Full) if now >= waiting.wait_until => {
                    out.push((
                        no,
                        self.refuse_until_capacity(now, Code::DeadlineQueued, &waiting.demand),
                    ));
                }
                Err(PlacementError::Full) => self.waiting.push(waiting),
            }
        }
    }
}

/// Returns the retry delay of a caller for whom there is capacity after this time.
fn retry_delay(time_to_capacity: Millis) -> Millis {
    time_to_capacity.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
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
