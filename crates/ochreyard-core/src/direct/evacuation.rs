//! Data centres that operators evacuate: their endpoints get no requests until the evacuation is withdrawn.

mod evacuation_state;
mod evacuation_update;

use std::collections::{BTreeMap, BTreeSet};

use self::evacuation_state::EvacuationState;
pub use self::evacuation_update::EvacuationUpdate;
use super::position::Position;

/// How long an evacuation stays in force that is absent from the log after a restore from an older copy, in
/// milliseconds, so that the operator can write it again.
const RESTORE_GRACE_MS: u64 = 5_000;

/// The newest known state of the evacuation of each data centre.
///
/// Records are compared by their position, so the order and the path of their arrival do not matter. After a restore
/// of the log from an older copy, an evacuation stays in force until the operator has had time to write it again: one
/// more request elsewhere does no harm, a request to an evacuated data centre does.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    known: BTreeMap<String, Evacuation>,
    /// Latest known era of the log.
    era: u64,
}

/// The known state of the evacuation of one data centre.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    position: Position,
    state: EvacuationState,
}

impl Evacuations {
    /// Applies one record, from the log or from another box. Returns whether it is newer than the known state.
    pub fn apply(&mut self, data_centre: &str, position: Position, is_in_force: bool, now_ms: u64) -> bool {
        // An evacuation that is absent from a listing is over, and this end may have the same position.
        let is_newer = self.known.get(data_centre).is_none_or(|known| {
            position > known.position || (position == known.position && known.state.is_in_force() && !is_in_force)
        });
        if !is_newer {
            return false;
        }
        let state = match is_in_force {
            false => EvacuationState::Withdrawn,
            true if position.era < self.era => EvacuationState::Missing { since_ms: now_ms },
            true => EvacuationState::InForce,
        };
        self.known.insert(data_centre.to_owned(), Evacuation { position, state });
        true
    }

    /// The log has been restored from an older copy, which may lack evacuations that are in force.
    pub fn on_log_restored(&mut self, era: u64, now_ms: u64) {
        self.era = self.era.max(era);
        let lost = self.known.values_mut().filter(|known| known.position.era < era);
        for known in lost.filter(|known| known.state == EvacuationState::InForce) {
            known.state = EvacuationState::Missing { since_ms: now_ms };
        }
    }

    /// Applies a complete listing of the log, after which reading continues at `end`: evacuations that are absent from
    /// it have been withdrawn by the operator.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, end: Position) {
        let is_over = |name: &str, known: &Evacuation| {
            !listed.contains(name) && known.position.era == end.era && known.position < end
        };
        for (_, known) in self.known.iter_mut().filter(|(name, known)| is_over(name, known)) {
            known.state = EvacuationState::Withdrawn;
        }
    }

    /// Ends evacuations that have been absent from the log for longer than the grace period. Returns whether there
    /// were any.
    pub fn expire_missing(&mut self, now_ms: u64) -> bool {
        let mut has_ended = false;
        for known in self.known.values_mut() {
            if known.state.is_overdue(RESTORE_GRACE_MS, now_ms) {
                known.state = EvacuationState::Withdrawn;
                has_ended = true;
            }
        }
        has_ended
    }

    /// Returns the data centres that get no requests.
    pub fn in_force(&self) -> impl Iterator<Item = &str> {
        self.known.iter().filter(|(_, known)| known.state.is_in_force()).map(|(name, _)| name.as_str())
    }

    /// Returns the updates that other boxes are sent.
    pub fn updates(&self) -> impl Iterator<Item = EvacuationUpdate> {
        self.known.iter().map(|(name, known)| EvacuationUpdate {
            data_centre: name.clone(),
            position: known.position,
            is_in_force: known.state.is_in_force(),
        })
    }
}
