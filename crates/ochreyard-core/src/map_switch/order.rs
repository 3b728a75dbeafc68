//! Orders to a rank, and its replies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What a leader orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum RankOrder {
    /// Say what you hold.
    Inspect,
    /// Hold a map beside the one in use.
    Stage {
        /// Number of the map.
        map: u64,
    },
    /// Enter no step from `step` on until released. Replaces an earlier gate.
    Gate {
        /// The first step that is held back.
        step: u64,
    },
    /// Use a map from a step on, in place of whatever was scheduled from there on.
    Activate {
        /// Number of the map.
        map: u64,
        /// The first step with it.
        from_step: u64,
    },
    /// Take the gate away.
    Release,
}

/// Bits of a fence that count the orders of one leader.
const NUMBER_BITS: u32 = 24;

/// What a rank compares: an order with a lower fence than the highest seen is
/// refused. It grows with the leader's token, and within one leader with each
/// order, so that an order that was overtaken on its way is refused too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// The fence of the order with this running number by the holder of `token`.
    #[must_use]
    pub const fn new(token: u64, number: u64) -> Self {
        Self((token << NUMBER_BITS) | number)
    }

    /// The token of the leader.
    #[must_use]
    pub const fn token(self) -> u64 {
        self.0 >> NUMBER_BITS
    }
}

/// An order with what it needs on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEnvelope {
    /// What the rank compares.
    pub fence: Fence,
    /// The rank that is meant.
    pub rank: u32,
    /// The order.
    #[serde(flatten)]
    pub order: RankOrder,
}

/// What a rank holds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RankView {
    /// The step that the rank entered last.
    pub step: u64,
    /// Maps by the first step that uses them.
    pub schedule: BTreeMap<u64, u64>,
    /// The first step that is held back.
    pub gate: Option<u64>,
}

impl RankView {
    /// The map of a step.
    #[must_use]
    pub fn map_at(&self, step: u64) -> u64 {
        self.schedule.range(..=step).next_back().map_or(0, |(_, map)| *map)
    }
}

/// A rank's reply to one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReply {
    /// The rank.
    pub rank: u32,
    /// The fence of the order.
    pub order: Fence,
    /// Whether it was carried out.
    pub done: bool,
    /// The highest fence that the rank has seen.
    pub highest: Fence,
    /// What the rank holds now.
    pub view: RankView,
}
