//! The entry's state of a session with a dispatcher.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    coordination::dispatcher::SESSION_TIMEOUT,
    core::{Instance, Millis, Organisation, UpstreamName},
    protocol::{
        Pool,
        dispatch::{
            BegunAnswer, DispatchBody, FinishedGrant, Grant, GrantId, GrantInUse, QueuedRequests,
            ReportedNotice, Session,
        },
    },
};

/// A report is sent after this time even if there is nothing to report.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// A session that is not acknowledged for this long is opened again.
const ACK_TIMEOUT: Millis = Millis(2_200);
/// Delay, for batching, of reports about changes that may free or fill a slot.
const REPORT_DELAY: Millis = Millis(5);
/// Delay of reports about other counts. The cost of running requests is sent with the next report,
/// whenever that is, since a dispatcher's decisions do not improve if it learns the cost earlier.
const DEFERRED_REPORT_DELAY: Millis = Millis(100);
/// While the dispatcher assumes that at least this many requests of an organisation wait, the exact
/// count does not affect its decisions.
const SUFFICIENT_BACKLOG: u32 = 4;
/// Grants are used only until this long before the dispatcher would end the session, which allows
/// for the time that a request takes to reach the upstream.
const GRANT_MARGIN: Millis = Millis(700);
/// Number of grant IDs remembered per session, far more than can be in transit.
const MAX_RECEIVED_GRANTS: usize = 4_096;

/// A session with the dispatcher of one pool.
#[derive(Clone, Debug)]
pub struct PoolSession {
    /// The pool.
    pub pool: Pool,
    /// The presumed holder of the pool's lease.
    pub holder: Instance,
    /// The term of the lease, zero if unknown.
    pub term: u64,
    /// The session.
    pub session: Session,
    /// Until when the session is needed; `None` for the pool of this failure domain.
    pub wanted_until: Option<Millis>,
    /// When this entry last had an open request of the service.
    pub last_active: Millis,
    /// Whether no demand is reported because the pool may get no new requests at present.
    pub demand_suspended: bool,
    seq: u64,
    received: u64,
    /// IDs of the most recently received grants, used to detect duplicates.
    received_grants: BTreeSet<GrantId>,
    acked_at: Millis,
    last_report: Millis,
    /// When the most recent reports were sent, by sequence number; the opening message is number 0.
    report_times: BTreeMap<u64, Millis>,
    changed: BTreeSet<Organisation>,
    /// Waiting requests as last reported, less the grants received since.
    reported: BTreeMap<Organisation, u32>,
    /// Whether a change may affect the dispatcher's decisions, so that it is reported soon.
    is_urgent: bool,
    finished: Vec<FinishedGrant>,
    progress: BTreeMap<GrantId, u32>,
    /// What upstreams have asked for and the dispatcher was not told, by upstream and incarnation.
    notices: BTreeMap<(UpstreamName, u64), ReportedNotice>,
    /// The queued requests whose answers have begun and that the dispatcher was not told of.
    begun: Vec<BegunAnswer>,
}

impl PoolSession {
    /// Creates a session that is about to be opened.
    pub fn new(
        now: Millis,
        pool: Pool,
        holder: Instance,
        term: u64,
        session: Session,
        wanted_until: Option<Millis>,
    ) -> PoolSession {
        PoolSession {
            pool,
            holder,
            term,
            session,
            wanted_until,
            last_active: now,
            demand_suspended: false,
            seq: 0,
            received: 0,
            received_grants: BTreeSet::new(),
            acked_at: now,
            last_report: now,
            report_times: BTreeMap::from([(0, now)]),
            changed: BTreeSet::new(),
            reported: BTreeMap::new(),
            is_urgent: false,
            finished: Vec::new(),
            progress: BTreeMap::new(),
            notices: BTreeMap::new(),
            begun: Vec::new(),
        }
    }

    /// Returns the opening message.
    pub fn open(&mut self, waiting: Vec<QueuedRequests>, held: Vec<GrantInUse>) -> DispatchBody {
        self.reported = waiting.iter().map(|w| (w.0.clone(), w.1)).collect();
        DispatchBody::Open { session: self.session, waiting, held }
    }

    /// Records that an organisation's number of waiting requests may have changed to `count`.
    pub fn note_changed(&mut self, organisation: &Organisation, count: u32) {
        let reported = self.reported.get(organisation).copied().unwrap_or(0);
        if count == reported && !self.demand_suspended {
            // The dispatcher subtracts its grants from the count, as `note_received` does on the
            // entry.
            self.changed.remove(organisation);
            return;
        }
        self.is_urgent |= reported < SUFFICIENT_BACKLOG && count > reported;
        self.changed.insert(organisation.clone());
    }

