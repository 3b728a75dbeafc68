//! An evacuation as boxes tell each other of it.

use serde::{Deserialize, Serialize};

use crate::direct::position::Position;

/// What one box tells another of the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// The data centre.
    pub data_centre: String,
    /// Where the record stands in the log.
    pub position: Position,
    /// Whether the data centre gets no request; `false` once the operator has taken that back.
    pub is_in_force: bool,
}
