//! Which request bodies are given up while memory for them is short.
//!
//! Callers may send the most part of a body and hold on to the connection. Nothing that takes memory
//! leaves it then, and callers whose bodies would arrive at once find none. A body that is not whole
//! has run nowhere, so it can be given up at any time. Given up first are the bodies of the organisation
//! that has most memory in bodies that don't arrive at a reasonable pace, and of these the one that is
//! furthest behind that pace. Besides, the bodies of one organisation take no more than a part of the
//! memory, so that those of others find room at once.

use std::collections::BTreeMap;

use super::memory::MemoryBudget;
use crate::core::{Millis, Organisation};

/// The pace in bytes per millisecond at which a body arrives that is not behind. Callers in the same
/// region send many times as fast.
const PACE: u64 = 256;
/// A body that is behind by less is not given up: a lost packet is sent again within this time.
const MAX_BEHIND: Millis = Millis(200);

/// Identifies a body.
pub type BodyNo = u64;
/// Whom the memory of a body is charged to; `None` for callers without an organisation.
pub type Holder = Option<Organisation>;

/// How far a body is behind the pace at which it should arrive.
///
/// A body that arrives faster gains no time: it is behind as soon as it stops.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The time at which the body would have what it has, at the pace.
    on_schedule: Millis,
    /// The bytes beyond that, fewer than arrive in a millisecond at the pace.
    rest: u64,
}

impl Pace {
    /// Starts at the arrival of the head.
    pub fn new(now: Millis) -> Pace {
        Pace { on_schedule: now, rest: 0 }
    }

    /// Counts bytes that have arrived.
    pub fn on_bytes(&mut self, now: Millis, bytes: u64) {
        let bytes = self.rest + bytes;
        self.rest = bytes % PACE;
        self.on_schedule = now.min(self.on_schedule + Millis(bytes / PACE));
    }

    /// Returns how far the body is behind.
    pub fn behind(&self, now: Millis) -> Millis {
        now.since(self.on_schedule)
    }
}

/// A body in memory.
#[derive(Debug)]
struct HeldBody {
    holder: Holder,
    bytes: u64,
    /// `None` once the body is whole.
    pace: Option<Pace>,
}

/// What came of looking for memory for a body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Whether the memory is taken.
    pub is_taken: bool,
    /// The bodies that were given up for it.
    pub given_up: Vec<BodyNo>,
}

/// The bodies in memory.
#[derive(Debug)]
pub struct BodyLedger {
    bodies: BTreeMap<BodyNo, HeldBody>,
    next: BodyNo,
    /// The fraction of the memory for bodies that those of one holder may take.
    holder_fraction: f64,
    held_by: BTreeMap<Holder, u64>,
}

impl BodyLedger {
    /// Creates an empty ledger; the bodies of one holder may take this fraction of the memory.
    pub fn new(holder_fraction: f64) -> BodyLedger {
        BodyLedger { bodies: BTreeMap::new(), next: 0, holder_fraction, held_by: BTreeMap::new() }
    }

    /// Adds a body of which only the head has arrived.
    pub fn begin(&mut self, now: Millis, holder: Holder) -> BodyNo {
        let no = self.next;
        self.next += 1;
        self.bodies.insert(no, HeldBody { holder, bytes: 0, pace: Some(Pace::new(now)) });
        no
    }

    /// Counts bytes of a body that have arrived.
    pub fn on_bytes(&mut self, now: Millis, no: BodyNo, bytes: u64) {
        if let Some(pace) = self.bodies.get_mut(&no).and_then(|body| body.pace.as_mut()) {
            pace.on_bytes(now, bytes);
        }
    }

    /// Records that a body is whole; it is not given up any more.
    pub fn on_whole(&mut self, no: BodyNo) {
        if let Some(body) = self.bodies.get_mut(&no) {
            body.pace = None;
        }
    }

    /// Takes memory for a body from the budget. If there is none, other bodies are given up.
    pub fn take(
        &mut self,
        now: Millis,
        budget: &mut MemoryBudget,
        no: BodyNo,
        bytes: u64,
    ) -> Allocation {
        let mut allocation = Allocation::default();
        let Some(body) = self.bodies.get(&no) else { return allocation };
        let holder = body.holder.clone();
        loop {
            let is_beyond_share = !self.has_share(budget, &holder, bytes);
            if !is_beyond_share && budget.has_room_for_body(bytes) {
                break;
            }
            // An organisation that has its part finds room only among its own bodies.
            let of = is_beyond_share.then_some(&holder);
            let Some(behind) = self.furthest_behind(now, no, of) else { return allocation };
            self.end(budget, behind);
            allocation.given_up.push(behind);
        }
        if let Some(body) = self.bodies.get_mut(&no) {
            body.bytes += bytes;
        }
        *self.held_by.entry(holder).or_default() += bytes;
        budget.take(bytes);
        allocation.is_taken = true;
        allocation
    }

    /// Removes a body and gives its memory back; returns whether it was still there.
    pub fn end(&mut self, budget: &mut MemoryBudget, no: BodyNo) -> bool {
        let Some(body) = self.bodies.remove(&no) else { return false };
        budget.give_back(body.bytes);
        if let Some(held) = self.held_by.get_mut(&body.holder) {
            *held -= body.bytes;
            if *held == 0 {
                self.held_by.remove(&body.holder);
            }
        }
        true
    }

    /// Returns whether the bodies of a holder may take this many more bytes.
    fn has_share(&self, budget: &MemoryBudget, holder: &Holder, bytes: u64) -> bool {
        let Some(most) = budget.room_for_bodies() else { return true };
        let held = self.held_by.get(holder).copied().unwrap_or(0);
        held + bytes <= (most as f64 * self.holder_fraction) as u64
    }

    /// Returns the body to be given up: of all holders, or of this one.
    fn furthest_behind(&self, now: Millis, except: BodyNo, of: Option<&Holder>) -> Option<BodyNo> {
        let behind = |body: &HeldBody| body.pace.map_or(Millis::ZERO, |pace| pace.behind(now));
        let candidates = || {
            self.bodies.iter().filter(|(no, body)| {
                **no != except
                    && body.bytes > 0
                    && behind(body) >= MAX_BEHIND
                    && of.is_none_or(|holder| body.holder == *holder)
            })
        };
        let mut by_holder: BTreeMap<&Holder, u64> = BTreeMap::new();
        for (_, body) in candidates() {
            *by_holder.entry(&body.holder).or_default() += body.bytes;
        }
        let holds_most = by_holder.into_iter().max_by_key(|(_, bytes)| *bytes)?.0;
        candidates()
            .filter(|(_, body)| body.holder == *holds_most)
            .max_by_key(|(_, body)| behind(body))
            .map(|(no, _)| *no)
    }
}
