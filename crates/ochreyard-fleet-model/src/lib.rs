//! A model of a whole fleet of boxes: who reads the platform's log, who tells whom, and what that costs.
//!
//! The decisions are those of `ochreyard-core`, as they are; time is virtual, the network and the log are stand-ins that draw
//! from a seed. `fleet-model --help` names the arguments of the experiment tool.

mod fleet;
mod known_after;
mod model_box;
mod plot;
mod sample;
mod site;
mod traffic;
mod trouble;

pub use fleet::Fleet;
pub use known_after::KnownAfter;
pub use plot::{PlotError, draw_plot};
pub use sample::{LENGTH_MS, START_MS, Sample};
pub use site::LEAVING_KNOWN_MS;
pub use traffic::{CallCause, Traffic};
pub use trouble::{NoTrouble, Trouble};
