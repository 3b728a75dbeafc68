//! What attempts tell of endpoints: that they are under way, how they end, what answers say.

use super::{AttemptOutcome, AvailabilityNotice, EndpointPool, Member, Pick, UnavailableCounts};
use crate::direct::endpoint_signals::EndpointSignals;

impl EndpointPool {
    /// An attempt is on its way.
    pub fn on_attempt_start(&mut self, pick: &Pick) {
        if let Some(member) = self.member_of(pick) {
            member.on_start(pick.urgency);
        }
    }

    /// An attempt has ended. One at a life before says nothing of the present one.
    pub fn on_attempt_end(&mut self, pick: &Pick, outcome: AttemptOutcome, now_ms: u64) {
        if outcome == AttemptOutcome::Unreachable {
            self.note_unreachable(pick, now_ms);
        }
        if let Some(member) = self.member_of(pick) {
            member.on_end(pick.urgency, outcome, now_ms);
        }
    }

    fn note_unreachable(&mut self, pick: &Pick, now_ms: u64) {
        let Some(member) = self.picked(pick) else { return };
        let data_centre = member.record.data_centre.clone();
        self.reach.entry(data_centre).or_default().on_unreachable(&pick.id, now_ms);
    }

    /// An endpoint was heard: a head, an event, any byte of an answer.
    pub fn on_response_bytes(&mut self, id: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.on_heard(now_ms);
            self.reach.remove(&member.record.data_centre);
        }
    }

    /// Whether an endpoint has said nothing for so long, neither to this box nor to its
    /// leader, or is gone.
    #[must_use]
    pub fn is_silent(&self, id: &str, for_ms: u64, now_ms: u64) -> bool {
        self.members.get(id).is_none_or(|member| member.is_silent(for_ms, now_ms))
    }

    /// An endpoint that was picked told of itself. What a life before tells says nothing of the present one.
    pub fn on_signals(&mut self, pick: &Pick, signals: &EndpointSignals, now_ms: u64) {
        if let Some(load) = signals.load
            && let Some(member) = self.member_of(pick)
        {
            member.on_load(load, now_ms);
        }
        if signals.backoff_ms.is_none() && !signals.is_leaving {
            return;
        }
        self.parted.retain(|_, parted| parted.is_recent(now_ms));
        if let Some(backoff_ms) = signals.backoff_ms {
            match self.member_of(pick) {
                Some(member) => member.on_backoff(backoff_ms, now_ms),
                None => self.parted.entry(pick.incarnation()).or_default().notice.on_backoff(backoff_ms, now_ms),
            }
        }
        if signals.is_leaving {
            self.availability_notice_mut(pick).on_leaving(now_ms);
        }
    }

    /// What the picked life of an endpoint has asked for.
    #[must_use]
    pub fn availability_notice(&self, pick: &Pick) -> AvailabilityNotice {
        let member = self.picked(pick);
        let parted = || self.parted.get(&pick.incarnation()).map(|parted| parted.notice);
        member.map(|member| member.notice).or_else(parted).unwrap_or_default()
    }

    fn availability_notice_mut(&mut self, pick: &Pick) -> &mut AvailabilityNotice {
        let member = self.members.get_mut(&pick.id).filter(|member| member.record.started_ms == pick.started_ms);
        match member {
            Some(member) => &mut member.notice,
            None => &mut self.parted.entry(pick.incarnation()).or_default().notice,
        }
    }

    /// Whether a request may still be sent to the endpoint that was picked for it: what it or its record says may have
    /// changed while a connection came up.
    #[must_use]
    pub fn accepts_requests(&self, pick: &Pick, now_ms: u64) -> bool {
        self.picked(pick).is_some_and(|member| member.accepts_requests(now_ms))
    }

    /// Whether an endpoint that was picked has left since, or is about to.
    #[must_use]
    pub fn is_gone_or_leaving(&self, pick: &Pick) -> bool {
        self.picked(pick).is_none_or(Member::is_leaving)
    }

    /// How many endpoints of a service ask this box for something.
    #[must_use]
    pub fn unavailable_counts(&self, service: &str, now_ms: u64) -> UnavailableCounts {
        let is_paused = |member: &Member| member.takes_work() && !member.accepts_requests(now_ms);
        UnavailableCounts {
            paused: self.of_service(service).filter(|(_, member)| is_paused(member)).count(),
            leaving: self.of_service(service).filter(|(_, member)| member.is_leaving()).count(),
        }
    }

    /// An endpoint has taken a request.
    pub fn on_accepted(&mut self, pick: &Pick, now_ms: u64) {
        if let Some(member) = self.member_of(pick) {
            member.on_accepted(now_ms);
        }
    }

    /// The head of an answer has come, or the attempt has ended without one.
    pub fn on_answered(&mut self, pick: &Pick) {
        if let Some(member) = self.member_of(pick) {
            member.on_answered();
        }
    }
}
