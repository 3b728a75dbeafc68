//! A share of a route.

use serde::{Deserialize, Serialize};

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share of the requests, against the sum over the route.
    pub weight: u64,
}
