//! What a box says of itself to other boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a box says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Where other boxes reach it.
    pub addr: SocketAddr,
    /// The data centre that it stands in.
    #[serde(default)]
    pub data_centre: String,
    /// Its share of processor cores, in thousandths.
    pub cores_permille: u64,
    /// What its link carries, in megabits a second.
    pub link_mbps: u64,
}
