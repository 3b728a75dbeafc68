//! One expert map for all ranks of a group, where engines take the orders
//! prepare, hold, arm and go, may lose them, and may carry them out late.
//!
//! A [`Controller`] drives one change at a time from fresh views of all ranks.
//! A [`Grant`] in each agent makes sure that only one controller gives orders.
//! [`Demand`] and [`Planner`] decide what map is worth a change.

mod arming_times;
mod candidacy;
mod chosen_counts;
mod compact_map;
mod controller;
mod demand;
mod grant;
mod leader_id;
mod leadership;
mod map_change;
mod mean_skew;
mod order;
mod placement;
mod planner;
mod shift_times;
mod step_times;

pub use arming_times::ArmingTimes;
pub use candidacy::{Candidacy, candidate_place};
pub use chosen_counts::ChosenCounts;
pub use controller::{Controller, ControllerSettings, Phase, Round};
pub use demand::{Demand, chosen_between};
pub use grant::Grant;
pub use leader_id::LeaderId;
pub use leadership::Leadership;
pub use map_change::{Experts, MapChange};
pub use mean_skew::MeanSkew;
pub use order::{Armed, Order, OrderOutcome, RankView, SentOrder};
pub use placement::GroupPlacement;
pub use planner::{PlanSettings, Planned, Planner};
pub use shift_times::{ShiftAnswer, ShiftTimes};
pub use step_times::StepTimes;
