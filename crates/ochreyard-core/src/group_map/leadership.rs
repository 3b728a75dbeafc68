//! The grants that a leader has received: see [`LeaderGrant`](super::LeaderGrant).

use std::collections::BTreeMap;

/// Until when each rank's agent lets this leader give orders.
#[derive(Debug, Clone)]
pub struct Leadership {
    lease_ms: u64,
    granted_until_ms: BTreeMap<usize, u64>,
}

impl Leadership {
    /// Creates the state of a leader that holds no grant.
    #[must_use]
    pub const fn new(lease_ms: u64) -> Self {
        Self { lease_ms, granted_until_ms: BTreeMap::new() }
    }

    /// Records the answer of a rank's agent to a request that was sent at `sent_ms`.
    pub fn on_answer(&mut self, rank: usize, granted: bool, sent_ms: u64) {
        if granted {
            self.granted_until_ms.insert(rank, sent_ms + self.lease_ms);
        } else {
            self.granted_until_ms.remove(&rank);
        }
    }

    /// Drops all grants.
    pub fn clear(&mut self) {
        self.granted_until_ms.clear();
    }

    /// Whether more than half of `size` agents have granted the leadership for at least another `margin_ms`.
    #[must_use]
    pub fn has_majority(&self, size: usize, now_ms: u64, margin_ms: u64) -> bool {
        let granted = self.granted_until_ms.iter().filter(|(rank, _)| **rank < size);
        granted.filter(|(_, until_ms)| now_ms + margin_ms < **until_ms).count() * 2 > size
    }
}
