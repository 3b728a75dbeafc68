//! The load that an endpoint reports. It lags behind the actual load.

use serde::{Deserialize, Serialize};

/// The load report of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that are waiting at the endpoint.
    pub waiting: u32,
    /// Duration of the most recent steps, in microseconds, or 0 if the endpoint has no steps.
    pub step_us: u64,
    /// Number of the expert map in use, or 0 if there is none.
    pub expert_map: u64,
}
