//! What endpoints of a service bear while they are cold.

use serde::{Deserialize, Serialize};

/// What endpoints of a service bear while they are cold: after their start, or at any other moment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// Requests a second that a cold endpoint bears, from all boxes together.
    pub requests_per_s: f64,
}
