//! The expert statistics of a group.

use ochreyard_core::rebalance::Placement;
use serde::{Deserialize, Serialize};

/// The report of a group about its experts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpertReport {
    /// Tokens routed to each expert since the last report.
    pub counts: Vec<f64>,
    /// Compute time of each rank in the most recent steps, in microseconds.
    pub rank_times_us: Vec<f64>,
    /// The placement in use.
    pub placement: Placement,
    /// Size of the weights of one expert, in bytes.
    pub expert_bytes: u64,
}
