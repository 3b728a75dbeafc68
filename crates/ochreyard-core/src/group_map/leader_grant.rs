//! Which leader may give orders to a group: the one that a majority of its agents has granted this.
//!
//! A grant is a lease that each request of its holder renews. An agent that has just started
//! may have granted a lease in an earlier incarnation, so it grants nothing until such a lease
//! has expired. All times are those of a monotonic clock.

use super::leader_id::LeaderId;

/// The lease that one agent grants to the leader whose orders it accepts.
#[derive(Debug, Clone)]
pub struct LeaderGrant {
    lease_ms: u64,
    startup_delay_until_ms: u64,
    holder: Option<LeaderId>,
    expires_ms: u64,
}

impl LeaderGrant {
    /// Creates the grant of an agent that starts now and grants nothing for `lease_ms`.
    #[must_use]
    pub const fn new(lease_ms: u64, now_ms: u64) -> Self {
        Self { lease_ms, startup_delay_until_ms: now_ms + lease_ms, holder: None, expires_ms: 0 }
    }

    /// Grants or renews the lease for `lease_ms`. Refuses if another leader holds it, if the
    /// agent is in its startup delay, or if `lease_ms` is longer than that delay.
    pub fn try_grant(&mut self, leader: &LeaderId, lease_ms: u64, now_ms: u64) -> bool {
        let is_held_by_other = self.holder(now_ms).is_some_and(|holder| holder != leader);
        if self.is_in_startup_delay(now_ms) || is_held_by_other || lease_ms > self.lease_ms {
            return false;
        }
        self.holder = Some(*leader);
        self.expires_ms = now_ms + lease_ms;
        true
    }

    /// Ends the lease if `leader` holds it.
    pub fn release(&mut self, leader: &LeaderId) {
        if self.holder.as_ref() == Some(leader) {
            self.holder = None;
        }
    }

    /// The leader that holds the lease at `now_ms`.
    #[must_use]
    pub fn holder(&self, now_ms: u64) -> Option<&LeaderId> {
        self.holder.as_ref().filter(|_| now_ms < self.expires_ms)
    }

    /// Whether the agent started so recently that it does not grant a lease yet.
    #[must_use]
    pub const fn is_in_startup_delay(&self, now_ms: u64) -> bool {
        now_ms < self.startup_delay_until_ms
    }
}
