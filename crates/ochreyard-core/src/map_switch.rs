//! The change of a group's expert map: in every step, all ranks use one map.
//!
//! A leader stages the new map on every rank, gates the group at a step `S`,
//! schedules the map from `S` on at every rank, and releases the gates. Ranks
//! enter a step only if they are not gated at it, and lock-step means that one
//! held rank holds all. Each order carries a fence that grows with the leader's
//! token and with each order, and a rank refuses a lower one: a leader that was
//! paused cannot interfere with its successor, nor an order that was overtaken on
//! its way with a later one.
//!
//! A successor first inspects every rank, which fences its predecessor off.
//! If every rank has the new map scheduled, some may have been released, so it
//! goes forward; otherwise none was released, and it puts the old map back.

mod leader;
mod order;
mod rank;

pub use leader::{MapSwitch, SwitchOutcome, SwitchPhase, SwitchSettings};
pub use order::{Fence, OrderEnvelope, RankOrder, RankReply, RankView};
pub use rank::Rank;
