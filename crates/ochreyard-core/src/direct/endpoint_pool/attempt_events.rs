//! Updates of the pool from attempts: when they start, how they end, and what the responses report about the endpoint.

use super::{AttemptOutcome, AvailabilityNotice, EndpointPool, Member, Pick, UnavailableCounts};
use crate::direct::EndpointIncarnation;
use crate::direct::endpoint_signals::EndpointSignals;

impl EndpointPool {
    /// Records that an attempt has started.
    pub fn on_attempt_start(&mut self, pick: &Pick) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_attempt_start(pick.urgency);
            if let Some(group) = self.group_of_mut(&pick.id) {
                group.on_attempt_start();
            }
        }
    }

    /// Records that an attempt has ended. An attempt at an earlier incarnation does not count for the current one.
    pub fn on_attempt_end(&mut self, pick: &Pick, outcome: AttemptOutcome, now_ms: u64) {
        if outcome == AttemptOutcome::Unreachable {
            self.record_unreachable(pick, now_ms);
        }
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_attempt_end(pick.urgency, outcome, now_ms);
            if let Some(group) = self.group_of_mut(&pick.id) {
                group.on_attempt_end();
            }
        }
    }

    /// Records that an attempt which was sent at `sent_ms` has failed. An endpoint that fails again and again is ejected,
    /// as long as at least half of the endpoints of its service remain. Returns whether it is. An endpoint whose group
    /// stalls breaks attempts off because of another rank.
    pub fn on_failed_attempt(&mut self, pick: &Pick, outcome: AttemptOutcome, sent_ms: u64, now_ms: u64) -> bool {
        let group = self.picked_member(pick).and_then(|member| self.group_of(member));
        let has_stalled = group.is_some_and(|group| group.has_stalled_since(sent_ms, now_ms));
        if outcome == AttemptOutcome::BrokenOff && has_stalled {
            return false;
        }
        let Some(member) = self.picked_member_mut(pick) else { return false };
        if !member.on_failure(outcome, sent_ms, now_ms) || member.is_ejected(now_ms) {
            return false;
        }
        let service = member.record.service.clone();
        let members = || self.members_of_service(&service);
        let ejected = members().filter(|(_, member)| member.is_ejected(now_ms)).count();
        if (ejected + 1) * 2 > members().count() {
            return false;
        }
        if let Some(member) = self.picked_member_mut(pick) {
            member.eject_failing(now_ms);
        }
        true
    }

    fn record_unreachable(&mut self, pick: &Pick, now_ms: u64) {
        let Some(member) = self.picked_member(pick) else { return };
        let data_centre = member.record.data_centre.clone();
        self.reach.entry(data_centre).or_default().on_unreachable(&pick.id, now_ms);
    }

    /// Records that bytes of a response arrived from an endpoint.
    pub fn on_response_bytes(&mut self, id: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.on_activity(now_ms);
            self.reach.remove(&member.record.data_centre);
        }
    }

    /// Returns whether an endpoint has been silent for at least `for_ms`, both to this box and to its leader, or is
    /// gone.
    #[must_use]
    pub fn is_silent(&self, id: &str, for_ms: u64, now_ms: u64) -> bool {
        self.members.get(id).is_none_or(|member| member.is_silent(for_ms, now_ms))
    }

    /// Returns whether the endpoint that was picked, or its leader, has shown to this process that it runs.
    #[must_use]
    pub fn has_responded(&self, pick: &Pick) -> bool {
        self.picked_member(pick).is_some_and(Member::has_responded)
    }

    /// Returns whether the endpoint that was picked has to respond to a check before it gets a request.
    #[must_use]
    pub fn needs_liveness_check(&self, pick: &Pick) -> bool {
        self.picked_member(pick).is_some_and(Member::needs_liveness_check)
    }

    /// Records that a request was moved to another endpoint, since the picked one is silent.
    pub fn on_left_silent(&mut self, pick: &Pick, now_ms: u64) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_left_silent(now_ms);
        }
    }

    /// Records that a request that was sent to the picked endpoint at `sent_ms` was abandoned before the endpoint sent
    /// anything on it.
    pub fn on_abandoned(&mut self, pick: &Pick, sent_ms: u64) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_abandoned(sent_ms);
        }
    }

    /// Applies what the picked endpoint reported about itself in a response. A report of an earlier incarnation does
    /// not count for the current one.
    pub fn on_signals(&mut self, pick: &Pick, signals: &EndpointSignals, now_ms: u64) {
        if let Some(load) = signals.load
            && let Some(member) = self.picked_member_mut(pick)
        {
            member.on_load(load, now_ms);
        }
        if signals.backoff_ms.is_none() && !signals.is_leaving {
            return;
        }
        self.departed.retain(|_, departed| departed.is_retained(now_ms));
        if let Some(backoff_ms) = signals.backoff_ms {
            match self.picked_member_mut(pick) {
                Some(member) => member.on_backoff(backoff_ms, now_ms),
                None => self.departed.entry(pick.incarnation()).or_default().notice.on_backoff(backoff_ms, now_ms),
            }
        }
        if signals.is_leaving {
            self.availability_notice_mut(pick).on_leaving(now_ms);
        }
    }

    /// Returns what the picked incarnation has asked for in its responses.
    #[must_use]
    pub fn availability_notice(&self, pick: &Pick) -> AvailabilityNotice {
        let member = self.picked_member(pick);
        let departed = || self.departed.get(&pick.incarnation()).map(|departed| departed.notice);
        member.map(|member| member.notice).or_else(departed).unwrap_or_default()
    }

    fn availability_notice_mut(&mut self, pick: &Pick) -> &mut AvailabilityNotice {
        let member = self.members.get_mut(&pick.id).filter(|member| member.record.started_ms == pick.started_ms);
        match member {
            Some(member) => &mut member.notice,
            None => &mut self.departed.entry(pick.incarnation()).or_default().notice,
        }
    }

    /// Returns whether the request may still be sent to the endpoint that was picked for it. The endpoint may have
    /// asked for a backoff, or its record may have changed, while the connection was being opened.
    #[must_use]
    pub fn accepts_requests(&self, pick: &Pick, now_ms: u64) -> bool {
        self.picked_member(pick).is_some_and(|member| member.accepts_requests(now_ms))
    }

    /// Returns whether the endpoint that was picked is gone or is about to leave.
    #[must_use]
    pub fn is_gone_or_leaving(&self, pick: &Pick) -> bool {
        self.picked_member(pick).is_none_or(Member::is_leaving)
    }

    /// Records that the record of an endpoint is about to be removed.
    pub fn on_removal(&mut self, id: &str, now_ms: u64) {
        let Some(member) = self.members.get(id).filter(|member| !member.is_leaving()) else { return };
        let incarnation = EndpointIncarnation { id: id.to_owned(), started_ms: member.record.started_ms };
        self.sudden_removals.record(incarnation, now_ms);
    }

    /// Returns whether the endpoint that was picked, a connection to which broke at `broke_ms`, is leaving or had been
    /// removed before. The removal of a record does not count if it was not announced and came with the break: the
    /// platform removes the record of an endpoint that has crashed, too.
    #[must_use]
    pub fn ended_as_planned(&self, pick: &Pick, broke_ms: u64) -> bool {
        self.is_gone_or_leaving(pick) && !self.sudden_removals.may_share_cause(&pick.incarnation(), broke_ms)
    }

    /// Counts the endpoints of a service that currently accept no new requests from this box.
    #[must_use]
    pub fn unavailable_counts(&self, service: &str, now_ms: u64) -> UnavailableCounts {
        let is_paused = |member: &Member| member.takes_work() && !member.accepts_requests(now_ms);
        UnavailableCounts {
            paused: self.members_of_service(service).filter(|(_, member)| is_paused(member)).count(),
            leaving: self.members_of_service(service).filter(|(_, member)| member.is_leaving()).count(),
        }
    }

    /// Records that an endpoint has accepted a request.
    pub fn on_accepted(&mut self, pick: &Pick, now_ms: u64) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_accepted(now_ms);
        }
    }

    /// Records that the response head has arrived, or that the attempt has ended without one.
    pub fn on_answered(&mut self, pick: &Pick) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_answered();
        }
    }
}
