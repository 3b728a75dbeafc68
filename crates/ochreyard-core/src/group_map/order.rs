//! Orders to one rank, and what a rank tells of itself.

use serde::{Deserialize, Serialize};

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy the experts of this map that are new to the rank.
    Prepare {
        /// Number of the map; above every number before.
        version: u64,
        /// Experts by set and rank.
        #[serde(with = "super::compact_map")]
        map: Vec<Vec<Vec<u16>>>,
    },
    /// Use a prepared map from this step on.
    Arm {
        /// Number of the map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// Forget what was armed.
    Disarm {
        /// Number of the map.
        version: u64,
    },
    /// The group does not begin this step until it is released at this rank.
    Hold {
        /// The step.
        step: u64,
    },
    /// Release a hold.
    Go {
        /// The step that is held.
        step: u64,
    },
}

impl Order {
    /// About how many bytes it takes as a message.
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

/// An order as it is sent: it fits one state of one epoch of the group only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentOrder {
    /// The order.
    pub order: Order,
    /// The epoch of the group that is meant.
    pub epoch: u64,
    /// Orders that the rank has taken so far; with any other number it refuses.
    pub expected_sequence: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was taken, or had been before.
    Taken,
    /// It did not fit.
    Refused,
    /// Nobody knows; it may still be carried out.
    Unknown,
}

/// What is armed at a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmedMap {
    /// Number of the map.
    pub version: u64,
    /// The first step that uses it, if the rank tells.
    pub step: Option<u64>,
}

/// A rank's fresh report. Fields that mostly hold nothing are left out where it is sent:
/// leaders read about a thousand of them a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct RankView {
    /// Name of the group.
    pub group: String,
    /// The rank's place in the group.
    pub rank: usize,
    /// How many ranks the group has.
    pub size: usize,
    /// Rises each time the group forms anew.
    pub epoch: u64,
    /// Whether all ranks are there.
    pub is_open: bool,
    /// The last step begun.
    pub step: u64,
    /// Orders taken.
    #[serde(default, skip_serializing_if = "is_default")]
    pub sequence: u64,
    /// Whether an order is under way.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_busy: bool,
    /// The map in use.
    #[serde(default, skip_serializing_if = "is_default")]
    pub map: u64,
    /// The map whose experts have been copied.
    #[serde(default, skip_serializing_if = "is_default")]
    pub prepared: Option<u64>,
    /// The map that is armed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub armed: Option<ArmedMap>,
    /// The step that is held.
    #[serde(default, skip_serializing_if = "is_default")]
    pub held: Option<u64>,
    /// How much longer its work takes than usual, in thousandths of the usual time.
    pub pace_permille: u64,
    /// Requests that run.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u64,
    /// Requests that wait.
    #[serde(default, skip_serializing_if = "is_default")]
    pub waiting: u64,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
