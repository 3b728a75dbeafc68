//! The load that an endpoint reports, with a lag.

use serde::{Deserialize, Serialize};

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Time of the last steps, in microseconds; 0 when it has no steps.
    pub step_us: u64,
    /// The expert map in use; 0 when it has none.
    pub expert_map: u64,
}
