//! Where a rank's agent and engine are, as the log has it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An agent's record in the log: where it and its engine are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRecord {
    /// Where the agent is asked.
    pub agent_addr: SocketAddr,
    /// Where the engine listens. Nobody calls it from here: a change of it tells that
    /// the rank has another engine, whose counts start anew.
    pub engine_addr: SocketAddr,
}

/// The key of a rank's record.
#[must_use]
pub fn rank_key(group: &str, rank: usize) -> String {
    format!("{group}.{rank}")
}
