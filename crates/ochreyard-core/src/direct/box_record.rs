//! Record that a box sends of itself to other boxes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Record that a box sends of itself to other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Address at which other boxes reach the box.
    pub addr: SocketAddr,
    /// Data centre of the box.
    #[serde(default)]
    pub data_centre: String,
    /// Processor cores available to the box, in thousandths of a core.
    pub cores_permille: u64,
    /// Bandwidth of the link of the box, in megabits per second.
    pub link_mbps: u64,
}
