//! A fleet of boxes that share a retry budget, on virtual time.

mod arrivals;
mod fleet;
mod scenario;

pub use arrivals::Arrivals;
pub use fleet::Fleet;
pub use scenario::{Kill, Scenario, Stall};
