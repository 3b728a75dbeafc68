//! What is asked of a group besides calls.

use ochreyard_core::rebalance::Placement;
use serde::{Deserialize, Serialize};

/// What a group says of its experts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpertReport {
    /// Tokens for each expert since the last report.
    pub counts: Vec<f64>,
    /// Compute time of each rank in the last steps, in microseconds.
    pub rank_times_us: Vec<f64>,
    /// The placement in use.
    pub placement: Placement,
    /// Bytes of one expert's weights.
    pub expert_bytes: u64,
}
