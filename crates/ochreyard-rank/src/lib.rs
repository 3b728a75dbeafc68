//! The agent beside one rank of a group.
//!
//! Reading its own engine and giving it orders is free for an agent, and dear
//! for everybody else. So the agents of a group choose a leader among
//! themselves; the leader asks each agent for its rank's view and counts, plans
//! maps, and gives orders through the agents. What is decided is in
//! [`ochreyard_core::group_map`]; this package is the input and output.

mod agent;
mod endpoints;
mod engine;
mod entries;
mod fields;
mod leader;
mod message;
mod numbered_map;
mod rank_record;
pub mod serve;
mod server;
mod step_progress;

pub use engine::{Counts, EngineError, Engines, Lists, RankEngine};
pub use fields::FIELDS;
