//! How long it takes to answer a shift of demand, by part.

use super::controller::ChangePhase;

/// The parts of the time from the reading that showed a shift until a map that fits is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftResponse {
    /// Until a map was proposed, in milliseconds: more readings, a change before, the search.
    pub proposed_ms: u64,
    /// Until all ranks had copied, in milliseconds.
    pub copied_ms: u64,
    /// Until the holds were released, in milliseconds.
    pub switched_ms: u64,
}

/// Follows one shift after the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShiftResponseTimes {
    shifted_ms: Option<u64>,
    proposed_ms: Option<u64>,
    copied_ms: Option<u64>,
}

impl ShiftResponseTimes {
    /// A shift was noticed. One that is not answered yet is given up.
    pub const fn on_shift(&mut self, now_ms: u64) {
        *self = Self { shifted_ms: Some(now_ms), proposed_ms: None, copied_ms: None };
    }

    /// A map was proposed.
    pub const fn on_proposed(&mut self, now_ms: u64) {
        self.proposed_ms = Some(now_ms);
        self.copied_ms = None;
    }

    /// The controller has come to another phase; tells the parts once the shift is answered.
    pub fn on_phase(&mut self, phase: &ChangePhase, now_ms: u64) -> Option<ShiftResponse> {
        match phase {
            ChangePhase::Holding { .. } if self.copied_ms.is_none() => self.copied_ms = Some(now_ms),
            // A change that came to nothing answers no shift.
            ChangePhase::Undoing => *self = Self { shifted_ms: self.shifted_ms, ..Self::default() },
            ChangePhase::Idle => return self.answer(now_ms),
            _ => {}
        }
        None
    }

    fn answer(&mut self, now_ms: u64) -> Option<ShiftResponse> {
        let (shifted, proposed, copied) = (self.shifted_ms?, self.proposed_ms?, self.copied_ms?);
        *self = Self::default();
        // A change from before the shift is no answer to it.
        let proposed_ms = proposed.checked_sub(shifted)?;
        Some(ShiftResponse { proposed_ms, copied_ms: copied - proposed, switched_ms: now_ms - copied })
    }
}
