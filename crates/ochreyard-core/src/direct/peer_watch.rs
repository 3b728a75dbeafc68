//! Tells a peer that is slow to read from one that is cut off or without power.
//!
//! A peer that reads nothing closes its receive window, and its system goes on acknowledging probes, although they come
//! ever more seldom. A peer that is cut off acknowledges nothing. So silence for a while is no evidence by itself: a new
//! connection to the same address shows whether the peer's system is still reachable.

mod observing;
mod verifying;

use std::time::Duration;

pub use observing::Observing;
pub use verifying::Verifying;

use super::tcp_sample::TcpSample;

/// Time without evidence that the peer is reachable after which that is verified, in milliseconds. Longer than the
/// interval between keepalive probes, each of which a reachable peer acknowledges.
const VERIFY_AFTER_MS: u64 = 1_100;

/// Watches the peer of a connection while an answer is awaited from it.
#[derive(Debug)]
pub struct PeerWatch<S> {
    state: S,
}

impl PeerWatch<Observing> {
    /// How often a sample of the connection should be taken.
    pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

    /// Starts to watch when a request is written, or the peer has sent something.
    #[must_use]
    pub const fn start(now_ms: u64) -> Self {
        Self { state: Observing { reachable_ms: now_ms } }
    }

    /// Takes a sample of the connection into account.
    ///
    /// # Errors
    ///
    /// When the peer has acknowledged nothing for so long that it has to be verified whether it is reachable. The watch that
    /// is returned goes on with the result.
    pub fn observe(self, sample: &TcpSample, now_ms: u64) -> Result<Self, PeerWatch<Verifying>> {
        let silent_ms = now_ms.saturating_sub(self.state.reachable_ms).min(sample.last_ack_age_ms);
        if sample.awaits_peer() && silent_ms >= VERIFY_AFTER_MS {
            Err(PeerWatch { state: Verifying { started_ms: now_ms } })
        } else {
            Ok(self)
        }
    }
}

impl PeerWatch<Verifying> {
    /// How long a new connection to the peer may take to open.
    pub const TIMEOUT: Duration = Duration::from_millis(650);

    /// Goes on after a new connection has shown that the peer is reachable.
    #[must_use]
    pub const fn on_reachable(self, now_ms: u64) -> PeerWatch<Observing> {
        PeerWatch::start(now_ms)
    }

    /// Goes on after no new connection to the peer has opened; `None` if the peer is cut off, since it has acknowledged
    /// nothing meanwhile either.
    #[must_use]
    pub fn on_unreachable(self, sample: &TcpSample, now_ms: u64) -> Option<PeerWatch<Observing>> {
        let verified_ms = now_ms.saturating_sub(self.state.started_ms);
        let is_cut_off = sample.awaits_peer() && sample.last_ack_age_ms >= verified_ms;
        (!is_cut_off).then(|| PeerWatch::start(now_ms))
    }
}
