//! Load shedding when an entry's own processor is overloaded.
//!
//! The balancer assigns a caller's connections to one entry by a hash, so an entry may get many
//! times its even share. Its processor then falls behind: all events of the streams it relays are
//! late, and new callers wait unserved until they give up. A caller that is refused reaches another
//! entry at once, so refusing a fraction of the requests early serves all of them better.
//!
//! How far the processor is behind shows in how long a task waits to be scheduled. The refused
//! fraction is adjusted slowly, so that it converges to the excess load. The further the processor
//! is behind, the more rarely a task is scheduled and the later a surge would be noticed, while
//! requests are sent on whose callers have long left. So above a second limit all requests are
//! refused until the processor has caught up.
//!
//! In a fleet that exchanges load through collectors, the refused fraction is taken from the
//! organisations that send most to the entry, and the limits depend on whether other entries have
//! room for refused callers.

mod arrivals;
mod limits;
mod refusal;
mod retry_delay;

use self::{
    arrivals::{Arrivals, Shedding},
    limits::DelayLimits,
};
pub use self::{limits::PeerRoom, refusal::early_refusal, retry_delay::RetrySpread};
use crate::core::{Millis, Organisation};

/// The increase of the refused fraction for one task that waits twice the limit.
const GAIN: f64 = 0.06;
/// The maximum increase for one task: a process that was suspended for seconds is not overloaded.
const MAX_STEP: f64 = 0.2;
/// The decrease of the refused fraction for each task that is scheduled in time. With one each 10
/// ms the fraction falls by 0.5 in a second, which is slower than callers come back.
const RECOVERY: f64 = 0.005;
/// The maximum refused fraction: the requests still served show whether the load is still too high.
const MAX_REFUSED_FRACTION: f64 = 0.95;

/// From this refused fraction on an entry asks the balancer for no new callers, until it refuses
/// nothing. Refused callers come back to the entry that the balancer's hash selects, so only
/// another entry in its place helps them.
const FULL_FRACTION: f64 = 0.25;

/// The weight of one measurement in the mean scheduling delay. With one each 10 ms, the mean covers
/// about as much time as passes between two load reports.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// An entry has room up to this mean scheduling delay: half of the delay from which it may shed
/// load, since the callers that others refuse come in addition.
const ROOM_DELAY: Millis = Millis(limits::DETOUR_COST.0 / 2);

/// The load shedding state of an entry.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    /// Whether other entries have room for refused callers.
    peer_room: PeerRoom,
    arrivals: Arrivals,
    is_full: bool,
    refused_fraction: f64,
    /// The refused fraction summed up over requests; a request is refused once the sum reaches 1,
    /// which is then subtracted.
    accumulated: f64,
    /// How long the last task waited to be scheduled.
    last_delay: Millis,
    /// The moving average of how long measuring tasks waited, in milliseconds.
    mean_delay: f64,
    /// Whether the last two tasks both waited too long. A single one may have been caused by a
    /// suspended process.
    is_saturated: bool,
}

impl Overload {
    /// Records how long a measuring task waited to be scheduled. One is started each 10 ms if the
    /// one before has run.
    pub fn on_probe_delay(&mut self, delay: Millis) {
        self.mean_delay += (delay.0 as f64 - self.mean_delay) * MEAN_WEIGHT;
        let excess = delay.0 as f64 / self.limits().shedding.0 as f64 - 1.0;
        let step = if excess > 0.0 { (GAIN * excess).min(MAX_STEP) } else { -RECOVERY };
        self.refused_fraction = (self.refused_fraction + step).clamp(0.0, MAX_REFUSED_FRACTION);
        if self.refused_fraction == 0.0 {
            self.accumulated = 0.0;
            self.is_full = false;
        }
        self.is_full |= self.refused_fraction >= FULL_FRACTION;
        self.on_delay(delay);
    }

    /// Records how long a new connection waited to be scheduled; under overload there are many of
    /// them.
    pub fn on_delay(&mut self, delay: Millis) {
        self.is_saturated = delay.min(self.last_delay) > self.limits().saturation;
        self.last_delay = delay;
    }

    /// Sets whether other entries have room for refused callers.
    pub fn set_peer_room(&mut self, room: PeerRoom) {
        self.peer_room = room;
    }

    fn limits(&self) -> DelayLimits {
        DelayLimits::of(self.peer_room)
    }

    /// Returns the scheduling delay from which on load is shed.
    pub fn delay_limit(&self) -> Millis {
        self.limits().shedding
    }

    /// Returns whether this entry has room for the callers that others refuse.
    pub fn has_room(&self) -> bool {
        !self.is_shedding() && self.mean_delay <= ROOM_DELAY.0 as f64
    }

    /// Returns whether any requests are refused.
    pub fn is_shedding(&self) -> bool {
        self.refused_fraction > 0.0 || self.is_saturated
    }

    /// Returns the fraction of requests that is refused.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Returns how long the last task waited to be scheduled.
    pub fn scheduling_delay(&self) -> Millis {
        self.last_delay
    }

    /// Returns whether all requests are refused until the processor has caught up.
    pub fn is_saturated(&self) -> bool {
        self.is_saturated
    }

    /// Returns whether new callers should be sent to other entries.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Returns whether to refuse the request that has just arrived. Refusals are spread evenly over
    /// the requests.
    pub fn should_refuse(&mut self) -> bool {
        if self.is_saturated {
            return true;
        }
        self.accumulated += self.refused_fraction;
        let is_refused = self.accumulated >= 1.0;
        if is_refused {
            self.accumulated -= 1.0;
        }
        is_refused
    }

    /// Counts a request of an organisation, for [`Overload::should_refuse_from`]. It is also called
    /// while nothing is refused, so that the counts are known once load has to be shed.
    pub fn on_arrival(&mut self, now: Millis, organisation: &Organisation) {
        self.arrivals.on_arrival(now, organisation);
    }

    /// Returns whether to refuse the request of an organisation that has just arrived and was
    /// counted. The refused fraction is taken from the organisations that send most.
    ///
    /// While the processor is saturated, nothing of these is served. The others are still served as
    /// long as all of them together are a small part of what the processor can carry.
    pub fn should_refuse_from(&mut self, now: Millis, organisation: &Organisation) -> bool {
        if !self.is_shedding() {
            self.arrivals.on_served(now);
            return false;
        }
        let shedding = match self.is_saturated {
            true => Shedding::Saturated(1.0 - MAX_REFUSED_FRACTION),
            false => Shedding::Fraction(1.0 - self.refused_fraction),
        };
        self.arrivals.sheds(now, organisation, shedding)
    }

    /// Returns the requests per second up to which an organisation's requests were last served;
    /// infinite if none were refused by organisation.
    pub fn level_per_s(&self) -> f64 {
        self.arrivals.level_per_s()
    }

    /// Returns how many requests of each organisation were refused since the last call, largest
    /// first.
    pub fn take_shed(&mut self) -> Vec<(Organisation, u32)> {
        self.arrivals.take_shed()
    }
}
