//! One agent of the model.

use std::net::SocketAddr;

use ochreyard_core::admission::Admission;
use ochreyard_core::ids::AttemptId;

/// An agent with the real admission control.
pub struct Agent {
    pub endpoint: usize,
    pub addr: SocketAddr,
    pub admission: Admission,
    /// How far its clock is ahead of the true time, in milliseconds.
    pub skew_ms: u64,
    pub running: Vec<AttemptId>,
}

impl Agent {
    /// The time of its clock at the true time `now_ms`.
    pub const fn local_time_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.skew_ms
    }
}
