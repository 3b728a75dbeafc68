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
pub mod serve;
mod server;
mod versioned_map;

pub use engine::{EngineError, EngineFactory, HeldExperts, RankEngine, SelectionTotals};
pub use fields::FIELDS;
pub use message::{AgentResponse, LeaderRequest, RANK_PATH, RankStatus};
pub use versioned_map::VersionedMap;
