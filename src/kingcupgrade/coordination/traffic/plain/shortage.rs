//! Decides whether a service without engines is short of capacity, and how much may be sent to it.

use crate::{core::Service, protocol::fleet::PlainLoad};

/// The fraction of the requests that upstreams may turn away before that counts as a shortage. A
/// request that is turned away by chance is sent again at the cost of one round trip.
const MAX_TURNED_AWAY: f64 = 0.02;
/// The requests under way for each slot that are aimed at while the service is short. Above 1, so
/// that no slot is idle until the next request arrives.
const TARGET_OCCUPANCY: f64 = 1.2;
/// The limits of what is sent, as a multiple of what is completed. Reports are a fraction of a
/// second old, and a larger change would only be seen when it has gone too far.
const GROWTH_LIMITS: (f64, f64) = (0.8, 1.5);
/// The upper limit while upstreams turn requests away and are not mostly idle: each of those
/// requests is sent a second time.
const MAX_GROWTH_TURNED_AWAY: f64 = 1.2;
/// The fraction of the slots up to which requests that wait at an upstream are no shortage: others
/// have many free slots, and requests wait by chance.
const MAX_OCCUPANCY_WITH_ROOM: f64 = 0.5;

/// Requests for a service, as decaying sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlainSums {
    /// The requests that callers made.
    pub requested: f64,
    /// The requests that upstreams completed.
    pub completed: f64,
    /// The requests that upstreams turned away.
    pub turned_away: f64,
}

impl PlainSums {
    /// Adds a reported load multiplied by `sign`, which is 1 or -1.
    pub fn add(&mut self, load: &PlainLoad, sign: f64) {
        self.requested += sign * f64::from(load.requested);
        self.completed += sign * f64::from(load.completed);
        self.turned_away += sign * f64::from(load.turned_away);
    }

    /// Returns the load of a service; sums below 0, which subtracting reports can leave, count as 0.
    pub(in crate::coordination) fn to_load(self, service: &Service) -> PlainLoad {
        PlainLoad {
            service: service.clone(),
            requested: self.requested.max(0.0) as f32,
            completed: self.completed.max(0.0) as f32,
            turned_away: self.turned_away.max(0.0) as f32,
        }
    }

    /// Adds up both; sums of others below 0, which subtracting reports can leave, count as 0.
    pub(super) fn plus(self, other: PlainSums) -> PlainSums {
        PlainSums {
            requested: self.requested + other.requested.max(0.0),
            completed: self.completed + other.completed.max(0.0),
            turned_away: self.turned_away + other.turned_away.max(0.0),
        }
    }
}

/// The requests of all entries under way at the upstreams of a service, and their slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Occupancy {
    pub(super) under_way: u32,
    pub(super) slots: u32,
}

impl Occupancy {
    /// Returns the requests under way for each slot.
    pub(super) fn per_slot(self) -> f64 {
        f64::from(self.under_way) / f64::from(self.slots.max(1))
    }

    fn has_room(self) -> bool {
        self.per_slot() <= MAX_OCCUPANCY_WITH_ROOM
    }

    fn free_slots(self) -> f64 {
        f64::from(self.slots.saturating_sub(self.under_way))
    }
}

/// What an entry knows of a service when it decides.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    /// The requests of this entry's callers.
    pub(super) own: PlainSums,
    /// Those of the other entries' callers, as last reported.
    pub(super) others: PlainSums,
    /// `None` if the entry has no reports of others, so that most requests under way are unknown.
    pub(super) occupancy: Option<Occupancy>,
    /// Whether an upstream has reported lately that requests wait there.
    pub(super) has_waiting: bool,
}

impl Situation {
    /// Returns the fraction of the callers' requests that entries may send; `None` if nothing is
    /// limited.
    pub(super) fn admitted_fraction(&self) -> Option<f64> {
        if !self.is_short() {
            return None;
        }
        let all = self.own.plus(self.others);
        let rate = match self.occupancy {
            // The entry keeps its last known part.
            None => all.completed,
            // Free slots can be filled, also if the service has completed nothing for a while.
            Some(occupancy) => (all.completed * self.growth(occupancy)).max(occupancy.free_slots()),
        };
        let fraction = rate / all.requested.max(1.0);
        (fraction < 1.0).then_some(fraction)
    }

    /// Returns whether upstreams turn requests away, or requests wait at them.
    pub(super) fn is_short(&self) -> bool {
        let is_waiting = match self.occupancy {
            None => self.has_waiting,
            Some(occupancy) => {
                occupancy.per_slot() > 1.0 || (self.has_waiting && !occupancy.has_room())
            }
        };
        is_waiting || self.is_turned_away()
    }

    fn is_turned_away(&self) -> bool {
        // An entry without reports can't tell whether others are still turned away.
        let others = if self.occupancy.is_some() { self.others } else { PlainSums::default() };
        let all = self.own.plus(others);
        all.turned_away > all.requested * MAX_TURNED_AWAY
    }

    /// Returns what is to be sent, as a multiple of what is completed, so that the service is just
    /// busy: the number of requests under way follows what is sent.
    fn growth(&self, occupancy: Occupancy) -> f64 {
        let (least, most) = GROWTH_LIMITS;
        let is_overrun = self.is_turned_away() && !occupancy.has_room();
        let most = if is_overrun { MAX_GROWTH_TURNED_AWAY } else { most };
        (TARGET_OCCUPANCY / occupancy.per_slot().max(f64::MIN_POSITIVE)).clamp(least, most)
    }
}
