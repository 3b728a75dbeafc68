//! Parameters of the engines of a model service.

use serde::{Deserialize, Serialize};

/// Parameters of the engines of a model service, from the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, Default)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u64,
    /// Forward passes per event of a stream.
    pub stride: u64,
    /// Time of a forward pass for one token with evenly loaded experts, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a pass per running request, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens processed per second.
    pub read_per_s: f64,
    /// Number of layer sets that route to experts independently; 0 where there are no groups.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Number of experts of a set that one rank can hold.
    pub places: usize,
    /// Number of experts of a set that one map change may add to a rank.
    pub spare: usize,
    /// Size of one expert, in megabytes.
    pub expert_mb: f64,
    /// Rate at which experts are copied, in megabits per second.
    pub link_mbps: f64,
    /// Share of the time of a pass that experts take.
    pub expert_share: f64,
}
