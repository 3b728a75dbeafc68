//! One exchange of a leader with all ranks.

use crate::group_map::{OrderOutcome, RankView, SentOrder};

/// What one exchange with all ranks brought.
#[derive(Debug, Clone, Default)]
pub struct Round {
    /// A fresh view of each rank, where one came.
    pub views: Vec<Option<RankView>>,
    /// What became of the orders that were sent, by rank.
    pub outcomes: Vec<(usize, SentOrder, OrderOutcome)>,
}
