//! The answer to a handover.

use serde::{Deserialize, Serialize};

use super::handover_refusal::HandoverRefusal;

/// The answer of a box to a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// Whether the box begins to lead the group.
    pub accepted: bool,
    /// Why it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<HandoverRefusal>,
}

impl From<Result<(), HandoverRefusal>> for HandoverAnswer {
    fn from(decision: Result<(), HandoverRefusal>) -> Self {
        Self { accepted: decision.is_ok(), refusal: decision.err() }
    }
}
