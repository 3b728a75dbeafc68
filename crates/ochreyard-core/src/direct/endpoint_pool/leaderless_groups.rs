//! The groups of a service without a leader.

/// What this box knows about the groups of a service without a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaderlessGroups {
    /// Known groups without a leader.
    pub known: usize,
    /// Endpoints that belong to no known group, except those whose names a leader is about to report.
    pub ungrouped_endpoints: usize,
    /// The size of the smallest known group; `None` if no group is known.
    pub min_group_size: Option<usize>,
}

impl LeaderlessGroups {
    /// Estimates how many complete groups the ungrouped endpoints form; 0 if the size of a group is unknown.
    #[must_use]
    pub fn estimated_unknown(&self) -> usize {
        self.min_group_size.and_then(|size| self.ungrouped_endpoints.checked_div(size)).unwrap_or(0)
    }

    /// Returns how many boxes may stand for election at the same time, each for another group.
    #[must_use]
    pub fn max_concurrent_candidates(&self) -> usize {
        (self.known + self.estimated_unknown()).max(1)
    }
}
