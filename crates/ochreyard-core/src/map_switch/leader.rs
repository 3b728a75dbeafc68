//! The leader's side of one change.

use std::collections::{BTreeMap, BTreeSet};

use super::order::{Fence, OrderEnvelope, RankOrder, RankReply, RankView};

/// Timeouts and distances of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchSettings {
    /// Number of steps between the newest known step and the one at which the group is gated.
    /// If it is large enough, the acknowledgements arrive before a rank has to wait.
    pub steps_ahead: u64,
    /// Time after which an order without a reply is sent again, in milliseconds.
    pub resend_ms: u64,
    /// Time after which a phase that has not ended is undone, in milliseconds.
    pub phase_timeout_ms: u64,
}

impl Default for SwitchSettings {
    fn default() -> Self {
        Self { steps_ahead: 16, resend_ms: 50, phase_timeout_ms: 1_000 }
    }
}

/// The phase of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchPhase {
    /// Every rank reports its state, which fences off an earlier leader.
    Inspect,
    /// Every rank loads the new map in addition to the old one.
    Stage,
    /// Every rank is gated at this step.
    Gate(u64),
    /// Every rank schedules the new map from this step on.
    Activate(u64),
    /// Every rank is released, after the switch to the new map.
    Release,
    /// Every rank schedules the old map again from this step on.
    Restore(u64),
    /// Every rank is released, without a switch by this leader.
    ReleaseWithoutSwitch,
    /// The change has ended.
    Finished(SwitchOutcome),
}

/// How a change ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchOutcome {
    /// All ranks use the new map.
    Switched,
    /// All ranks use the map that they used before.
    Undone,
    /// A leader with a higher token has taken over.
    Fenced,
}

/// One change of the expert map, driven by replies and time.
#[derive(Debug, Clone)]
pub struct MapSwitch {
    settings: SwitchSettings,
    token: u64,
    ranks: u32,
    new_map: Option<u64>,
    old_map: u64,
    phase: SwitchPhase,
    phase_since_ms: u64,
    last_sent_ms: u64,
    last_order_number: u64,
    pending: BTreeMap<Fence, u32>,
    acked_ranks: BTreeSet<u32>,
    views: BTreeMap<u32, RankView>,
}

impl MapSwitch {
    /// Creates a change to `new_map` on `ranks` ranks by the holder of `token`.
    #[must_use]
    pub fn new(settings: SwitchSettings, token: u64, ranks: u32, new_map: u64, now_ms: u64) -> Self {
        Self { new_map: Some(new_map), ..Self::clean_up(settings, token, ranks, now_ms) }
    }

    /// Creates a run that only completes or undoes a change that an earlier leader may have left unfinished.
    #[must_use]
    pub const fn clean_up(settings: SwitchSettings, token: u64, ranks: u32, now_ms: u64) -> Self {
        Self {
            settings,
            token,
            ranks,
            new_map: None,
            old_map: 0,
            phase: SwitchPhase::Inspect,
            phase_since_ms: now_ms,
            last_sent_ms: 0,
            last_order_number: 0,
            pending: BTreeMap::new(),
            acked_ranks: BTreeSet::new(),
            views: BTreeMap::new(),
        }
    }

    /// The current phase.
    #[must_use]
    pub const fn phase(&self) -> SwitchPhase {
        self.phase
    }

    /// The outcome of the change, once it has ended.
    #[must_use]
    pub const fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            SwitchPhase::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the orders of the first phase.
    pub fn start(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        self.orders_to_unacked(now_ms)
    }

