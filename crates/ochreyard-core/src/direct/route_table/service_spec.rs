//! One service of the configuration.

use serde::{Deserialize, Serialize};

use super::cold_limits::ColdLimits;
use super::engine_spec::EngineSpec;

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Connections that one endpoint of the service accepts from all boxes together.
    pub max_connections: u64,
    /// Path at which each endpoint of the service answers checks of its health, if it has one.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Parameters of the engines, for model services.
    pub engine: Option<EngineSpec>,
    /// Limits of the endpoints while they are cold, where there are any.
    #[serde(default)]
    pub cold: Option<ColdLimits>,
}
