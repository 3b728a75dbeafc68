//! Keeps some places of an endpoint free for workspaces that use few of them.
//!
//! Turns alone give equal shares of work, but one that needs a place must wait
//! until another's run ends. So some places stay free for workspaces that are
//! active and have nothing waiting. Where all have work waiting, turns decide alone.

use std::collections::BTreeMap;

use super::fair_queue::FairQueue;
use crate::ids::WorkspaceId;

/// A workspace counts as active for this long after its last offer, in milliseconds.
const ACTIVE_MS: u64 = 10_000;
/// At most one of this many places is kept free.
const KEPT_FREE_DIVISOR: u32 = 4;

#[derive(Debug, Clone, Default)]
struct Usage {
    running: u32,
    last_offer_ms: u64,
}

/// Places in use, by workspace.
#[derive(Debug, Clone, Default)]
pub struct SlotShares {
    usage: BTreeMap<WorkspaceId, Usage>,
}

impl SlotShares {
    /// Notes that a workspace wants something.
    pub fn note_offer(&mut self, workspace: &WorkspaceId, now_ms: u64) {
        self.usage.entry(workspace.clone()).or_default().last_offer_ms = now_ms;
    }

    /// Notes that a workspace takes a place.
    pub fn note_start(&mut self, workspace: &WorkspaceId) {
        self.usage.entry(workspace.clone()).or_default().running += 1;
    }

    /// Notes that a workspace gives a place back.
    pub fn note_end(&mut self, workspace: &WorkspaceId) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Forgets workspaces that run nothing and have not been heard of lately.
    pub fn forget_idle(&mut self, now_ms: u64) {
        self.usage.retain(|_, usage| usage.running > 0 || usage.last_offer_ms + ACTIVE_MS > now_ms);
    }

    /// Whether a workspace may take one more of `slots` places: one is kept free
    /// for each other active workspace with nothing waiting, up to a quarter of all.
    #[must_use]
    pub fn may_start(&self, workspace: &WorkspaceId, slots: u32, queue: &FairQueue) -> bool {
        let others = self.usage.keys().filter(|other| *other != workspace && !queue.is_waiting(other)).count();
        let kept_free = u32::try_from(others).unwrap_or(u32::MAX).min(slots / KEPT_FREE_DIVISOR);
        self.usage.get(workspace).is_none_or(|usage| usage.running < slots - kept_free)
    }
}
