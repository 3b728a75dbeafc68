//! Deficit round robin over workspaces.

use std::collections::{BTreeMap, VecDeque};

use super::offer::Offer;
use crate::error_kind::ErrorKind;
use crate::ids::{AttemptId, WorkspaceId};

/// Work that a workspace may start in one round, in units of cost.
const QUANTUM: i64 = 64;

/// Largest debt that a workspace carries from runs that took more than predicted.
const MAX_DEBT: i64 = 64 * QUANTUM;

/// An offer that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedOffer {
    /// The offer.
    pub offer: Offer,
    /// When it is too late to start, in milliseconds.
    pub deadline_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Lane {
    waiting: VecDeque<QueuedOffer>,
    deficit: i64,
}

/// Waiting offers, each workspace in its own lane.
#[derive(Debug, Clone)]
pub struct FairQueue {
    lanes: BTreeMap<WorkspaceId, Lane>,
    round: VecDeque<WorkspaceId>,
    front_was_credited: bool,
    len: usize,
    limit: usize,
    limit_per_workspace: usize,
}

impl FairQueue {
    /// An empty queue with room for `limit` offers, `limit_per_workspace` of each workspace.
    #[must_use]
    pub const fn new(limit: usize, limit_per_workspace: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            round: VecDeque::new(),
            front_was_credited: false,
            len: 0,
            limit,
            limit_per_workspace,
        }
    }

    /// How many wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether another offer of this workspace may wait.
    ///
    /// # Errors
    ///
    /// The kind of refusal.
    pub fn check_room(&self, workspace: &WorkspaceId) -> Result<(), ErrorKind> {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.waiting.len());
        if own >= self.limit_per_workspace {
            return Err(ErrorKind::WorkspaceOverLimit);
        }
        if self.len >= self.limit {
            return Err(ErrorKind::Overloaded);
        }
        Ok(())
    }

    /// Adds an offer.
    pub fn push(&mut self, waiting: QueuedOffer) {
        let workspace = waiting.offer.workspace.clone();
        let lane = self.lanes.entry(workspace.clone()).or_default();
        if lane.waiting.is_empty() {
            self.round.push_back(workspace);
        }
        lane.waiting.push_back(waiting);
        self.len += 1;
    }

    /// Takes the offer whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedOffer> {
        loop {
            let workspace = self.round.front()?.clone();
            let lane = self.lanes.get_mut(&workspace)?;
            if !self.front_was_credited {
                lane.deficit += QUANTUM;
                self.front_was_credited = true;
            }
            let cost = lane.waiting.front().map_or(0, |w| signed(w.offer.cost));
            if cost <= lane.deficit {
                lane.deficit -= cost;
                let waiting = lane.waiting.pop_front();
                self.len -= 1;
                self.close_if_empty(&workspace);
                return waiting;
            }
            self.round.rotate_left(1);
            self.front_was_credited = false;
        }
    }

    /// Charges a workspace the difference between predicted and real work.
    pub fn settle_cost(&mut self, workspace: &WorkspaceId, predicted: u64, real: u64) {
        let Some(lane) = self.lanes.get_mut(workspace) else { return };
        lane.deficit = (lane.deficit + signed(predicted) - signed(real)).clamp(-MAX_DEBT, MAX_DEBT);
    }

    /// Takes out one offer.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedOffer> {
        let is_it = |w: &QueuedOffer| w.offer.attempt == attempt;
        let workspace = self.lanes.iter().find(|(_, lane)| lane.waiting.iter().any(is_it))?.0.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        let at = lane.waiting.iter().position(is_it)?;
        let waiting = lane.waiting.remove(at);
        self.len -= 1;
        self.close_if_empty(&workspace);
        waiting
    }

    /// Takes out all offers whose deadline has passed.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<QueuedOffer> {
        let late: Vec<AttemptId> = self
            .lanes
            .values()
            .flat_map(|lane| &lane.waiting)
            .filter(|w| w.deadline_ms <= now_ms)
            .map(|w| w.offer.attempt)
            .collect();
        late.into_iter().filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// Takes out all offers, lane by lane.
    pub fn take_all(&mut self) -> Vec<QueuedOffer> {
        self.round.clear();
        self.front_was_credited = false;
        self.len = 0;
        self.lanes.values_mut().flat_map(|lane| std::mem::take(&mut lane.waiting)).collect()
    }

    /// A workspace with nothing waiting keeps its debt, but saves up no credit.
    fn close_if_empty(&mut self, workspace: &WorkspaceId) {
        let Some(lane) = self.lanes.get_mut(workspace) else { return };
        if !lane.waiting.is_empty() {
            return;
        }
        lane.deficit = lane.deficit.min(0);
        if self.round.front() == Some(workspace) {
            self.front_was_credited = false;
        }
        self.round.retain(|other| other != workspace);
    }
}

fn signed(cost: u64) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX / 4)
}
