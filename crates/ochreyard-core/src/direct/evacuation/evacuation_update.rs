//! The evacuation of a data centre as boxes exchange it.

use serde::{Deserialize, Serialize};

use crate::direct::position::Position;

/// State of the evacuation of a data centre, as one box sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// Name of the data centre.
    pub data_centre: String,
    /// Position of the record in the log.
    pub position: Position,
    /// Whether the data centre gets no requests; `false` once the operator has withdrawn the evacuation.
    pub is_in_force: bool,
}
