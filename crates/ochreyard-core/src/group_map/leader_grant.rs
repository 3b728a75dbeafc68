//! Who may give orders to a group: whom most of its agents have granted it.
//!
//! A grant lasts for a while after each word of its holder. An agent that has
//! just started may have granted it in an earlier life, so it grants nothing
//! until that has run out. Times are those of a steady clock.

use super::leader_id::LeaderId;

/// An agent's side: whom it obeys.
#[derive(Debug, Clone)]
pub struct LeaderGrant {
    lease_ms: u64,
    quiet_until_ms: u64,
    holder: Option<LeaderId>,
    until_ms: u64,
}

impl LeaderGrant {
    /// The grant of an agent that starts now.
    #[must_use]
    pub const fn new(lease_ms: u64, now_ms: u64) -> Self {
        Self { lease_ms, quiet_until_ms: now_ms + lease_ms, holder: None, until_ms: 0 }
    }

    /// Grants or renews for `lease_ms`, unless another one holds it, or that is longer than
    /// this agent keeps quiet after its start.
    pub fn try_grant(&mut self, leader: &LeaderId, lease_ms: u64, now_ms: u64) -> bool {
        let is_led_by_other = self.holder(now_ms).is_some_and(|holder| holder != leader);
        if self.is_in_startup_delay(now_ms) || is_led_by_other || lease_ms > self.lease_ms {
            return false;
        }
        self.holder = Some(*leader);
        self.until_ms = now_ms + lease_ms;
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
    pub const fn is_in_startup_delay(&self, now_ms: u64) -> bool {
        now_ms < self.quiet_until_ms
    }
}
