//! The agent that runs on the same box as one rank of a group.
//!
//! Calls to the rank's engine are cheap for its agent and expensive for all other
//! processes. The leader of a group, which is an entry, therefore reads the view and the
//! selection counts of each rank from its agent and sends most orders through the agents. An
//! agent accepts orders from one leader at a time. The decisions are made in
//! [`ochreyard_core::group_map`].

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
