//! The time until which the platform wants no call.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The time until which the platform wants no call, shared by all clones of a client.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    until: Arc<Mutex<Option<Instant>>>,
}

impl Backoff {
    /// The platform wants no call for so long. A shorter time takes nothing back.
    pub fn ask(&self, wait: Duration) {
        let until = Instant::now() + wait;
        let mut known = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(known.map_or(until, |known| known.max(until)));
    }

    /// How much longer it wants none, in milliseconds; `None` if it wants some.
    pub fn left_ms(&self) -> Option<u64> {
        let until = (*self.until.lock().unwrap_or_else(PoisonError::into_inner))?;
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1))
    }
}
