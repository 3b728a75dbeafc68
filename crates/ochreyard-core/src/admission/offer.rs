//! An attempt that an entry offers to an agent, and the outcome of the attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key_store::{KeyId, StoredAnswer};
use crate::error_kind::RunStatus;
use crate::ids::{AttemptId, Incarnation, ServiceId, WorkspaceId};

/// The caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: String,
    /// Hash of the request, which shows that the same key was used for another request.
    pub fingerprint: u64,
}

/// An attempt that an entry offers to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The identifier of the attempt.
    pub attempt: AttemptId,
    /// The incarnation of the agent that the offer is addressed to.
    #[serde(rename = "to")]
    pub agent_incarnation: Incarnation,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The caller's idempotency key, for a request that is not repeatable.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Predicted cost, in tokens or calls.
    pub cost: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Offer {
    /// Creates an offer of a repeatable request with a cost of 1 and 60 s until the deadline.
    #[must_use]
    pub fn new(
        attempt: AttemptId,
        agent_incarnation: Incarnation,
        workspace: impl Into<WorkspaceId>,
        service: impl Into<ServiceId>,
    ) -> Self {
        Self {
            attempt,
            agent_incarnation,
            workspace: workspace.into(),
            service: service.into(),
            key: None,
            repeatable: true,
            cost: 1,
            remaining_ms: 60_000,
        }
    }

    /// Makes the request non-repeatable, with an idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: impl Into<String>, fingerprint: u64) -> Self {
        self.key = Some(IdempotencyKey { key: key.into(), fingerprint });
        self.repeatable = false;
        self
    }

    /// Sets the predicted cost.
    #[must_use]
    pub const fn with_cost(mut self, cost: u64) -> Self {
        self.cost = cost;
        self
    }

    /// Sets the time until the deadline.
    #[must_use]
    pub const fn with_remaining_ms(mut self, remaining_ms: u64) -> Self {
        self.remaining_ms = remaining_ms;
        self
    }

    /// The idempotency key with its workspace and service.
    #[must_use]
    pub fn key_id(&self) -> Option<KeyId> {
        let key = self.key.as_ref()?;
        Some(KeyId { workspace: self.workspace.clone(), service: self.service.clone(), key: key.key.clone() })
    }
}

/// How a started attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// What is known about whether the request ran.
    pub run: RunStatus,
    /// Actual cost, in the unit of [`Offer::cost`].
    pub cost: u64,
    /// The complete answer, if it is small enough to store.
    pub answer: Option<Arc<StoredAnswer>>,
}

impl Outcome {
    /// Creates the outcome of an attempt that ran, at this cost.
    #[must_use]
    pub const fn ran(cost: u64) -> Self {
        Self { run: RunStatus::Ran, cost, answer: None }
    }

    /// Creates the outcome of an attempt that may have run.
    #[must_use]
    pub const fn may_have_run(cost: u64) -> Self {
        Self { run: RunStatus::MayHaveRun, cost, answer: None }
    }

    /// Creates the outcome of an attempt that never reached the endpoint.
    #[must_use]
    pub const fn not_run() -> Self {
        Self { run: RunStatus::NotRun, cost: 0, answer: None }
    }

    /// Sets the answer to store.
    #[must_use]
    pub fn with_answer(mut self, answer: Arc<StoredAnswer>) -> Self {
        self.answer = Some(answer);
        self
    }
}
