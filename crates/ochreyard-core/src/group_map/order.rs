//! Orders to one rank, and the state that a rank reports.

use serde::{Deserialize, Serialize};

/// Largest number of ranks of a group.
pub(super) const MAX_RANKS: usize = 4_096;
/// Bound of the numbers in messages about a group: greater ones are not exact in JSON.
pub(super) const MAX_NUMBER: u64 = (1 << 53) - 1;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy the experts of this map that the rank does not hold yet.
    Prepare {
        /// Version of the map; higher than every earlier one.
        version: u64,
        /// Experts by set and rank.
        #[serde(with = "super::compact_map")]
        map: Vec<Vec<Vec<u16>>>,
    },
    /// Use a prepared map from this step on.
    Arm {
        /// Version of the map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// Cancel the use of an armed map.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the group from beginning this step until the hold at this rank is released.
    Hold {
        /// The step to hold.
        step: u64,
    },
    /// Release a hold.
    Go {
        /// The step that is held.
        step: u64,
    },
}

impl Order {
    /// Estimates the size of the order as a message, in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        const HEAD_BYTES: usize = 100;
        const EXPERT_BYTES: usize = 2;
        match self {
            Self::Prepare { map, .. } => {
                let held: usize = map.iter().flatten().map(|held| held.len() * EXPERT_BYTES + 1).sum();
                HEAD_BYTES + held
            }
            _ => HEAD_BYTES,
        }
    }
}

/// An order as it is sent: it is valid for only one state of one epoch of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentOrder {
    /// The order.
    pub order: Order,
    /// The epoch of the group that the order is meant for.
    pub epoch: u64,
    /// Number of orders that the rank has accepted so far; it refuses the order if the number differs.
    pub expected_sequence: u64,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The rank accepted the order, now or earlier.
    Taken,
    /// The rank refused the order, which did not fit its state.
    Refused,
    /// The outcome is unknown; the order may still be carried out.
    Unknown,
}

/// The map that is armed at a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmedMap {
    /// Version of the map.
    pub version: u64,
    /// The first step that uses it, if the rank reports it.
    pub step: Option<u64>,
}

/// The state that a rank reports. Fields that usually have their default value are omitted from
/// the message: leaders read about a thousand such reports a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct RankView {
    /// Name of the group.
    pub group: String,
    /// The rank's index in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Number that rises each time the group forms anew.
    pub epoch: u64,
    /// Whether all ranks are present.
    pub is_open: bool,
    /// The last step that the rank has begun.
    pub step: u64,
    /// Number of orders that the rank has accepted.
    #[serde(default, skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// Whether the rank is carrying out an order.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_busy: bool,
    /// Version of the map in use.
    #[serde(default, skip_serializing_if = "is_default")]
    pub map: u64,
    /// Version of the map whose experts have been copied.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prepared: Option<u64>,
    /// The map that is armed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub armed: Option<ArmedMap>,
    /// The step that is held at this rank.
    #[serde(default, skip_serializing_if = "is_default")]
    pub held: Option<u64>,
    /// Time that the rank's work takes, in thousandths of the usual time: 1,000 is the usual speed.
    pub pace_permille: u64,
    /// Number of running requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u64,
    /// Number of waiting requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub waiting: u64,
}

impl RankView {
    /// Returns whether the values are possible and consistent. Memory is allocated for as many ranks as a view counts,
    /// and its numbers are added to others.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let armed_step = self.armed.and_then(|armed| armed.step);
        let versions = [self.prepared, self.armed.map(|armed| armed.version), self.held, armed_step];
        let numbers = [self.epoch, self.step, self.sequence, self.map, self.pace_permille, self.running, self.waiting];
        self.rank < self.size
            && self.size <= MAX_RANKS
            && versions.into_iter().flatten().chain(numbers).all(|number| number < MAX_NUMBER)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
