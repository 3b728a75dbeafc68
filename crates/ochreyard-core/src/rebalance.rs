//! Decides when and how to change a group's expert map.
//!
//! The load of each expert is predicted. The current map is changed by the replica moves
//! whose predicted saving over a horizon exceeds their cost, one at a time, the best first.
//! Two sets of weights for the same formula serve users to whom skew is more expensive and
//! users to whom moves are more expensive.

mod budgeted_rebalancer;
mod diagnosis;
mod placement;
mod predictor;
mod search;

pub use budgeted_rebalancer::{BudgetedRebalancer, RebalanceSettings};
pub use diagnosis::{SlowStepCause, diagnose_slow_steps};
pub use placement::{Placement, skew};
pub use predictor::Predictor;
