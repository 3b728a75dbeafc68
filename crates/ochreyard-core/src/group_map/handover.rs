//! The handover of the leadership of a group: by a leader that stops, to a successor that it picks.
//!
//! The successor does not wait for its turn, and knows the ranks, the map in use and the demand. Its grants come from
//! the agents as those of any leader, so a handover that is late, lost, doubled or accepted by two boxes leads to two
//! candidates at most, of which the agents grant one.

mod first_grants;
mod handover_answer;
mod handover_attempts;
mod handover_refusal;
mod leadership_handover;
mod standby_watch;
mod successor_state;

pub use first_grants::FirstGrants;
pub use handover_answer::HandoverAnswer;
pub use handover_attempts::HandoverAttempts;
pub use handover_refusal::HandoverRefusal;
pub use leadership_handover::LeadershipHandover;
pub use standby_watch::StandbyWatch;
pub use successor_state::SuccessorState;
