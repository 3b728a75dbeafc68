//! Changes the expert map that all ranks of a group share. Engines accept the orders
//! prepare, hold, arm and go; an order may be lost or carried out late.
//!
//! A [`MapController`] drives one change at a time from recent views of all ranks.
//! A [`LeaderGrant`] in each agent ensures that only one controller gives orders.
//! [`Demand`] and [`Planner`] decide which map is worth a change.

mod arming_times;
mod candidacy;
mod compact_map;
mod controller;
mod demand;
mod handover;
mod leader_grant;
mod leader_id;
mod leadership;
mod map_delta;
mod mean_skew;
mod order;
mod placement;
mod planner;
mod report_schedule;
mod round_times;
mod selection_counts;
mod shift_response_times;
mod shift_skews;
mod step_model;
mod step_model_error;
mod step_times;
mod stream_limit;

pub use arming_times::ArmingTimes;
pub use candidacy::{Candidacy, candidate_position, standby_candidates, successor_candidates};
pub use controller::{ChangePhase, MapController, MapControllerSettings, Round};
pub use demand::{Demand, selections_between};
pub use handover::{
    FirstGrants, HandoverAnswer, HandoverAttempts, HandoverRefusal, LeadershipHandover, StandbyWatch, SuccessorState,
};
pub use leader_grant::LeaderGrant;
pub use leader_id::LeaderId;
pub use leadership::Leadership;
pub use map_delta::{ExpertMap, MapDelta};
pub use mean_skew::MeanSkew;
pub use order::{ArmedMap, Order, OrderOutcome, RankView, SentOrder};
pub use placement::GroupPlacement;
pub use planner::{PlanSettings, PlannedMap, Planner};
pub use report_schedule::{ReportFacts, ReportSchedule};
pub use round_times::RoundTimes;
pub use selection_counts::SelectionCounts;
pub use shift_response_times::{ShiftResponse, ShiftResponseTimes};
pub use step_model::{StepLoad, StepModel};
pub use step_times::StepTimes;
pub use stream_limit::{GroupObservation, StreamLimit};
