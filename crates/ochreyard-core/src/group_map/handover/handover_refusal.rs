//! Why a box refuses a handover.

use serde::{Deserialize, Serialize};

/// Why a box refuses a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverRefusal {
    /// The box stops itself.
    Stopping,
    /// The box does not know the service or its endpoints yet.
    NotReady,
    /// The box was recently too slow to lead.
    TooSlow,
    /// The box leads this group already.
    LeadsGroup,
    /// The box leads another group of the service.
    LeadsOther,
    /// Another box has reported that it leads the group.
    HasLeader,
    /// The handover contradicts itself.
    Invalid,
    /// A reason that a newer version gives.
    #[serde(other)]
    Unknown,
}
