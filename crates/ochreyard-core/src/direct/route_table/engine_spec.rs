//! Figures of the engines of a model service.

use serde::{Deserialize, Serialize};

/// What the configuration tells of the engines of a model service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, Default)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u64,
    /// Passes for each event of a stream.
    pub stride: u64,
    /// Time of a pass for one token, without the experts' skew, in milliseconds.
    pub step_ms: f64,
    /// More for each running request, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens read a second.
    pub read_per_s: f64,
    /// Layer sets that choose experts independently; 0 where there are no groups.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts that one rank can hold in a set.
    pub places: usize,
    /// Experts in a set that one change may bring to a rank.
    pub spare: usize,
    /// Size of one expert, in megabytes.
    pub expert_mb: f64,
    /// Rate at which experts are copied, in megabits a second.
    pub link_mbps: f64,
    /// Share of a pass that experts take.
    pub expert_share: f64,
}
