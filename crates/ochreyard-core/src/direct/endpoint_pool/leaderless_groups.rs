//! The groups of a service that nobody leads.

/// What a box knows of the groups of a service that nobody leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaderlessGroups {
    /// Known groups without a leader.
    pub known: usize,
    /// Endpoints that are in no known group, but for those whose names a leader is about to tell.
    pub ungrouped_endpoints: usize,
    /// Ranks of the smallest group that is known; `None` where none is.
    pub min_group_size: Option<usize>,
}

impl LeaderlessGroups {
    /// How many whole groups the endpoints without a group may form, as far as the size of a group is known.
    #[must_use]
    pub fn estimated_unknown(&self) -> usize {
        self.min_group_size.and_then(|size| self.ungrouped_endpoints.checked_div(size)).unwrap_or(0)
    }

    /// How many boxes may ask to lead at the same time, each another group.
    #[must_use]
    pub fn max_concurrent_candidates(&self) -> usize {
        (self.known + self.estimated_unknown()).max(1)
    }
}
