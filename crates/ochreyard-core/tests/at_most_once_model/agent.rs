//! One agent of the model.

use std::net::SocketAddr;

use ochreyard_core::admission::Admission;
use ochreyard_core::ids::AttemptId;

/// An agent with its real admission.
pub struct Agent {
    pub endpoint: usize,
    pub addr: SocketAddr,
    pub admission: Admission,
    /// By how much its clock is ahead.
    pub skew_ms: u64,
    pub running: Vec<AttemptId>,
}

impl Agent {
    /// What its clock shows when the true time is `now_ms`.
    pub const fn own_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.skew_ms
    }
}
