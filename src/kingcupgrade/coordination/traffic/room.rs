//! Refusal of requests before admission while the entry's own processor is overloaded, and which
//! other entries have room for their callers.

use super::{ShareStatus, Traffic};
use crate::{
    coordination::{
        fleet::{has_collectors, report_ttl},
        overload::{PeerRoom, RetrySpread},
    },
    core::{FailureDomain, Millis, Organisation},
    protocol::fleet::DomainRoom,
};

/// What is known of a request before its body is looked at.
#[derive(Clone, Copy, Debug)]
pub struct EarlyRequest<'a> {
    /// The organisation that the request is charged to.
    pub organisation: &'a Organisation,
    /// The work that it is for an engine, in tokens.
    pub work: f64,
    /// Whether it is for a model engine.
    pub uses_engine: bool,
    /// The time left until its deadline.
    pub time_left: Millis,
}

/// The other entries of the own failure domain, and those of them with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeersWithRoom {
    /// The number of other entries, whether they report or not.
    pub entries: usize,
    /// Those that report that they have room.
    pub with_room: usize,
}

/// What the entries of the own failure domain tell each other of their room.
#[derive(Debug, Default)]
pub(super) struct RoomReports {
    /// Whether this entry has room, once it is known.
    own: Option<bool>,
    /// The number of entries in the failure domain, including this one; 0 until it is known.
    domain_entries: usize,
    /// The last sum of the other entries' reports, and when it arrived.
    others: Option<(Millis, DomainRoom)>,
    retries: RetrySpread,
}

impl RoomReports {
    /// Keeps what a report of other entries tells of the own failure domain.
    ///
    /// Entries of an earlier version pass on sums without it, which say nothing of the room.
    pub(super) fn on_report(&mut self, now: Millis, domain: &FailureDomain, room: &[DomainRoom]) {
        if let Some(room) = room.iter().find(|room| room.domain == *domain) {
            self.others = Some((now, room.clone()));
        }
    }
}

impl Traffic {
    /// Sets whether this entry has room, which is told to the other entries.
    pub fn set_own_room(&mut self, has_room: bool) {
        self.room.own = Some(has_room);
    }

    /// Sets the number of entries in the own failure domain, including this one.
    pub fn set_domain_entries(&mut self, count: usize) {
        self.room.domain_entries = count;
    }

    /// Returns whether load is exchanged through collectors, so that entries know of each other's
    /// room.
    pub fn has_collectors(&self) -> bool {
        has_collectors(self.entry_count())
    }

    /// Returns what to tell the other entries of this one's room.
    pub(super) fn own_room(&self) -> Vec<DomainRoom> {
        let own = self.room.own.filter(|_| self.has_collectors());
        let own = own.map(|has_room| DomainRoom {
            domain: self.settings.failure_domain.clone(),
            entries: 1,
            with_room: u32::from(has_room),
        });
        own.into_iter().collect()
    }

    /// Returns how many other entries of the failure domain have room; `None` without a recent
    /// report.
    pub fn peers_with_room(&self, now: Millis) -> Option<PeersWithRoom> {
        let ttl = report_ttl(self.entry_count());
        let (at, room) = self.room.others.as_ref()?;
        let is_recent = self.has_collectors() && now.since(*at) <= ttl;
        is_recent.then(|| PeersWithRoom {
            entries: self.room.domain_entries.saturating_sub(1).max(room.entries as usize),
            with_room: room.with_room as usize,
        })
    }

    /// Returns whether the other entries of the failure domain have room for refused callers.
    pub fn peer_room(&self, now: Millis) -> PeerRoom {
        let peers = self.peers_with_room(now);
        peers.map_or(PeerRoom::Unknown, |peers| PeerRoom::of(peers.entries, peers.with_room))
    }

    /// Counts a request that is refused before admission because this entry's processor is
    /// overloaded, and returns the caller's retry delay.
    pub fn refuse_early(&mut self, now: Millis, request: &EarlyRequest<'_>) -> Millis {
        self.count_refused(now, request);
        let room = self.peer_room(now);
        self.room.retries.next(room, request.time_left)
    }

    /// Returns the retry delay of a request that admission would refuse because its organisation is
    /// beyond its share, and counts it as refused; `None` if admission wouldn't.
    pub fn refuse_over_share(&mut self, now: Millis, request: &EarlyRequest<'_>) -> Option<Millis> {
        if !request.uses_engine {
            // Shares are counted in tokens, and plain requests use none.
            return None;
        }
        self.refresh_shares(now);
        if self.shares.status(now, request.organisation, request.work) != ShareStatus::Over {
            return None;
        }
        self.count_refused(now, request);
        Some(self.over_share_delay(now, request.organisation))
    }

    fn count_refused(&mut self, now: Millis, request: &EarlyRequest<'_>) {
        self.shares.on_requested(now, request.organisation, request.work);
        self.shares.on_refused(now, request.organisation, request.work);
    }
}
