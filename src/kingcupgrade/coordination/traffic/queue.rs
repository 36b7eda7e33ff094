//! Requests that wait for room, and those that are refused.
//!
//! Engines begin requests in the order of arrival. What is sent before there is room waits there,
//! where nobody can choose any more, so it waits here, in front of them. Those within their
//! organisation's share go first, then the most urgent. Waiting is short: a request that can't meet
//! its target any more is refused at once, with the time at which room is expected.

use super::{Demand, NoPlace, RequestNo, Standing, Traffic, Verdict, placement::Terms};
use crate::core::{Code, Millis};

/// The part of the time to its target that a request within its share may wait; what is left must
/// do for the reading of its prompt.
const WAIT_PART: f64 = 0.5;
/// The same beyond its share: short, since an early refusal lets the caller come back in time.
const WAIT_PART_BEYOND: f64 = 0.12;
/// The part of the time to its target in which the first event of a request beyond its share must
/// be expected, so that what it adds is read before those within theirs have to wait.
const BUDGET_FAIR: f64 = 0.6;
/// Requests that may wait at one entry; more than can be served within any target.
const MAX_WAITING: usize = 400;
/// Requests looked at in one turn: a small processor must not spend it on looking.
const MAX_LOOKS: usize = 24;
/// Turns are at least this far apart, however many requests end: a fraction of any target, and of
/// what looking takes.
const MIN_POLL_INTERVAL: Millis = Millis(3);
/// Upstreams looked at in one turn, each a quarter of a microsecond: under a fiftieth of the time
/// between two turns.
const MAX_UPSTREAM_LOOKS: usize = 600;
/// The soonest that a refused caller is asked back: sooner, what it was refused on has not changed.
const SOONEST_RETURN: Millis = Millis(120);
/// The latest: a caller that comes back later gets its answer too late anyway, and what is foreseen
/// for longer is a guess.
const LATEST_RETURN: Millis = Millis(1_500);
/// When to come back after an entry refused what its processor can't carry; other entries take it
/// at once.
const RETRY_AFTER_BUSY: Millis = Millis(50);
/// When to come back after a refusal because no upstream is there: restarts take seconds.
const RETRY_AFTER_NOBODY: Millis = Millis(1_000);

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) demand: Demand,
    standing: Standing,
    /// Until when it may wait.
    until: Millis,
}

impl Traffic {
    /// Decides about a request; `None` if it waits.
    pub fn admit(&mut self, now: Millis, demand: Demand) -> Option<Verdict> {
        let work = demand.work();
        self.refresh_shares(now);
        let standing = match demand.prompt.is_empty() {
            // Shares are counted in tokens; plain requests take none.
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

    /// Counts a request that is refused before it is decided about, for want of this entry's
    /// processor time, and returns when its caller is to come back.
    ///
    /// It counts as asked for and refused. Uncounted, an organisation whose callers all come by one
    /// busy entry would seem to ask for little, and hold back nobody that takes its share elsewhere.
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

    /// Starts a request if there is room for one of its standing.
    fn start(
        &mut self,
        now: Millis,
        demand: &Demand,
        standing: Standing,
    ) -> Result<Verdict, NoPlace> {
        let terms = match standing {
            Standing::Within => Terms { budget: 1.0, may_read_again: true },
            // Capacity is not spare where using it takes reading what another engine keeps.
            Standing::Fair => Terms { budget: BUDGET_FAIR, may_read_again: false },
            Standing::Beyond => return Err(NoPlace::Full),
        };
        let name = self.place(now, demand, terms)?;
        let granted = self.grant(now, demand, &name);
        Ok(granted.map_or(refuse(Code::NoUpstream, RETRY_AFTER_NOBODY), Verdict::Start))
    }

    /// Refuses a request for want of room or of a share, until there is some.
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

    /// Forgets a request that waits: its caller left.
    pub fn forget(&mut self, no: RequestNo) {
        self.waiting.retain(|waiting| waiting.demand.no != no);
    }

    /// Starts requests that wait, as far as there is room, and refuses those that waited too long.
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
