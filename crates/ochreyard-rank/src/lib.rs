//! The agent beside one rank of a group.
//!
//! Reading its own engine and giving it orders is free for an agent, and dear
//! for everybody else. So the leader of a group, an entry, asks each agent for its
//! rank's view and counts, and gives its orders through the agents. An agent obeys
//! one leader at a time; what is decided is in [`ochreyard_core::group_map`].

mod agent;
mod engine;
mod fields;
mod message;
mod numbered_map;
pub mod serve;
mod server;

pub use engine::{Counts, EngineError, Engines, Lists, RankEngine};
pub use fields::FIELDS;
pub use message::{Ask, Looked, RANK_PATH, Told};
pub use numbered_map::NumberedMap;
