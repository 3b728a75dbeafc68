//! The slots of this box for late requests while a service recovers from a stall, and when they become free.
//!
//! After a stall of 6 s as many requests wait as the service can serve in 4 s, and new ones keep arriving. Late requests
//! that take all slots at once make each new request late, too: of those that arrived in the first second after the
//! return 61 of 394 were on time. So the slots that are needed for the requests expected within one service time are
//! set aside.

use std::collections::VecDeque;

use crate::hash;

/// Share of the slots that is planned for. Requests are spread unevenly over the endpoints, since boxes know of each
/// other's requests only from reports that are some hundred milliseconds old. With 1.0, 40 to 90 of 640 requests were
/// queued at full endpoints while others had free slots, and of the requests that arrived in the 5 s after a stall .88
/// were on time in place of .94 (`stall_load`, 62 boxes, usual load).
const USABLE_SHARE: f64 = 0.9;
/// Share of this box's slots that is set aside while arrivals or service time are not known, as at a box that started
/// during the stall.
const DEFAULT_ON_TIME_SHARE: f64 = 0.5;
/// Largest share of this box's slots for late requests. With 0.6 a group that had just recovered ran 270 requests in 630
/// slots while waiting requests timed out; with 1.0 no slot would be left for new requests.
pub const MAX_LATE_SHARE: f64 = 0.8;
/// Late requests whose start is kept, a bound for a box that has a whole service to itself.
const MAX_STARTS: usize = 1_024;

/// What determines the slots for late requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotDemand {
    /// Slots of the service's endpoints that serve.
    pub slots: u64,
    /// Boxes that share them.
    pub boxes: u64,
    /// Requests on time that are expected to arrive at this box, per millisecond, where that is known.
    pub arrivals_per_ms: Option<f64>,
    /// Time that a request occupies a slot while the service is full, in milliseconds, where that is known.
    pub service_ms: Option<u64>,
}

impl SlotDemand {
    /// Returns how many slots this box has for late requests, in fractions of a slot: those that the requests expected
    /// within one service time do not need.
    #[must_use]
    pub fn late_slots(&self) -> f64 {
        let own_slots = self.slots as f64 / self.boxes.max(1) as f64;
        let expected = self.arrivals_per_ms.zip(self.service_ms).map(|(per_ms, service_ms)| per_ms * service_ms as f64);
        let on_time = expected.unwrap_or(own_slots * DEFAULT_ON_TIME_SHARE);
        (own_slots * USABLE_SHARE - on_time).clamp(0.0, own_slots * MAX_LATE_SHARE)
    }
}

/// The slots of this box for late requests, from the begin of a stall to the end of the recovery from it.
#[derive(Debug, Clone)]
pub struct LateSlots {
    /// Added before fractions of a slot are cut off. It stays the same during one recovery: with a new draw for each
    /// decision, a request that waits would soon get the next whole slot.
    rounding: f64,
    /// When the service resumed; `None` during the stall.
    resumed_ms: Option<u64>,
    starts_ms: VecDeque<u64>,
}

impl LateSlots {
    /// Creates the state at the begin of a stall; `draw` is a uniformly distributed random number.
    #[must_use]
    pub fn new(draw: u64) -> Self {
        let rounding = hash::mix(draw) as f64 / u64::MAX as f64;
        Self { rounding, resumed_ms: None, starts_ms: VecDeque::new() }
    }

    /// Records that the service resumed.
    pub fn on_resumed(&mut self, now_ms: u64) {
        self.resumed_ms.get_or_insert(now_ms);
    }

    /// Returns whether the service resumed at least `for_ms` ago.
    #[must_use]
    pub fn has_recovered(&self, for_ms: u64, now_ms: u64) -> bool {
        self.resumed_ms.is_some_and(|resumed_ms| now_ms >= resumed_ms + for_ms)
    }

    /// Returns the number of slots for late requests at this box. On average over many boxes no fraction is lost.
    #[must_use]
    pub fn count(&self, demand: &SlotDemand) -> u64 {
        (demand.late_slots() + self.rounding) as u64
    }

    /// Records that a late request was sent.
    pub fn on_sent(&mut self, now_ms: u64) {
        if self.starts_ms.len() == MAX_STARTS {
            self.starts_ms.pop_front();
        }
        self.starts_ms.push_back(now_ms);
    }

    /// Returns how long a late request that has `ahead` others before it waits for a slot, in milliseconds, where
    /// `in_flight` late requests occupy slots; during a stall, from its end on. `u64::MAX` means that this box has no
    /// slots for late requests, 0 that the wait is not known.
    #[must_use]
    pub fn wait_ms(&self, demand: &SlotDemand, in_flight: u64, ahead: u64, now_ms: u64) -> u64 {
        let count = self.count(demand);
        let Some(service_ms) = demand.service_ms else { return 0 };
        if count == 0 {
            return u64::MAX;
        }
        let Some(behind) = (ahead + in_flight).checked_sub(count) else { return 0 };
        // Slots become free in the order in which they were taken. Those that are free now are taken by requests ahead
        // of this one.
        let slots = count.max(in_flight);
        let (round, place) = (behind / slots, behind % slots);
        let from_last = in_flight.checked_sub(place).and_then(|from_last| usize::try_from(from_last).ok());
        let at = from_last.and_then(|from_last| self.starts_ms.len().checked_sub(from_last));
        let start_ms = at.and_then(|at| self.starts_ms.get(at)).copied().unwrap_or(now_ms);
        (start_ms + (round + 1) * service_ms).saturating_sub(now_ms)
    }
}
