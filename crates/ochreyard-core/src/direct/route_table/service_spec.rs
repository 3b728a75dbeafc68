//! One service of the configuration.

use serde::{Deserialize, Serialize};

use super::cold_limits::ColdLimits;
use super::engine_spec::EngineSpec;

/// One service of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all boxes together.
    pub max_connections: u64,
    /// Figures of its engines, for model services.
    pub engine: Option<EngineSpec>,
    /// What its endpoints bear while they are cold, where that is bounded.
    #[serde(default)]
    pub cold: Option<ColdLimits>,
}