    /// Records that a grant is no longer in use.
    pub fn note_finished(&mut self, finished: FinishedGrant) {
        self.progress.remove(&finished.id);
        self.finished.push(finished);
    }

    /// Records what an upstream has asked for, which the dispatcher is told at once: until then it
    /// may grant more of its slots.
    pub fn note_notice(&mut self, notice: ReportedNotice) {
        self.is_urgent = true;
        self.notices.insert((notice.upstream.clone(), notice.incarnation), notice);
    }

    /// Records a queued request whose answer has begun.
    pub fn note_begun(&mut self, begun: BegunAnswer) {
        self.is_urgent = true;
        self.begun.push(begun);
    }

    /// Records the cost of a grant so far.
    pub fn note_progress(&mut self, id: GrantId, cost: u32) {
        self.progress.insert(id, cost);
    }

    /// Returns whether grants may be used if report `last_report` was the last that the dispatcher
    /// had received when it issued them.
    ///
    /// A dispatcher that receives nothing for the session timeout may grant the slots to other
    /// entries. An entry that was stopped, or whose messages were delayed, would use the same slots
    /// when it resumes, and a cold upstream would get twice the load it can handle. The time at
    /// which the report was sent is known on this entry's clock, and the dispatcher can't have
    /// ended the session before the timeout has passed since then.
    pub fn may_use_grants(&self, now: Millis, last_report: u64) -> bool {
        let sent = self.report_times.get(&last_report);
        sent.is_some_and(|sent| now.since(*sent) + GRANT_MARGIN < SESSION_TIMEOUT)
    }

    /// Records a received grant; returns false if it was received before.
    ///
    /// A message may arrive twice. If its grants were used twice, two requests would run in one
    /// slot.
    pub fn note_received(&mut self, now: Millis, grant: &Grant) -> bool {
        self.acked_at = now;
        if !self.received_grants.insert(grant.id) {
            return false;
        }
        if self.received_grants.len() > MAX_RECEIVED_GRANTS {
            self.received_grants.pop_first();
        }
        self.received += 1;
        if let Some(reported) = self.reported.get_mut(&grant.organisation) {
            *reported = reported.saturating_sub(1);
        }
        true
    }

    /// Records an acknowledgement; returns false if it shows that grants were lost.
    pub fn on_ack(&mut self, now: Millis, granted: u64) -> bool {
        self.acked_at = now;
        granted <= self.received
    }

    /// Returns whether nothing was received from the dispatcher for too long.
    pub fn is_stale(&self, now: Millis) -> bool {
        now.since(self.acked_at) > ACK_TIMEOUT
    }

    /// Returns when the next report is due, unless something changes before.
    pub fn next_report(&self) -> Millis {
        let delay = if self.is_urgent || !self.finished.is_empty() {
            REPORT_DELAY
        } else if !self.changed.is_empty() {
            DEFERRED_REPORT_DELAY
        } else {
            HEARTBEAT_INTERVAL
        };
        self.last_report + delay
    }

    /// Returns the report that is due now, if any.
    ///
    /// `waiting` returns an organisation's current number of waiting requests.
    pub fn report(
        &mut self,
        now: Millis,
        waiting: impl Fn(&Organisation) -> u32,
    ) -> Option<DispatchBody> {
        if now < self.next_report() {
            return None;
        }
        self.last_report = now;
        self.seq += 1;
        self.report_times.retain(|_, sent| now.since(*sent) < SESSION_TIMEOUT);
        self.report_times.insert(self.seq, now);
        self.is_urgent = false;
        Some(DispatchBody::Report {
            session: self.session.tag(),
            seq: self.seq,
            received: self.received,
            waiting: self.changed_counts(waiting),
            finished: std::mem::take(&mut self.finished),
            progress: std::mem::take(&mut self.progress).into_iter().collect(),
            notices: std::mem::take(&mut self.notices).into_values().collect(),
            begun: std::mem::take(&mut self.begun),
        })
    }

    /// Takes the changed counts, all zero while demand is suspended.
    fn changed_counts(&mut self, waiting: impl Fn(&Organisation) -> u32) -> Vec<QueuedRequests> {
        let changed = std::mem::take(&mut self.changed);
        let suspended = self.demand_suspended;
        let counts = changed.into_iter().map(|organisation| {
            let count = if suspended { 0 } else { waiting(&organisation) };
            QueuedRequests(organisation, count)
        });
        let counts: Vec<QueuedRequests> = counts.collect();
        self.reported.extend(counts.iter().map(|w| (w.0.clone(), w.1)));
        self.reported.retain(|_, count| *count > 0);
        counts
    }
}
