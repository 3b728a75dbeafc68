//! What an entry offers to an agent, and how it ends.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key_store::{KeyId, StoredAnswer};
use crate::error_kind::RunStatus;
use crate::ids::{AttemptId, Incarnation, ServiceId, WorkspaceId};

/// The caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The key as the caller wrote it.
    pub key: String,
    /// Hash of the request, to notice the same key on another request.
    pub fingerprint: u64,
}

/// One attempt that an entry offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Its identifier.
    pub attempt: AttemptId,
    /// The life of the agent that is meant.
    #[serde(rename = "to")]
    pub agent_incarnation: Incarnation,
    /// The workspace that pays for it.
    pub workspace: WorkspaceId,
    /// The service that is meant.
    pub service: ServiceId,
    /// The caller's key, for a request that is not repeatable.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Predicted work, in tokens or calls.
    pub cost: u64,
    /// Time that is left to the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Offer {
    /// A repeatable offer with one unit of work and a minute's time.
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

    /// Makes it a request that is not repeatable, under a key.
    #[must_use]
    pub fn with_key(mut self, key: impl Into<String>, fingerprint: u64) -> Self {
        self.key = Some(IdempotencyKey { key: key.into(), fingerprint });
        self.repeatable = false;
        self
    }

    /// Sets the predicted work.
    #[must_use]
    pub const fn with_cost(mut self, cost: u64) -> Self {
        self.cost = cost;
        self
    }

    /// Sets the time that is left.
    #[must_use]
    pub const fn with_remaining_ms(mut self, remaining_ms: u64) -> Self {
        self.remaining_ms = remaining_ms;
        self
    }

    /// The key within its workspace and service.
    #[must_use]
    pub fn key_id(&self) -> Option<KeyId> {
        let key = self.key.as_ref()?;
        Some(KeyId { workspace: self.workspace.clone(), service: self.service.clone(), key: key.key.clone() })
    }
}

/// How a started attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// What is known about the run.
    pub run: RunStatus,
    /// The work that it took, in the unit of [`Offer::cost`].
    pub cost: u64,
    /// The whole answer, if it is small enough to keep.
    pub answer: Option<Arc<StoredAnswer>>,
}

impl Outcome {
    /// An attempt that ran and took `cost`.
    #[must_use]
    pub const fn ran(cost: u64) -> Self {
        Self { run: RunStatus::Ran, cost, answer: None }
    }

    /// An attempt that may have run.
    #[must_use]
    pub const fn may_have_run(cost: u64) -> Self {
        Self { run: RunStatus::MayHaveRun, cost, answer: None }
    }

    /// An attempt that never reached the endpoint.
    #[must_use]
    pub const fn not_run() -> Self {
        Self { run: RunStatus::NotRun, cost: 0, answer: None }
    }

    /// Adds the answer.
    #[must_use]
    pub fn with_answer(mut self, answer: Arc<StoredAnswer>) -> Self {
        self.answer = Some(answer);
        self
    }
}
