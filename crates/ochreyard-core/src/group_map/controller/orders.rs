//! Which orders are due, by phase.

use super::{ChangePhase, MapController, newest_step};
use crate::group_map::{ArmedMap, Order, RankView, SentOrder};

impl MapController {
    /// The orders that are due in the present phase, as sent to each rank.
    pub(super) fn orders(&mut self, views: &[&RankView], now_ms: u64) -> Vec<(usize, SentOrder)> {
        if now_ms < self.next_sent_ms {
            return Vec::new();
        }
        let orders = self.due_orders(views);
        if orders.is_empty() {
            return Vec::new();
        }
        let is_slow = matches!(self.phase, ChangePhase::Preparing { .. } | ChangePhase::Undoing);
        self.next_sent_ms = if is_slow { now_ms + self.settings.resend_ms } else { now_ms };
        let sent = |(rank, order): (usize, Order)| {
            let view = views[rank];
            (rank, SentOrder { order, epoch: view.epoch, expected_sequence: view.sequence })
        };
        let sent: Vec<(usize, SentOrder)> = orders.into_iter().map(sent).collect();
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
                // A rank that still copies for a change which gave way takes the new one at once.
                let is_first = self.next_sent_ms == self.since_ms;
                let lacks =
                    |rank: &usize| views[*rank].prepared != Some(version) && (is_first || !views[*rank].is_busy);
                let map = target.sets();
                ranks.filter(lacks).map(|rank| (rank, Order::Prepare { version, map: map.to_vec() })).collect()
            }
            ChangePhase::Holding { step, rank, .. } | ChangePhase::Backing { step, rank } => {
                vec![(rank, Order::Hold { step })]
            }
            ChangePhase::Arming { version, step } => {
                let lacks = |rank: &usize| views[*rank].armed.is_none();
                ranks.filter(lacks).map(|rank| (rank, Order::Arm { version, step })).collect()
            }
            ChangePhase::Releasing => {
                let held = |rank: usize| views[rank].held.map(|step| (rank, Order::Go { step }));
                ranks.filter_map(held).collect()
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
        // A map that is due before our hold may come into use meanwhile: at all ranks or at none.
        let stands = newest_step(views) + 1 >= self.held_step;
        let is_held = |armed: ArmedMap| stands || armed.step.is_some_and(|step| step >= self.held_step);
        let order = |rank: usize| match views[rank].armed {
            Some(armed) => is_held(armed).then_some(Order::Disarm { version: armed.version }),
            // The present map copies nothing, and still counts as an order.
            None if self.unfenced[rank].is_some() => Some(Order::Prepare { version, map: map.clone()? }),
            None => None,
        };
        (0..views.len()).filter_map(|rank| Some((rank, order(rank)?))).collect()
    }
}
