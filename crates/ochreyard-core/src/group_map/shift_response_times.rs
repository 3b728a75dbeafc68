//! The time that a leader takes to respond to a shift of demand, by stage.

use super::controller::ChangePhase;

/// The stages between the reading that showed a shift and the release of a map that fits the new demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftResponse {
    /// Time until a map was proposed, in milliseconds: further readings, an earlier change, the search.
    pub proposed_ms: u64,
    /// Time from then until all ranks had copied, in milliseconds.
    pub copied_ms: u64,
    /// Time from then until the holds were released, in milliseconds.
    pub switched_ms: u64,
}

/// Measures the response to one shift at a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShiftResponseTimes {
    shifted_ms: Option<u64>,
    proposed_ms: Option<u64>,
    copied_ms: Option<u64>,
}

impl ShiftResponseTimes {
    /// Records that a shift was detected. An earlier shift without a response is abandoned.
    pub const fn on_shift(&mut self, now_ms: u64) {
        *self = Self { shifted_ms: Some(now_ms), proposed_ms: None, copied_ms: None };
    }

    /// Records that a map was proposed.
    pub const fn on_proposed(&mut self, now_ms: u64) {
        self.proposed_ms = Some(now_ms);
        self.copied_ms = None;
    }

    /// Records that the controller entered `phase`. Returns the measured stages when the response is complete.
    pub fn on_phase(&mut self, phase: &ChangePhase, now_ms: u64) -> Option<ShiftResponse> {
        match phase {
            ChangePhase::Holding { .. } if self.copied_ms.is_none() => self.copied_ms = Some(now_ms),
            // A change that is undone is not a response to a shift.
            ChangePhase::Undoing => *self = Self { shifted_ms: self.shifted_ms, ..Self::default() },
            ChangePhase::Idle => return self.complete_response(now_ms),
            _ => {}
        }
        None
    }

    fn complete_response(&mut self, now_ms: u64) -> Option<ShiftResponse> {
        let (shifted, proposed, copied) = (self.shifted_ms?, self.proposed_ms?, self.copied_ms?);
        *self = Self::default();
        // A change that was proposed before the shift is not a response to it.
        let proposed_ms = proposed.checked_sub(shifted)?;
        Some(ShiftResponse { proposed_ms, copied_ms: copied - proposed, switched_ms: now_ms - copied })
    }
}