    /// Checks the timeouts: resends orders without a reply, and undoes a phase that has not ended in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if now_ms.saturating_sub(self.phase_since_ms) >= self.settings.phase_timeout_ms {
            return self.on_timeout(now_ms);
        }
        if now_ms.saturating_sub(self.last_sent_ms) >= self.settings.resend_ms {
            return self.orders_to_unacked(now_ms);
        }
        Vec::new()
    }

    /// Processes a rank's reply. A reply to an order of an earlier phase is ignored.
    pub fn on_reply(&mut self, reply: RankReply, now_ms: u64) -> Vec<OrderEnvelope> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if reply.highest.token() > self.token {
            self.phase = SwitchPhase::Finished(SwitchOutcome::Fenced);
            return Vec::new();
        }
        let is_pending = self.pending.get(&reply.order) == Some(&reply.rank);
        let is_superseded = reply.highest > reply.order;
        if !is_pending || is_superseded {
            return Vec::new();
        }
        self.views.insert(reply.rank, reply.view);
        if !reply.done {
            return self.on_refusal(now_ms);
        }
        self.acked_ranks.insert(reply.rank);
        if self.acked_ranks.len() < self.ranks as usize {
            return Vec::new();
        }
        let next = self.next_phase();
        self.enter(next, now_ms)
    }

    fn next_phase(&mut self) -> SwitchPhase {
        match self.phase {
            SwitchPhase::Inspect => self.after_inspection(),
            SwitchPhase::Stage => SwitchPhase::Gate(self.next_gate()),
            SwitchPhase::Gate(step) => SwitchPhase::Activate(step),
            SwitchPhase::Activate(_) => SwitchPhase::Release,
            SwitchPhase::Release => SwitchPhase::Finished(SwitchOutcome::Switched),
            SwitchPhase::Restore(_) => SwitchPhase::ReleaseWithoutSwitch,
            SwitchPhase::ReleaseWithoutSwitch => SwitchPhase::Finished(SwitchOutcome::Undone),
            SwitchPhase::Finished(outcome) => SwitchPhase::Finished(outcome),
        }
    }

    /// Determines the phase after the inspection: cleaning up after an earlier leader if necessary, else staging.
    fn after_inspection(&mut self) -> SwitchPhase {
        let Some(gate) = self.views.values().filter_map(|view| view.gate).max() else {
            self.old_map = self.views.values().next().map_or(0, |view| view.map_at(u64::MAX));
            return self.new_map.map_or(SwitchPhase::Finished(SwitchOutcome::Undone), |_| SwitchPhase::Stage);
        };
        let has_new_map = |view: &RankView| view.step >= gate || view.schedule.contains_key(&gate);
        let with_new_map = self.views.values().filter(|view| has_new_map(view)).count();
        let some_entered = self.views.values().any(|view| view.step >= gate);
        if with_new_map == self.ranks as usize || with_new_map == 0 || some_entered {
            // All ranks agree on the map of every step, so the gates can be removed.
            return SwitchPhase::ReleaseWithoutSwitch;
        }
        self.old_map = self.views.values().next().map_or(0, |view| view.map_at(gate - 1));
        SwitchPhase::Restore(gate)
    }

    /// Handles a refusal: a rank refuses only a gate that comes too late or a map for a step that it has entered.
    fn on_refusal(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        match self.phase {
            SwitchPhase::Gate(_) => {
                let later_gate = SwitchPhase::Gate(self.next_gate());
                let phase_start_ms = self.phase_since_ms;
                let orders = self.enter(later_gate, now_ms);
                // A later gate does not restart the timeout, so that the phase ends.
                self.phase_since_ms = phase_start_ms;
                orders
            }
            _ => self.on_timeout(now_ms),
        }
    }

    /// The step of the next gate: far enough ahead, and after every step for which a map is
    /// scheduled. That map must take effect first, so that there is a map to restore.
    fn next_gate(&self) -> u64 {
        let newest_step = self.views.values().map(|view| view.step).max().unwrap_or(0);
        let last_scheduled = self.views.values().filter_map(|view| view.schedule.keys().next_back()).max();
        (newest_step + self.settings.steps_ahead).max(last_scheduled.map_or(0, |step| step + 1))
    }

    fn on_timeout(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        let next = match self.phase {
            SwitchPhase::Stage => SwitchPhase::Finished(SwitchOutcome::Undone),
            SwitchPhase::Gate(_) => SwitchPhase::ReleaseWithoutSwitch,
            SwitchPhase::Activate(step) => SwitchPhase::Restore(step),
            // The orders of these phases must reach every rank, however long it takes.
            same => same,
        };
        self.enter(next, now_ms)
    }

    fn enter(&mut self, phase: SwitchPhase, now_ms: u64) -> Vec<OrderEnvelope> {
        self.phase = phase;
        self.phase_since_ms = now_ms;
        self.pending.clear();
        self.acked_ranks.clear();
        self.orders_to_unacked(now_ms)
    }

    fn order(&self) -> Option<RankOrder> {
        match self.phase {
            SwitchPhase::Inspect => Some(RankOrder::Inspect),
            SwitchPhase::Stage => self.new_map.map(|map| RankOrder::Stage { map }),
            SwitchPhase::Gate(step) => Some(RankOrder::Gate { step }),
            SwitchPhase::Activate(from_step) => self.new_map.map(|map| RankOrder::Activate { map, from_step }),
            SwitchPhase::Restore(from_step) => Some(RankOrder::Activate { map: self.old_map, from_step }),
            SwitchPhase::Release | SwitchPhase::ReleaseWithoutSwitch => Some(RankOrder::Release),
            SwitchPhase::Finished(_) => None,
        }
    }

    fn orders_to_unacked(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        self.last_sent_ms = now_ms;
        let Some(order) = self.order() else { return Vec::new() };
        let unacked: Vec<u32> = (0..self.ranks).filter(|rank| !self.acked_ranks.contains(rank)).collect();
        unacked
            .into_iter()
            .map(|rank| {
                self.last_order_number += 1;
                let fence = Fence::new(self.token, self.last_order_number);
                self.pending.insert(fence, rank);
                OrderEnvelope { fence, rank, order }
            })
            .collect()
    }
}
