//! How far one box knows what another one tells.

use serde::{Deserialize, Serialize};

/// How much of what another box tells step by step is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SyncCursor {
    /// The life of the other box: in another life it counts anew.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Records of its list of boxes, in the order in which it learned them.
    pub boxes: usize,
    /// Changes of what it knows of requests that crash endpoints.
    #[serde(default)]
    pub quarantine: u64,
    /// Changes of the limits of endpoints that it knows.
    #[serde(default)]
    pub limits: u64,
}
