//! A simulation of a whole fleet of boxes: which boxes read the platform's log, which boxes poll each other, and what
//! traffic that causes.
//!
//! The decisions are made by the code of `ochreyard-core`. Time is virtual; the network and the log are simulated, with a
//! seeded random number generator. `fleet-model --help` lists the arguments of the command-line tool.

mod fault;
mod fleet;
mod model_box;
mod parameters;
mod plot;
mod propagation_times;
mod sample;
mod traffic;

pub use fault::{Fault, ParseFaultError};
pub use fleet::Fleet;
pub use parameters::LEAVE_PROPAGATION_MS;
pub use plot::{PlotError, draw_plot};
pub use propagation_times::PropagationTimes;
pub use sample::{RUN_MS, STARTUP_MS, Sample};
pub use traffic::{CallCause, Traffic};
