//! Requests that wait for room, and those that are refused.
//!
//! Engines begin requests in the order of arrival. What is sent before there is room waits there,
//! where nobody can choose any more, so it waits here, in front of them. The organisation that was
//! served least of late goes first. Waiting is short: a request that can't meet its target any more
//! is refused at once, with the time at which room is expected.

use super::{Demand, NoPlace, SHARE_SPAN, Traffic, Verdict};
use crate::core::{Code, Millis, Organisation};

/// The part of the time to its target that a request may wait. What is left must do for the
/// reading of its prompt.
const WAIT_PART: f64 = 0.4;
/// Requests that may wait at one entry; more than can be served within any target.
const MAX_WAITING: usize = 400;
/// When to come back after a refusal for want of room: the load of an engine turns over in this
/// time.
const RETRY_AFTER: Millis = Millis(700);
/// When to come back after a refusal because no upstream is there: restarts take seconds.
const RETRY_AFTER_NOBODY: Millis = Millis(1_000);

impl Traffic {
    /// Decides about a request; `None` if it waits.
    pub fn admit(&mut self, now: Millis, demand: Demand) -> Option<Verdict> {
        let asked = self.asked.entry(demand.organisation.clone()).or_default();
        asked.add(now, demand.work(), SHARE_SPAN);
        let queue_first = self.waiting.iter().any(|other| other.service == demand.service);
        let placed = if queue_first { Err(NoPlace::Full) } else { self.place(now, &demand) };
        match placed {
            Ok(name) => {
                if let Some(grant) = self.grant(now, &demand, &name) {
                    return Some(Verdict::Start(grant));
                }
                Some(refuse(Code::NoUpstream, RETRY_AFTER_NOBODY))
            }
            Err(NoPlace::Nobody) => Some(refuse(Code::NoUpstream, RETRY_AFTER_NOBODY)),
            Err(NoPlace::Full) if self.waiting.len() >= MAX_WAITING => {
                Some(refuse(Code::QueueFull, RETRY_AFTER))
            }
            Err(NoPlace::Full) => {
                self.waiting.push(demand);
                None
            }
        }
    }

    /// Forgets a request that waits: its caller left.
    pub fn forget(&mut self, no: super::RequestNo) {
        self.waiting.retain(|demand| demand.no != no);
    }

    /// Starts requests that wait, as far as there is room, and refuses those that waited too long.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<(super::RequestNo, Verdict)>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by(|a, b| {
            let served = |demand: &Demand| self.served_to(now, &demand.organisation);
            served(a).total_cmp(&served(b)).then(a.target.cmp(&b.target))
        });
        let mut kept = Vec::new();
        for demand in waiting {
            match self.place(now, &demand) {
                Ok(name) => {
                    let verdict = match self.grant(now, &demand, &name) {
                        Some(grant) => Verdict::Start(grant),
                        None => refuse(Code::NoUpstream, RETRY_AFTER_NOBODY),
                    };
                    out.push((demand.no, verdict));
                }
                Err(NoPlace::Nobody) => {
                    out.push((demand.no, refuse(Code::NoUpstream, RETRY_AFTER_NOBODY)));
                }
                Err(NoPlace::Full) if is_overdue(now, &demand) => {
                    out.push((demand.no, refuse(Code::DeadlineQueued, RETRY_AFTER)));
                }
                Err(NoPlace::Full) => kept.push(demand),
            }
        }
        self.waiting = kept;
    }

    /// Returns the tokens served to an organisation of late by all entries.
    fn served_to(&self, now: Millis, organisation: &Organisation) -> f64 {
        let own = self.served.get(organisation).map_or(0.0, |count| count.get(now, SHARE_SPAN));
        let others = self.reports.values().flat_map(|(_, report)| &report.served);
        let theirs = others.filter(|(name, _)| name == organisation);
        own + theirs.map(|(_, tokens)| f64::from(*tokens)).sum::<f64>()
    }
}

fn is_overdue(now: Millis, demand: &Demand) -> bool {
    let span = demand.target.since(demand.arrived).0 as f64 * WAIT_PART;
    now.since(demand.arrived).0 as f64 >= span
}

fn refuse(code: Code, retry_after: Millis) -> Verdict {
    Verdict::Refuse { code, retry_after }
}
