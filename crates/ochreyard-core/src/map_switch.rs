//! Changes a group's expert map so that all ranks use the same map in every step.
//!
//! A leader stages the new map on every rank, gates the group at a step `S`,
//! schedules the map from `S` on at every rank, and releases the gates. Ranks
//! enter a step only if they are not gated at it, and since they run in lock-step,
//! one gated rank stops all. Each order carries a fence that grows with the leader's
//! token and with each order, and a rank refuses an order with a lower fence than it has
//! seen: a leader that was paused cannot interfere with its successor, and a delayed order
//! cannot interfere with a later one.
//!
//! A successor first inspects every rank, which fences off its predecessor.
//! If every rank has the new map scheduled, some ranks may have been released, so the
//! successor completes the change; otherwise none was released, and it restores the old map.

mod leader;
mod order;
mod rank;

pub use leader::{MapSwitch, SwitchOutcome, SwitchPhase, SwitchSettings};
pub use order::{Fence, OrderEnvelope, RankOrder, RankReply, RankView};
pub use rank::Rank;
