//! When and how to change a group's expert map.
//!
//! The load of each expert is predicted; the present map is changed by the
//! replica moves whose predicted saving over a horizon beats their cost, one at a
//! time, best first. Two settings of one formula serve users who weigh skew and
//! users who weigh moves.

mod budgeted_rebalancer;
mod diagnosis;
mod placement;
mod predictor;
mod search;

pub use budgeted_rebalancer::{BudgetedRebalancer, RebalanceSettings};
pub use diagnosis::{SlowStepCause, diagnose_slow_steps};
pub use placement::{Placement, skew};
pub use predictor::Predictor;
