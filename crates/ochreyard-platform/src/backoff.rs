//! The backoff that the platform requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The time until which the platform must not be called, shared by all clones of a client.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    until: Arc<Mutex<Option<Instant>>>,
}

impl Backoff {
    /// Holds back calls for `wait` from now on. A shorter wait does not shorten one that is in force.
    pub fn extend(&self, wait: Duration) {
        let until = Instant::now() + wait;
        let mut in_force = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        *in_force = Some(in_force.map_or(until, |in_force| in_force.max(until)));
    }

    /// Returns how much longer calls are held back, in milliseconds, or `None` if the platform may be called.
    pub fn remaining_ms(&self) -> Option<u64> {
        let until = (*self.until.lock().unwrap_or_else(PoisonError::into_inner))?;
        let remaining = until.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())?;
        Some(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1))
    }
}
