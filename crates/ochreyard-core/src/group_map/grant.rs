//! Who may give orders to a group: whom most of its agents have granted it.
//!
//! A grant lasts for a while after each word of its holder. An agent that has
//! just started may have granted it in an earlier life, so it grants nothing
//! until that has run out. Times are those of a steady clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One life of one agent, as a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord)]
pub struct LeaderId {
    /// Its rank: of two that ask at once, the lower one goes on.
    pub rank: usize,
    /// A number that no other life has.
    pub life: u64,
}

/// An agent's side: whom it obeys.
#[derive(Debug, Clone)]
pub struct Grant {
    lease_ms: u64,
    quiet_until_ms: u64,
    holder: Option<LeaderId>,
    until_ms: u64,
}

impl Grant {
    /// The grant of an agent that starts now.
    #[must_use]
    pub const fn new(lease_ms: u64, now_ms: u64) -> Self {
        Self { lease_ms, quiet_until_ms: now_ms + lease_ms, holder: None, until_ms: 0 }
    }

    /// Grants or renews, unless another one holds it.
    pub fn ask(&mut self, leader: &LeaderId, now_ms: u64) -> bool {
        if now_ms < self.quiet_until_ms || self.holder(now_ms).is_some_and(|holder| holder != leader) {
            return false;
        }
        self.holder = Some(leader.clone());
        self.until_ms = now_ms + self.lease_ms;
        true
    }

    /// Gives back what `leader` was granted.
    pub fn release(&mut self, leader: &LeaderId) {
        if self.holder.as_ref() == Some(leader) {
            self.holder = None;
        }
    }

    /// Who holds it now.
    #[must_use]
    pub fn holder(&self, now_ms: u64) -> Option<&LeaderId> {
        self.holder.as_ref().filter(|_| now_ms < self.until_ms)
    }

    /// Whether an agent that has just started still keeps quiet.
    #[must_use]
    pub const fn is_quiet(&self, now_ms: u64) -> bool {
        now_ms < self.quiet_until_ms
    }
}

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
    pub fn holds(&self, size: usize, now_ms: u64, margin_ms: u64) -> bool {
        let granted = self.granted_until_ms.iter().filter(|(rank, _)| **rank < size);
        granted.filter(|(_, until)| now_ms + margin_ms < **until).count() * 2 > size
    }
}
