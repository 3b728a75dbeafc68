//! The groups of a service that nobody leads.

/// What a box knows of the groups of a service that nobody leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnledGroups {
    /// Known groups without a leader.
    pub known: usize,
    /// Endpoints that are in no known group, but for those whose names a leader is about to tell.
    pub endpoints: usize,
    /// Ranks of the smallest group that is known; `None` where none is.
    pub group_size: Option<usize>,
}

impl UnledGroups {
    /// How many whole groups the endpoints without a group may form, as far as the size of a group is known.
    #[must_use]
    pub fn unknown(&self) -> usize {
        self.group_size.and_then(|size| self.endpoints.checked_div(size)).unwrap_or(0)
    }

    /// How many boxes may ask to lead at the same time, each another group.
    #[must_use]
    pub fn at_once(&self) -> usize {
        (self.known + self.unknown()).max(1)
    }
}
