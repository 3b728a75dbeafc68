//! A queue of offers that shares capacity between workspaces by deficit round robin.

use std::collections::{BTreeMap, VecDeque};

use super::offer::Offer;
use crate::error_kind::ErrorKind;
use crate::ids::{AttemptId, WorkspaceId};

/// Work that a workspace may start in one round, in units of [`Offer::cost`].
const QUANTUM_COST: i64 = 64;

/// Bound on the debt or credit that a workspace carries over from runs whose cost was mispredicted.
const MAX_DEBT_COST: i64 = 64 * QUANTUM_COST;

/// An offer in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedOffer {
    /// The queued offer.
    pub offer: Offer,
    /// Time from which it is too late to start, in milliseconds.
    pub deadline_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct Lane {
    queued: VecDeque<QueuedOffer>,
    deficit: i64,
}

/// Queued offers, with a lane for each workspace.
#[derive(Debug, Clone)]
pub struct FairQueue {
    lanes: BTreeMap<WorkspaceId, Lane>,
    /// Workspaces with queued offers, in the order of their turns.
    round: VecDeque<WorkspaceId>,
    /// Whether the workspace at the front of `round` has received its quantum for this turn.
    front_was_credited: bool,
    len: usize,
    limit: usize,
    limit_per_workspace: usize,
}

impl FairQueue {
    /// Creates an empty queue for at most `limit` offers in all and `limit_per_workspace` of each workspace.
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

    /// The number of queued offers.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no offer is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Checks whether another offer of this workspace may be queued.
    ///
    /// # Errors
    ///
    /// The kind of refusal, if a limit is reached.
    pub fn check_capacity(&self, workspace: &WorkspaceId) -> Result<(), ErrorKind> {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.queued.len());
        if own >= self.limit_per_workspace {
            return Err(ErrorKind::WorkspaceOverLimit);
        }
        if self.len >= self.limit {
            return Err(ErrorKind::Overloaded);
        }
        Ok(())
    }

    /// Appends an offer to the lane of its workspace.
    pub fn push(&mut self, queued: QueuedOffer) {
        let workspace = queued.offer.workspace.clone();
        let lane = self.lanes.entry(workspace.clone()).or_default();
        if lane.queued.is_empty() {
            self.round.push_back(workspace);
        }
        lane.queued.push_back(queued);
        self.len += 1;
    }

    /// Removes and returns the offer whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedOffer> {
        loop {
            let workspace = self.round.front()?.clone();
            let lane = self.lanes.get_mut(&workspace)?;
            if !self.front_was_credited {
                lane.deficit += QUANTUM_COST;
                self.front_was_credited = true;
            }
            let cost = lane.queued.front().map_or(0, |w| signed(w.offer.cost));
            if cost <= lane.deficit {
                lane.deficit -= cost;
                let queued = lane.queued.pop_front();
                self.len -= 1;
                self.close_if_empty(&workspace);
                return queued;
            }
            self.round.rotate_left(1);
            self.front_was_credited = false;
        }
    }

    /// Charges a workspace the difference between the predicted and the actual cost of a run.
    pub fn settle_cost(&mut self, workspace: &WorkspaceId, predicted_cost: u64, actual_cost: u64) {
        let Some(lane) = self.lanes.get_mut(workspace) else { return };
        lane.deficit =
            (lane.deficit + signed(predicted_cost) - signed(actual_cost)).clamp(-MAX_DEBT_COST, MAX_DEBT_COST);
    }

    /// Removes the offer of one attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedOffer> {
        let is_attempt = |w: &QueuedOffer| w.offer.attempt == attempt;
        let workspace = self.lanes.iter().find(|(_, lane)| lane.queued.iter().any(is_attempt))?.0.clone();
        let lane = self.lanes.get_mut(&workspace)?;
        let at = lane.queued.iter().position(is_attempt)?;
        let queued = lane.queued.remove(at);
        self.len -= 1;
        self.close_if_empty(&workspace);
        queued
    }

    /// Removes all offers whose deadline has passed.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<QueuedOffer> {
        let expired: Vec<AttemptId> = self
            .lanes
            .values()
            .flat_map(|lane| &lane.queued)
            .filter(|w| w.deadline_ms <= now_ms)
            .map(|w| w.offer.attempt)
            .collect();
        expired.into_iter().filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// Removes all offers, lane by lane.
    pub fn take_all(&mut self) -> Vec<QueuedOffer> {
        self.round.clear();
        self.front_was_credited = false;
        self.len = 0;
        self.lanes.values_mut().flat_map(|lane| std::mem::take(&mut lane.queued)).collect()
    }

    /// Ends the turn of a workspace without queued offers. It keeps its debt, but accumulates no credit.
    fn close_if_empty(&mut self, workspace: &WorkspaceId) {
        let Some(lane) = self.lanes.get_mut(workspace) else { return };
        if !lane.queued.is_empty() {
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
