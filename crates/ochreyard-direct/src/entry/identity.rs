//! Identity of an entry process.

use ochreyard_core::direct::{BoxRecord, LocalBox};

/// Identity of this process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the box.
    pub name: String,
    /// The data centre that the box is in.
    pub data_centre: String,
    /// Number of this incarnation, unique among all incarnations of all boxes.
    pub incarnation: u64,
    /// The record of this box that other boxes get.
    pub record: BoxRecord,
}

impl Identity {
    /// Returns this box as the core sees it when it assigns duties among all boxes.
    #[must_use]
    pub fn local_box(&self) -> LocalBox<'_> {
        LocalBox { name: &self.name, data_centre: &self.data_centre }
    }
}
