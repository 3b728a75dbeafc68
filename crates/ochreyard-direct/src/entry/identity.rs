//! Who a process is.

use ochreyard_core::direct::{BoxRecord, LocalBox};

/// Who this process is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the box.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// A number that no other life of any box has.
    pub incarnation: u64,
    /// What it says of itself to other boxes.
    pub record: BoxRecord,
}

impl Identity {
    /// This box, as it looks for its duty among all boxes.
    #[must_use]
    pub fn own(&self) -> LocalBox<'_> {
        LocalBox { name: &self.name, data_centre: &self.data_centre }
    }
}
