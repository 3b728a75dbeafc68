//! What a box says of itself to other boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a box says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Where other boxes reach it.
    pub addr: SocketAddr,
    /// Its share of processor cores, in thousandths.
    pub cores_permille: u64,
    /// What its link carries, in megabits a second.
    pub link_mbps: u64,
}
