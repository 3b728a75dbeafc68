//! Limits of the endpoints of a service while they are cold.

use serde::{Deserialize, Serialize};

/// Limits of the endpoints of a service while they are cold, which they are after a start or at other times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// Requests per second that a cold endpoint accepts from all boxes together.
    pub requests_per_s: f64,
}
