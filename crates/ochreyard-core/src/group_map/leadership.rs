//! A leader's side of the grants: see [`LeaderGrant`](super::Grant).

use std::collections::BTreeMap;

/// A leader's side: how long it may give orders.
#[derive(Debug, Clone)]
pub struct Leadership {
    lease_ms: u64,
    granted_until_ms: BTreeMap<usize, u64>,
}

impl Leadership {
    /// A leader that nobody has granted anything.
    #[must_use]
    pub const fn new(lease_ms: u64) -> Self {
        Self { lease_ms, granted_until_ms: BTreeMap::new() }
    }

    /// A rank's agent answered a question that was sent at `asked_ms`.
    pub fn on_answer(&mut self, rank: usize, granted: bool, asked_ms: u64) {
        if granted {
            self.granted_until_ms.insert(rank, asked_ms + self.lease_ms);
        } else {
            self.granted_until_ms.remove(&rank);
        }
    }

    /// Forgets all grants.
    pub fn clear(&mut self) {
        self.granted_until_ms.clear();
    }

    /// Whether more than half of `size` agents have granted it for at least `margin_ms` more.
    #[must_use]
    pub fn has_majority(&self, size: usize, now_ms: u64, margin_ms: u64) -> bool {
        let granted = self.granted_until_ms.iter().filter(|(rank, _)| **rank < size);
        granted.filter(|(_, until)| now_ms + margin_ms < **until).count() * 2 > size
    }
}
