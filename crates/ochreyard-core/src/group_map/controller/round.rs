//! One polling round of a leader over all ranks.

use crate::group_map::{OrderOutcome, RankView, SentOrder};

/// The results of polling all ranks once.
#[derive(Debug, Clone, Default)]
pub struct Round {
    /// By rank: the new view, or `None` if the rank did not answer.
    pub views: Vec<Option<RankView>>,
    /// The outcomes of the orders that were sent, with the rank of each.
    pub outcomes: Vec<(usize, SentOrder, OrderOutcome)>,
}
