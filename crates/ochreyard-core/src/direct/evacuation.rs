//! Data centres that operators evacuate: their endpoints get no request until the evacuation is taken back.

mod evacuation_state;
mod evacuation_update;

use std::collections::{BTreeMap, BTreeSet};

use self::evacuation_state::EvacuationState;
pub use self::evacuation_update::EvacuationUpdate;
use super::position::Position;

/// How long an evacuation that the log lacks after it came back from an older copy stays in force, in milliseconds: the
/// operator may write it again.
const RETURN_GRACE_MS: u64 = 5_000;

/// The newest that is known of the evacuation of each data centre.
///
/// Records are compared by their position, so it does not matter in which order, or by which way, they come. Where the log
/// has come back from an older copy, what was in force stays in force until the operator has had time to write it again: a
/// request more elsewhere does no harm, one in an evacuated data centre does.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    known: BTreeMap<String, Evacuation>,
    /// The latest era of the log that is known.
    era: u64,
}

/// What is known of the evacuation of one data centre.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    position: Position,
    state: EvacuationState,
}

impl Evacuations {
    /// Takes one record, from the log or from another box. Says whether that is news.
    pub fn apply(&mut self, data_centre: &str, position: Position, is_in_force: bool, now_ms: u64) -> bool {
        // A listing shows that an evacuation is over by lacking it, so its end may stand at the same position.
        let is_news = self.known.get(data_centre).is_none_or(|known| {
            position > known.position || (position == known.position && known.state.is_in_force() && !is_in_force)
        });
        if !is_news {
            return false;
        }
        let state = match is_in_force {
            false => EvacuationState::TakenBack,
            true if position.era < self.era => EvacuationState::Missing { since_ms: now_ms },
            true => EvacuationState::InForce,
        };
        self.known.insert(data_centre.to_owned(), Evacuation { position, state });
        true
    }

    /// The log has come back from an older copy, which may lack what was in force.
    pub fn on_log_restored(&mut self, era: u64, now_ms: u64) {
        self.era = self.era.max(era);
        let lost = self.known.values_mut().filter(|known| known.position.era < era);
        for known in lost.filter(|known| known.state == EvacuationState::InForce) {
            known.state = EvacuationState::Missing { since_ms: now_ms };
        }
    }

    /// Takes a whole listing of the log, after which reading goes on from `end`: the operator has taken back what it lacks.
    pub fn retain_listed(&mut self, listed: &BTreeSet<&str>, end: Position) {
        let is_over = |name: &str, known: &Evacuation| {
            !listed.contains(name) && known.position.era == end.era && known.position < end
        };
        for (_, known) in self.known.iter_mut().filter(|(name, known)| is_over(name, known)) {
            known.state = EvacuationState::TakenBack;
        }
    }

    /// Ends those that the log lacks for so long that nobody writes them again. Says whether there were any.
    pub fn expire_missing(&mut self, now_ms: u64) -> bool {
        let mut has_ended = false;
        for known in self.known.values_mut() {
            if known.state.is_overdue(RETURN_GRACE_MS, now_ms) {
                known.state = EvacuationState::TakenBack;
                has_ended = true;
            }
        }
        has_ended
    }

    /// The data centres that get no request.
    pub fn in_force(&self) -> impl Iterator<Item = &str> {
        self.known.iter().filter(|(_, known)| known.state.is_in_force()).map(|(name, _)| name.as_str())
    }

    /// What other boxes are told.
    pub fn updates(&self) -> impl Iterator<Item = EvacuationUpdate> {
        self.known.iter().map(|(name, known)| EvacuationUpdate {
            data_centre: name.clone(),
            position: known.position,
            is_in_force: known.state.is_in_force(),
        })
    }
}
