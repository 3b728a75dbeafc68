//! One workspace of the configuration.

use serde::{Deserialize, Serialize};

use crate::direct::permitted_regions::PermittedRegions;

/// A workspace with its priority and allowed regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Priority that overrides that of the route, if set.
    pub priority: Option<u64>,
    /// Regions in which requests of the workspace may run.
    #[serde(default, rename = "homes")]
    pub permitted_regions: PermittedRegions,
}
