//! Queues requests until an upstream has capacity, and refuses those that can't be served in time.
//!
//! Engines begin requests in the order of arrival. A request sent before there is capacity would
//! wait at the engine, where its order can't be changed any more, so it waits at the entry.
//! Requests within their organisation's share go first, then those with the earliest target. A
//! request that can't meet its target any more is refused at once, with the time after which
//! capacity is expected.

use super::{Demand, NoPlace, RequestNo, Standing, Traffic, Verdict, placement::Terms};
use crate::core::{Code, Millis};

/// The fraction of the time to its target that a request within its organisation's share may wait;
/// the rest must suffice to read its prompt.
const WAIT_PART: f64 = 0.5;
/// The same fraction beyond the share: short, since an early refusal lets the caller retry in time.
const WAIT_PART_BEYOND: f64 = 0.12;
/// The fraction of the time left to the target within which the first event of a request beyond its
/// organisation's share must be expected, so that its prompt is read before requests within their
/// shares have to wait.
const BUDGET_FAIR: f64 = 0.6;
/// The limit of waiting requests at one entry; more than can be served within any target.
const MAX_WAITING: usize = 400;
/// The limit of waiting requests that are tried in one poll, so that polling doesn't take up a
/// small processor.
const MAX_LOOKS: usize = 24;
/// The minimum interval between two polls, however many requests end: a small fraction of any
/// target, and long against the time that a poll takes.
const MIN_POLL_INTERVAL: Millis = Millis(3);
/// The limit of upstreams that are compared in one poll. Each takes a quarter of a microsecond, so
/// a poll takes about a twentieth of the interval between two.
const MAX_UPSTREAM_LOOKS: usize = 600;
/// The minimum retry delay of a refused caller: the reason for the refusal doesn't change any
/// sooner.
const SOONEST_RETURN: Millis = Millis(120);
/// The maximum retry delay: a caller that retries later gets its answer too late in any case, and
/// an estimate for a longer time is unreliable.
const LATEST_RETURN: Millis = Millis(1_500);
/// The retry delay after an entry refused a request because its own processor is overloaded; other
/// entries can take the request at once.
const RETRY_AFTER_BUSY: Millis = Millis(50);
/// The retry delay if no upstream is available: restarts take seconds.
const RETRY_AFTER_NOBODY: Millis = Millis(1_000);

/// A request that waits for capacity.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) demand: Demand,
    standing: Standing,
    /// The time until which the request may wait.
    until: Millis,
}

impl Traffic {
    /// Starts or refuses a request, or puts it in the queue and returns `None`.
    pub fn admit(&mut self, now: Millis, demand: Demand) -> Option<Verdict> {
        let work = demand.work();
        self.refresh_shares(now);
        let standing = match demand.prompt.is_empty() {
            // Shares are counted in tokens, and plain requests use none.
            true => Standing::Within,
            false => self.shares.standing(now, &demand.organisation, work),
        };
        self.shares.on_asked(now, &demand.organisation, work);
        match self.start(now, &demand, standing) {
            Ok(verdict) => Some(verdict),
            Err(NoPlace::Nobody) => Some(refuse(Code::NoUpstream, RETRY_AFTER_NOBODY)),
            Err(NoPlace::Full) if standing == Standing::Beyond => {
                Some(self.refuse_for_now(now, Code::OverShare, &demand))
            }
            Err(NoPlace::Full) if self.waiting.len() >= MAX_WAITING => {
                Some(self.refuse_for_now(now, Code::QueueFull, &demand))
            }
            Err(NoPlace::Full) => {
                self.wait(demand, standing);
                None
            }
        }
    }

    /// Counts a request that is refused before admission because this entry's processor is
    /// overloaded, and returns the caller's retry delay.
    ///
    /// The request counts as asked for and refused. If it weren't counted, an organisation whose
    /// callers all use one busy entry would seem to ask for little, and would not limit the
    /// organisations that take its share at other entries.
    pub fn turn_away(&mut self, now: Millis, demand: &Demand) -> Millis {
        let work = demand.work();
        self.shares.on_asked(now, &demand.organisation, work);
        self.shares.on_refused(now, &demand.organisation, work);
        RETRY_AFTER_BUSY
    }

    fn refresh_shares(&mut self, now: Millis) {
        let capacity = self.configuration.as_ref().map_or(0.0, |c| c.limits.tokens_per_s);
        self.shares.refresh(now, capacity, self.others.told());
    }

    /// Starts a request if there is capacity for one of its standing.
    fn start(
        &mut self,
        now: Millis,
        demand: &Demand,
        standing: Standing,
    ) -> Result<Verdict, NoPlace> {
        let terms = match standing {
            Standing::Within => Terms { budget: 1.0, may_read_again: true },
            // Capacity that would require re-reading a part cached by another engine doesn't count
            // as spare.
            Standing::Fair => Terms { budget: BUDGET_FAIR, may_read_again: false },
            Standing::Beyond => return Err(NoPlace::Full),
        };
        let name = self.place(now, demand, terms)?;
        let granted = self.grant(now, demand, &name);
        Ok(granted.map_or(refuse(Code::NoUpstream, RETRY_AFTER_NOBODY), Verdict::Start))
    }

    /// Refuses a request for lack of capacity or because its organisation is over its share, with
    /// the time until that is expected to change.
    fn refuse_for_now(&mut self, now: Millis, code: Code, demand: &Demand) -> Verdict {
        self.shares.on_refused(now, &demand.organisation, demand.work());
        let room_in = match code {
            Code::OverShare => self.shares.room_in(now, &demand.organisation),
            _ => self.room_in(now, demand),
        };
        refuse(code, room_in.clamp(SOONEST_RETURN, LATEST_RETURN))
    }

    fn wait(&mut self, demand: Demand, standing: Standing) {
        let part = if standing == Standing::Within { WAIT_PART } else { WAIT_PART_BEYOND };
        let span = demand.target.since(demand.arrived).0 as f64 * part;
        let until = demand.arrived + Millis(span as u64);
        self.waiting.push(Waiting { demand, standing, until });
    }

    /// Removes a waiting request whose caller has left.
    pub fn forget(&mut self, no: RequestNo) {
        self.waiting.retain(|waiting| waiting.demand.no != no);
    }

    /// Starts waiting requests as far as there is capacity, and refuses those that have waited too
    /// long.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<(RequestNo, Verdict)>) {
        if self.waiting.is_empty() || now.since(self.polled) < MIN_POLL_INTERVAL {
            return;
        }
        self.polled = now;
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| (waiting.standing, waiting.demand.target));
        let max_looks = (MAX_UPSTREAM_LOOKS / self.upstreams.len().max(1)).clamp(1, MAX_LOOKS);
        let mut looks = 0;
        for waiting in waiting {
            looks += 1;
            let started = match looks <= max_looks {
                true => self.start(now, &waiting.demand, waiting.standing),
                false => Err(NoPlace::Full),
            };
            let no = waiting.demand.no;
            match started {
                Ok(verdict) => out.push((no, verdict)),
                Err(NoPlace::Nobody) => {
                    out.push((no, refuse(Code::NoUpstream, RETRY_AFTER_NOBODY)));
                }
                Err(NoPlace::Full) if now >= waiting.until => {
                    out.push((no, self.refuse_for_now(now, Code::DeadlineQueued, &waiting.demand)));
                }
                Err(NoPlace::Full) => self.waiting.push(waiting),
            }
        }
    }
}

fn refuse(code: Code, retry_after: Millis) -> Verdict {
    Verdict::Refuse { code, retry_after }
}
