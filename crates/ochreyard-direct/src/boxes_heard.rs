//! How far one box knows the list of another one.

use serde::{Deserialize, Serialize};

/// How much of another box's list of boxes is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BoxesHeard {
    /// The life of the other box.
    pub life: u64,
    /// Records of its list, in the order in which it learned them.
    pub count: usize,
}
