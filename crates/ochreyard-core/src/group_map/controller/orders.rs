//! The orders that are due in each phase.

use super::{ChangePhase, MapController, newest_step};
use crate::group_map::{ArmedMap, Order, RankView, SentOrder};

impl MapController {
    /// Returns the orders that are due in the current phase, with the rank of each.
    pub(super) fn orders(&mut self, views: &[&RankView], now_ms: u64) -> Vec<(usize, SentOrder)> {
        if now_ms < self.next_send_ms {
            return Vec::new();
        }
        let orders = self.due_orders(views);
        if orders.is_empty() {
            return Vec::new();
        }
        self.next_send_ms = now_ms
            + match self.phase {
                ChangePhase::Preparing { .. } => self.settings.prepare_resend_ms,
                ChangePhase::Undoing => self.settings.resend_ms,
                _ => 0,
            };
        let to_sent_order = |(rank, order): (usize, Order)| {
            let view = views[rank];
            (rank, SentOrder { order, epoch: view.epoch, expected_sequence: view.sequence })
        };
        let sent: Vec<(usize, SentOrder)> = orders.into_iter().map(to_sent_order).collect();
        for (rank, sent) in &sent {
            if let Order::Arm { version, .. } = sent.order {
                self.unfenced[*rank] = Some(version);
            }
        }
        sent
    }

    fn due_orders(&mut self, views: &[&RankView]) -> Vec<(usize, Order)> {
        let ranks = 0..views.len();
        match self.phase.clone() {
            ChangePhase::Idle => Vec::new(),
            ChangePhase::Preparing { version } => {
                let Some(target) = &self.target else { return Vec::new() };
                // A rank that is still copying for a replaced change is sent the new order at once.
                let is_first = self.next_send_ms == self.phase_since_ms;
                let needs_order =
                    |rank: &usize| views[*rank].prepared != Some(version) && (is_first || !views[*rank].is_busy);
                let map = target.sets();
                ranks.filter(needs_order).map(|rank| (rank, Order::Prepare { version, map: map.to_vec() })).collect()
            }
            ChangePhase::Holding { step, rank, .. } | ChangePhase::Backing { step, rank } => {
                vec![(rank, Order::Hold { step })]
            }
            ChangePhase::Arming { version, step } => {
                let needs_order = |rank: &usize| views[*rank].armed.is_none();
                ranks.filter(needs_order).map(|rank| (rank, Order::Arm { version, step })).collect()
            }
            ChangePhase::Releasing => {
                let release_order = |rank: usize| views[rank].held.map(|step| (rank, Order::Go { step }));
                ranks.filter_map(release_order).collect()
            }
            ChangePhase::Undoing => self.undoing_orders(views),
        }
    }

    fn undoing_orders(&mut self, views: &[&RankView]) -> Vec<(usize, Order)> {
        if self.is_undone(views) {
            return Vec::new();
        }
        let version = self.next_version();
        let map = self.current_map.as_ref().map(|(_, placement)| placement.sets().to_vec());
        // A map that is armed for a step before our hold may take effect meanwhile, at all ranks or at none.
        let has_reached_hold = newest_step(views) + 1 >= self.held_step;
        let is_behind_hold =
            |armed: ArmedMap| has_reached_hold || armed.step.is_some_and(|step| step >= self.held_step);
        let order = |rank: usize| match views[rank].armed {
            Some(armed) => is_behind_hold(armed).then_some(Order::Disarm { version: armed.version }),
            // Preparing the current map copies nothing but still voids late arm orders.
            None if self.unfenced[rank].is_some() => Some(Order::Prepare { version, map: map.clone()? }),
            None => None,
        };
        (0..views.len()).filter_map(|rank| Some((rank, order(rank)?))).collect()
    }
}
