//! The behaviour that a rank guarantees: the model that engines must implement.

use super::order::{Fence, OrderEnvelope, RankOrder, RankReply, RankView};

/// One rank of a group.
#[derive(Debug, Clone, Default)]
pub struct Rank {
    highest: Fence,
    staged: Option<u64>,
    view: RankView,
}

impl Rank {
    /// Creates a rank that uses `map` from the start.
    #[must_use]
    pub fn new(map: u64) -> Self {
        let view = RankView { schedule: [(0, map)].into(), ..RankView::default() };
        Self { highest: Fence::default(), staged: None, view }
    }

    /// The state of the rank.
    #[must_use]
    pub const fn view(&self) -> &RankView {
        &self.view
    }

    /// The highest fence that the rank has seen.
    #[must_use]
    pub const fn highest(&self) -> Fence {
        self.highest
    }

    /// Carries out an order and returns the reply. An order with a lower fence than the highest seen is refused.
    pub fn on_order(&mut self, envelope: &OrderEnvelope) -> RankReply {
        let is_superseded = envelope.fence < self.highest;
        let done = !is_superseded && self.carry_out(envelope.order);
        self.highest = self.highest.max(envelope.fence);
        RankReply { rank: envelope.rank, order: envelope.fence, done, highest: self.highest, view: self.view.clone() }
    }

    fn carry_out(&mut self, order: RankOrder) -> bool {
        match order {
            RankOrder::Inspect => true,
            RankOrder::Stage { map } => {
                self.staged = Some(map);
                true
            }
            RankOrder::Gate { step } if step <= self.view.step => false,
            RankOrder::Gate { step } => {
                self.view.gate = Some(step);
                true
            }
            RankOrder::Activate { map, from_step } => self.activate(map, from_step),
            RankOrder::Release => {
                self.view.gate = None;
                true
            }
        }
    }

    /// Schedules a map. Refuses a map that the rank does not hold, and a step that it has entered.
    fn activate(&mut self, map: u64, from_step: u64) -> bool {
        let is_held = self.staged == Some(map) || self.view.schedule.values().any(|scheduled| *scheduled == map);
        if !is_held || from_step <= self.view.step {
            return false;
        }
        self.view.schedule.split_off(&from_step);
        if self.view.map_at(from_step) != map {
            self.view.schedule.insert(from_step, map);
        }
        true
    }

    /// Whether this rank's gate lets it enter `step`.
    #[must_use]
    pub fn may_enter(&self, step: u64) -> bool {
        self.view.gate.is_none_or(|gate| step < gate)
    }

    /// Enters `step` and returns the number of the map that the rank uses in it.
    pub fn enter(&mut self, step: u64) -> u64 {
        self.view.step = step;
        let map = self.view.map_at(step);
        self.view.schedule.retain(|from, _| *from > step);
        self.view.schedule.insert(0, map);
        map
    }
}
