//! The entry's side of a session with a dispatcher.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    coordination::dispatcher::SESSION_SILENCE,
    core::{Instance, Millis, Organisation},
    protocol::{
        Pool,
        dispatch::{
            DispatchBody, FinishedGrant, Grant, GrantId, GrantInUse, QueuedRequests, Session,
        },
    },
};

/// A session that says nothing for this long sends an empty report.
const HEARTBEAT: Millis = Millis(1_000);
/// A session not acknowledged for this long is opened anew.
const ACK_SILENCE: Millis = Millis(2_200);
/// News that may free or fill a slot is gathered for this long before it is reported.
const GATHERING: Millis = Millis(5);
/// Other counts are gathered for this long. What requests have cost so far goes with the next
/// report, whenever that is: a dispatcher decides no better for hearing of it sooner.
const LAZY_GATHERING: Millis = Millis(100);
/// While the dispatcher believes that at least so many requests of an organisation wait, the
/// exact count changes none of its decisions.
const ENOUGH: u32 = 4;
/// Grants are used up to this much before the dispatcher would give up the session; the time a
/// request may take on its way to the upstream.
const GRANT_MARGIN: Millis = Millis(700);
/// Grants of a session that are remembered, far more than can be under way.
const REMEMBERED_GRANTS: usize = 4_096;

/// A session with the dispatcher of one pool.
#[derive(Clone, Debug)]
pub struct PoolSession {
    /// The pool.
    pub pool: Pool,
    /// The instance believed to hold its lease.
    pub holder: Instance,
    /// The term of the lease, zero where unknown.
    pub term: u64,
    /// The session.
    pub session: Session,
    /// Until when it is wanted; `None` for the pool of this failure domain.
    pub wanted_until: Option<Millis>,
    /// When a request of the service last waited or ran here.
    pub active: Millis,
    /// Whether its pool may get nothing new at present, so that no demand is reported.
    pub muted: bool,
    seq: u64,
    received: u64,
    /// The newest grants received.
    recent: BTreeSet<GrantId>,
    acked: Millis,
    sent: Millis,
    /// When the newest reports were sent; the opening counts as report zero.
    sent_at: BTreeMap<u64, Millis>,
    changed: BTreeSet<Organisation>,
    /// The counts as last reported, less the grants received since.
    believed: BTreeMap<Organisation, u32>,
    /// Whether a change may matter to the dispatcher at once.
    is_urgent: bool,
    finished: Vec<FinishedGrant>,
    progress: BTreeMap<GrantId, u32>,
}

impl PoolSession {
    /// Makes a session that is about to be opened.
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
            active: now,
            muted: false,
            seq: 0,
            received: 0,
            recent: BTreeSet::new(),
            acked: now,
            sent: now,
            sent_at: BTreeMap::from([(0, now)]),
            changed: BTreeSet::new(),
            believed: BTreeMap::new(),
            is_urgent: false,
            finished: Vec::new(),
            progress: BTreeMap::new(),
        }
    }

    /// Returns the opening message.
    pub fn open(&mut self, waiting: Vec<QueuedRequests>, held: Vec<GrantInUse>) -> DispatchBody {
        self.believed = waiting.iter().map(|w| (w.0.clone(), w.1)).collect();
        DispatchBody::Open { session: self.session, waiting, held }
    }

    /// Notes that an organisation's count may have changed, and to what.
    pub fn note_changed(&mut self, organisation: &Organisation, count: u32) {
        let believed = self.believed.get(organisation).copied().unwrap_or(0);
        if count == believed && !self.muted {
            // The dispatcher subtracts what it grants, as is done here when a grant comes.
            self.changed.remove(organisation);
            return;
        }
        self.is_urgent |= believed < ENOUGH && count > believed;
        self.changed.insert(organisation.clone());
    }

    /// Notes that a grant's use has ended.
    pub fn note_finished(&mut self, finished: FinishedGrant) {
        self.progress.remove(&finished.id);
        self.finished.push(finished);
    }

    /// Notes what a grant has cost so far.
    pub fn note_progress(&mut self, id: GrantId, cost: u32) {
        self.progress.insert(id, cost);
    }

    /// Tells whether grants may be used that were given by a dispatcher which had received the
    /// report `heard`.
    ///
    /// A dispatcher that hears nothing for a while gives the slots to others. An entry that was
    /// stopped, or whose messages were held up, would use the same slots when it comes to itself,
    /// and a cold upstream would get twice what it bears. What the dispatcher has heard was sent
    /// at a time this clock knows, and the dispatcher can't have given up before that time's end.
    pub fn may_use_grants(&self, now: Millis, heard: u64) -> bool {
        let sent = self.sent_at.get(&heard);
        sent.is_some_and(|sent| now.since(*sent) + GRANT_MARGIN < SESSION_SILENCE)
    }

    /// Notes a received grant; returns false if it was received before.
    ///
    /// A message may arrive twice. Used twice, its grants would run two requests in one slot.
    pub fn note_received(&mut self, now: Millis, grant: &Grant) -> bool {
        self.acked = now;
        if !self.recent.insert(grant.id) {
            return false;
        }
        if self.recent.len() > REMEMBERED_GRANTS {
            self.recent.pop_first();
        }
        self.received += 1;
        if let Some(believed) = self.believed.get_mut(&grant.organisation) {
            *believed = believed.saturating_sub(1);
        }
        true
    }

    /// Notes an acknowledgement; returns false if it shows that grants were lost.
    pub fn on_ack(&mut self, now: Millis, granted: u64) -> bool {
        self.acked = now;
        granted <= self.received
    }

    /// Tells whether the dispatcher has not been heard for too long.
    pub fn is_stale(&self, now: Millis) -> bool {
        now.since(self.acked) > ACK_SILENCE
    }

    /// Returns when the next report is due, if nothing else happens.
    pub fn next_report(&self) -> Millis {
        let gathering = if self.is_urgent || !self.finished.is_empty() {
            GATHERING
        } else if !self.changed.is_empty() {
            LAZY_GATHERING
        } else {
            HEARTBEAT
        };
        self.sent + gathering
    }

    /// Returns the report due now, if one is; `waiting` tells an organisation's present count.
    pub fn report(
        &mut self,
        now: Millis,
        waiting: impl Fn(&Organisation) -> u32,
    ) -> Option<DispatchBody> {
        if now < self.next_report() {
            return None;
        }
        self.sent = now;
        self.seq += 1;
        self.sent_at.retain(|_, sent| now.since(*sent) < SESSION_SILENCE);
        self.sent_at.insert(self.seq, now);
        self.is_urgent = false;
        Some(DispatchBody::Report {
            session: self.session.tag(),
            seq: self.seq,
            received: self.received,
            waiting: self.changed_counts(waiting),
            finished: std::mem::take(&mut self.finished),
            progress: std::mem::take(&mut self.progress).into_iter().collect(),
        })
    }

    /// Takes the counts that changed.
    fn changed_counts(&mut self, waiting: impl Fn(&Organisation) -> u32) -> Vec<QueuedRequests> {
        let changed = std::mem::take(&mut self.changed);
        let muted = self.muted;
        let counts = changed.into_iter().map(|organisation| {
            let count = if muted { 0 } else { waiting(&organisation) };
            QueuedRequests(organisation, count)
        });
        let counts: Vec<QueuedRequests> = counts.collect();
        self.believed.extend(counts.iter().map(|w| (w.0.clone(), w.1)));
        self.believed.retain(|_, count| *count > 0);
        counts
    }
}
