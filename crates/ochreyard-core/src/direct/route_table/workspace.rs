//! Whose requests there are.

use serde::{Deserialize, Serialize};

use crate::direct::allowed_regions::AllowedRegions;

/// A workspace and its standing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Goes before the priority of the route, if given.
    pub priority: Option<u64>,
    /// Where its requests may run.
    #[serde(default, rename = "homes")]
    pub allowed_regions: AllowedRegions,
}
