//! Whether a box accepts a handover.

use super::handover_refusal::HandoverRefusal;
use super::leadership_handover::LeadershipHandover;
use crate::direct::LeaderReport;

/// What a box that is asked to succeed a leader knows about itself and the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SuccessorState {
    /// Whether its planned stop has begun.
    pub is_stopping: bool,
    /// Whether it knows the service and its endpoints.
    pub is_ready: bool,
    /// Whether it was recently too slow to lead.
    pub is_slow: bool,
    /// Whether it leads the group or attempts to.
    pub leads_group: bool,
    /// Whether it leads another group of the service.
    pub leads_other: bool,
    /// The last report of a leader of the group, if that leader still counts as such.
    pub leader_report: Option<LeaderReport>,
}

impl SuccessorState {
    /// Decides whether the box begins to lead.
    ///
    /// # Errors
    ///
    /// The reason why it does not.
    pub fn decide(&self, handover: &LeadershipHandover) -> Result<(), HandoverRefusal> {
        let refusals = [
            (!handover.is_consistent(), HandoverRefusal::Invalid),
            (self.is_stopping, HandoverRefusal::Stopping),
            (!self.is_ready, HandoverRefusal::NotReady),
            (self.leads_group, HandoverRefusal::LeadsGroup),
            (self.has_other_leader(handover), HandoverRefusal::HasLeader),
            (self.is_slow, HandoverRefusal::TooSlow),
            (self.leads_other, HandoverRefusal::LeadsOther),
        ];
        refusals.into_iter().find(|(applies, _)| *applies).map_or(Ok(()), |(_, refusal)| Err(refusal))
    }

    /// Whether another leader than the one that hands over has reported last: the handover is late. Leaders of an older
    /// version do not name themselves in their reports.
    fn has_other_leader(&self, handover: &LeadershipHandover) -> bool {
        let other = self.leader_report.and_then(|report| report.leader_tag);
        other.is_some_and(|tag| tag != handover.from.tag())
    }
}
