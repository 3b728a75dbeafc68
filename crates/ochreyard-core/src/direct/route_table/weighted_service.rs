//! A service of a route, with its weight.

use serde::{Deserialize, Serialize};

/// One of the services that share the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum of the weights of the route.
    pub weight: u64,
}
