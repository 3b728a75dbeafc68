//! State of a TCP connection, as the operating system reports it.

use std::fmt;

/// State of a TCP connection at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TcpSample {
    /// Number of segments that were sent and are not acknowledged.
    pub unacked_segments: u32,
    /// Bytes that were written and not sent yet.
    pub unsent_bytes: u32,
    /// Number of window and keepalive probes sent since the last acknowledgment.
    pub unanswered_probes: u8,
    /// Time since the last acknowledgment, in milliseconds.
    pub last_ack_age_ms: u64,
    /// Receive window of the peer, in bytes; `None` if the system does not report it.
    pub peer_window_bytes: Option<u32>,
}

impl TcpSample {
    /// Returns whether the receive window of the peer is closed: bytes wait to be sent, and none are in flight.
    #[must_use]
    pub const fn is_window_closed(&self) -> bool {
        self.unacked_segments == 0 && self.unsent_bytes > 0
    }

    /// Returns whether the peer still has to acknowledge, or take, something.
    #[must_use]
    pub const fn awaits_peer(&self) -> bool {
        self.unacked_segments > 0 || self.unsent_bytes > 0 || self.unanswered_probes > 0
    }
}

impl fmt::Display for TcpSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "window_closed={} unacked_segments={} unsent_bytes={} unanswered_probes={} last_ack_age_ms={} \
             peer_window_bytes={:?}",
            self.is_window_closed(),
            self.unacked_segments,
            self.unsent_bytes,
            self.unanswered_probes,
            self.last_ack_age_ms,
            self.peer_window_bytes
        )
    }
}
