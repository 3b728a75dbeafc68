//! The leader of one change.

use std::collections::{BTreeMap, BTreeSet};

use super::order::{Fence, OrderEnvelope, RankOrder, RankReply, RankView};

/// Times and distances of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchSettings {
    /// How far ahead of the newest known step the group is gated. Far enough,
    /// and the acknowledgements arrive before any rank is held.
    pub steps_ahead: u64,
    /// After how long an order without reply is sent again, in milliseconds.
    pub resend_ms: u64,
    /// After how long a phase that does not end is undone, in milliseconds.
    pub phase_timeout_ms: u64,
}

impl Default for SwitchSettings {
    fn default() -> Self {
        Self { steps_ahead: 16, resend_ms: 50, phase_timeout_ms: 1_000 }
    }
}

/// Where a change stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchPhase {
    /// Every rank is asked what it holds, which fences an earlier leader off.
    Inspect,
    /// Every rank gets the new map beside the old one.
    Stage,
    /// Every rank is gated at this step.
    Gate(u64),
    /// Every rank schedules the new map from this step on.
    Activate(u64),
    /// Every rank is released.
    Release,
    /// Every rank schedules the old map again from this step on.
    Restore(u64),
    /// Every rank is released with the old map.
    ReleaseWithoutSwitch,
    /// It is over.
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
    sent_ms: u64,
    number: u64,
    open: BTreeMap<Fence, u32>,
    acked: BTreeSet<u32>,
    views: BTreeMap<u32, RankView>,
}

impl MapSwitch {
    /// A change to `new_map` on `ranks` ranks by the holder of `token`.
    #[must_use]
    pub fn new(settings: SwitchSettings, token: u64, ranks: u32, new_map: u64, now_ms: u64) -> Self {
        Self { new_map: Some(new_map), ..Self::clean_up(settings, token, ranks, now_ms) }
    }

    /// Finishes or undoes what an earlier leader may have left, and no more.
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
            sent_ms: 0,
            number: 0,
            open: BTreeMap::new(),
            acked: BTreeSet::new(),
            views: BTreeMap::new(),
        }
    }

    /// Where it stands.
    #[must_use]
    pub const fn phase(&self) -> SwitchPhase {
        self.phase
    }

    /// How it ended, once it has.
    #[must_use]
    pub const fn outcome(&self) -> Option<SwitchOutcome> {
        match self.phase {
            SwitchPhase::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Sends the orders of the first phase.
    pub fn start(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        self.send_to_unacked(now_ms)
    }

    /// Time passes: orders without reply go out again; a phase that does not end is undone.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if now_ms.saturating_sub(self.phase_since_ms) >= self.settings.phase_timeout_ms {
            return self.on_timeout(now_ms);
        }
        if now_ms.saturating_sub(self.sent_ms) >= self.settings.resend_ms {
            return self.send_to_unacked(now_ms);
        }
        Vec::new()
    }

    /// Takes a rank's reply. A reply to an order of an earlier phase is dropped.
    pub fn on_reply(&mut self, reply: RankReply, now_ms: u64) -> Vec<OrderEnvelope> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if reply.highest.token() > self.token {
            self.phase = SwitchPhase::Finished(SwitchOutcome::Fenced);
            return Vec::new();
        }
        let is_open = self.open.get(&reply.order) == Some(&reply.rank);
        let overtaken = reply.highest > reply.order;
        if !is_open || overtaken {
            return Vec::new();
        }
        self.views.insert(reply.rank, reply.view);
        if !reply.done {
            return self.on_refusal(now_ms);
        }
        self.acked.insert(reply.rank);
        if self.acked.len() < self.ranks as usize {
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

    /// Cleans up after an earlier leader, or goes on if there is nothing to clean.
    fn after_inspection(&mut self) -> SwitchPhase {
        let Some(gate) = self.views.values().filter_map(|view| view.gate).max() else {
            self.old_map = self.views.values().next().map_or(0, |view| view.map_at(u64::MAX));
            return self.new_map.map_or(SwitchPhase::Finished(SwitchOutcome::Undone), |_| SwitchPhase::Stage);
        };
        let scheduled = |view: &RankView| view.step >= gate || view.schedule.contains_key(&gate);
        let with_new_map = self.views.values().filter(|view| scheduled(view)).count();
        let some_entered = self.views.values().any(|view| view.step >= gate);
        if with_new_map == self.ranks as usize || with_new_map == 0 || some_entered {
            // All agree on every step, so the gates can go.
            return SwitchPhase::ReleaseWithoutSwitch;
        }
        self.old_map = self.views.values().next().map_or(0, |view| view.map_at(gate - 1));
        SwitchPhase::Restore(gate)
    }

    /// Only a gate that came too late, or a step that was entered, is refused.
    fn on_refusal(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        match self.phase {
            SwitchPhase::Gate(_) => {
                let later = SwitchPhase::Gate(self.next_gate());
                let since_ms = self.phase_since_ms;
                let orders = self.enter(later, now_ms);
                // A later step does not prolong the phase, so that it ends.
                self.phase_since_ms = since_ms;
                orders
            }
            _ => self.on_timeout(now_ms),
        }
    }

    /// Far enough ahead, and behind every step for which a map is scheduled: that
    /// map must come into force first, so that there is one to go back to.
    fn next_gate(&self) -> u64 {
        let newest = self.views.values().map(|view| view.step).max().unwrap_or(0);
        let scheduled = self.views.values().filter_map(|view| view.schedule.keys().next_back()).max();
        (newest + self.settings.steps_ahead).max(scheduled.map_or(0, |step| step + 1))
    }

    fn on_timeout(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        let next = match self.phase {
            SwitchPhase::Stage => SwitchPhase::Finished(SwitchOutcome::Undone),
            SwitchPhase::Gate(_) => SwitchPhase::ReleaseWithoutSwitch,
            SwitchPhase::Activate(step) => SwitchPhase::Restore(step),
            // These must reach every rank, however long it takes.
            same => same,
        };
        self.enter(next, now_ms)
    }

    fn enter(&mut self, phase: SwitchPhase, now_ms: u64) -> Vec<OrderEnvelope> {
        self.phase = phase;
        self.phase_since_ms = now_ms;
        self.open.clear();
        self.acked.clear();
        self.send_to_unacked(now_ms)
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

    fn send_to_unacked(&mut self, now_ms: u64) -> Vec<OrderEnvelope> {
        self.sent_ms = now_ms;
        let Some(order) = self.order() else { return Vec::new() };
        let unacked: Vec<u32> = (0..self.ranks).filter(|rank| !self.acked.contains(rank)).collect();
        unacked
            .into_iter()
            .map(|rank| {
                self.number += 1;
                let fence = Fence::new(self.token, self.number);
                self.open.insert(fence, rank);
                OrderEnvelope { fence, rank, order }
            })
            .collect()
    }
}
