//! Orders to a rank, and the rank's replies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An order of a leader to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum RankOrder {
    /// Report the rank's state.
    Inspect,
    /// Load a map in addition to the one in use.
    Stage {
        /// Number of the map.
        map: u64,
    },
    /// Enter no step from `step` on until released. Replaces an earlier gate.
    Gate {
        /// The first step that the rank may not enter.
        step: u64,
    },
    /// Use a map from a step on, in place of the maps that were scheduled from that step on.
    Activate {
        /// Number of the map.
        map: u64,
        /// The first step that uses it.
        from_step: u64,
    },
    /// Remove the gate.
    Release,
}

/// Number of bits of a fence that count the orders of one leader.
const ORDER_NUMBER_BITS: u32 = 24;

/// The precedence of an order: a rank refuses an order with a lower fence than the highest
/// it has seen. The fence grows with the leader's token, and for one leader with each order, so
/// that a delayed order is refused as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// The fence of the order with this sequence number by the holder of `token`.
    #[must_use]
    pub const fn new(token: u64, order_number: u64) -> Self {
        Self((token << ORDER_NUMBER_BITS) | order_number)
    }

    /// The fencing token of the leader.
    #[must_use]
    pub const fn token(self) -> u64 {
        self.0 >> ORDER_NUMBER_BITS
    }
}

/// An order with its recipient and its fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderEnvelope {
    /// The fence, which the rank compares with the highest it has seen.
    pub fence: Fence,
    /// The rank that receives the order.
    pub rank: u32,
    /// The order.
    #[serde(flatten)]
    pub order: RankOrder,
}

/// The state of a rank.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RankView {
    /// The step that the rank entered last.
    pub step: u64,
    /// Numbers of maps, by the first step that uses each.
    pub schedule: BTreeMap<u64, u64>,
    /// The first step that the rank may not enter.
    pub gate: Option<u64>,
}

impl RankView {
    /// The number of the map that is used in `step`.
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
    /// Whether the order was carried out.
    pub done: bool,
    /// The highest fence that the rank has seen.
    pub highest: Fence,
    /// The state of the rank after the order.
    pub view: RankView,
}
