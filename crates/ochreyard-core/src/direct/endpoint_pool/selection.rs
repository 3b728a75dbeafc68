//! Which endpoint gets a request, and whether one has room.

use super::group::Group;
use super::shuffled_order::ShuffledOrder;
use super::{EndpointPool, Member, Pick, PickError};
use crate::direct::allowed_regions::AllowedRegions;
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::waiting::Urgency;

/// Requests for each slot that an endpoint without a group may have, running and
/// waiting: what waits starts after about as many runs.
const PLAIN_DEPTH: f64 = 3.0;
/// Requests that may wait at a rank of a group: the next place is free within the
/// aim of a first event, a second one hardly.
const GROUP_WAITING: f64 = 1.0;
/// Share of what an endpoint takes up to which it gets requests that can only be late: the
/// rest is for those that come next and can still be in their aim. A quarter of the places is
/// what callers at their usual rate fill in half a second, until late ones have ended.
const LATE_DEPTH: f64 = 0.75;
/// Endpoints that are drawn for one request, of which the least loaded gets it. What is
/// known of load is some hundred milliseconds old and alike at all boxes: were the
/// least loaded of all picked, all boxes would send there at once.
const COMPARED: usize = 3;
/// The step of a group that told none, in milliseconds: what engines need under usual load.
const USUAL_STEP_MS: u64 = 70;
/// How much more loaded a group counts whose leader has fallen silent.
const SILENT_LEADER_COST: f64 = 2.0;

impl EndpointPool {
    /// Picks an endpoint for a request that may run anywhere.
    ///
    /// # Errors
    ///
    /// As [`Self::pick_in_regions`].
    pub fn pick(
        &self,
        service: &str,
        tried: &[EndpointIncarnation],
        urgency: Urgency,
        draw: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        self.pick_in_regions(&AllowedRegions::ANY, service, tried, urgency, draw, now_ms)
    }

    /// Picks an endpoint of a service that is at home and not in `tried`: the least loaded of a few drawn ones.
    /// Endpoints that were set aside are used only where no other is left; those that asked for a pause, never.
    ///
    /// # Errors
    ///
    /// When nobody takes work, all have asked for a pause, have as much as they can serve in time or as their limits let this box send, or all groups stand.
    pub fn pick_in_regions(
        &self,
        homes: &AllowedRegions,
        service: &str,
        tried: &[EndpointIncarnation],
        urgency: Urgency,
        draw: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        let is_left = |id: &str, member: &Member| {
            member.takes_work() && self.is_home(homes, member) && !tried.iter().any(|life| member.is_life(id, life))
        };
        let all_left = || self.drawn(service, draw).filter(|(id, member)| is_left(id, member));
        let is_any_reached = all_left().any(|(_, member)| self.is_reached(member, now_ms));
        let left = || all_left().filter(|(_, member)| !is_any_reached || self.is_reached(member, now_ms));
        let open = || left().filter(|(_, member)| member.accepts_requests(now_ms));
        let is_sound = |(_, member): &(&str, &Member)| self.is_sound(member, now_ms);
        let has_room = |(_, member): &(&str, &Member)| self.has_room(member, urgency, now_ms);
        if let Some(found) = self.least_loaded(open().filter(is_sound).filter(has_room), now_ms) {
            return Ok(picked(found, urgency));
        }
        if self.is_down(service, now_ms) {
            return Err(PickError::Stands);
        }
        let full_or_limited =
            |until_ms: Option<u64>| until_ms.map_or(PickError::Full, |until_ms| PickError::Limited { until_ms });
        if open().any(|found| is_sound(&found)) {
            let sound = open().filter(is_sound).map(|(_, member)| member);
            return Err(full_or_limited(Self::first_free_ms(sound, now_ms)));
        }
        if let Some(found) = self.least_loaded(open().filter(has_room), now_ms) {
            return Ok(picked(found, urgency));
        }
        if open().next().is_some() {
            let all = open().map(|(_, member)| member);
            return Err(full_or_limited(Self::first_free_ms(all, now_ms)));
        }
        let first_end_ms = left().filter_map(|(_, member)| member.notice.backoff_until_ms(now_ms)).min();
        Err(first_end_ms.map_or(PickError::Nobody, |until_ms| PickError::Paused { until_ms }))
    }

    /// The endpoints of a service, each once, in an order that differs from draw to draw. Most requests get an endpoint
    /// among the first few: looking at all of 384 took 48 microseconds a request, this takes a few.
    fn drawn(&self, service: &str, draw: u64) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let order = ShuffledOrder::new(ids.len(), draw);
        order.filter_map(|at| self.members.get(&ids[at]).map(|member| (ids[at].as_str(), member)))
    }

    /// The least loaded of the first few.
    fn least_loaded<'a>(
        &self,
        found: impl Iterator<Item = (&'a str, &'a Member)>,
        now_ms: u64,
    ) -> Option<(&'a str, &'a Member)> {
        let compared = found.take(COMPARED);
        compared.min_by(|a, b| self.pressure(a.1, now_ms).total_cmp(&self.pressure(b.1, now_ms)))
    }

    /// Whether its data centre does not count as cut off from this box.
    fn is_reached(&self, member: &Member, now_ms: u64) -> bool {
        self.reach.get(&member.record.data_centre).is_none_or(|reach| !reach.is_aside(now_ms))
    }

    fn is_sound(&self, member: &Member, now_ms: u64) -> bool {
        !member.is_aside(now_ms) && !member.is_slow(now_ms) && self.is_serving(member, now_ms)
    }

    /// Whether all groups of a service are known to stand or to be broken, as far as they are reached.
    #[must_use]
    pub fn is_down(&self, service: &str, now_ms: u64) -> bool {
        let takes_work = || self.of_service(service).filter(|(_, member)| member.takes_work());
        let is_any_reached = takes_work().any(|(_, member)| self.is_reached(member, now_ms));
        let counts = |member: &Member| !is_any_reached || self.is_reached(member, now_ms);
        let mut members = takes_work().filter(|(_, member)| counts(member)).peekable();
        members.peek().is_some() && members.all(|(_, member)| !self.is_serving(member, now_ms))
    }

    /// Slots of all endpoints of a service that take work.
    #[must_use]
    pub fn slots(&self, service: &str) -> u64 {
        self.of_service(service).filter(|(_, member)| member.takes_work()).map(|(_, member)| member.record.slots).sum()
    }

    /// Requests of this box at a service's endpoints that were late when they were sent.
    #[must_use]
    pub fn late_in_flight(&self, service: &str) -> u64 {
        self.of_service(service).map(|(_, member)| member.late_in_flight).sum()
    }

    /// Whether an endpoint can serve one more request in time.
    fn has_room(&self, member: &Member, urgency: Urgency, now_ms: u64) -> bool {
        let slots = member.record.slots.max(1) as f64;
        let most = if self.group_of(member).is_some() { slots + GROUP_WAITING } else { slots * PLAIN_DEPTH };
        let limit = match urgency {
            Urgency::Late => most * LATE_DEPTH,
            Urgency::OnTime => most,
        };
        member.admits_one_more(now_ms) && member.requests(now_ms).round() < limit
    }

    /// How loaded an endpoint counts: in a group with longer steps each request takes longer.
    fn pressure(&self, member: &Member, now_ms: u64) -> f64 {
        let group = self.group_of(member);
        let is_silent = group.is_some_and(|group| group.is_silent(now_ms));
        let step_ms = group.and_then(|group| group.step_ms(now_ms)).unwrap_or(USUAL_STEP_MS) as f64;
        member.pressure(now_ms) * step_ms * if is_silent { SILENT_LEADER_COST } else { 1.0 }
    }

    /// Whether the group of an endpoint goes on, as far as known. One of which no group is known, and that came
    /// after a group had begun to stand, is most likely its missing rank: until the group forms anew it rejects all
    /// that it is sent. Where it was used before, 100 to 200 requests that had waited for the group went there.
    pub(super) fn is_serving(&self, member: &Member, now_ms: u64) -> bool {
        let is_missing_in = |group: &Group| !group.is_serving(now_ms) && group.stood() < member.known();
        match self.group_of(member) {
            Some(group) => group.is_serving(now_ms),
            None => !self.groups_of(&member.record.service).any(is_missing_in),
        }
    }

    /// Whether a request should leave an endpoint for another one: its leader said of late that
    /// it is slow, and one that is not has room.
    ///
    /// Every step of a group takes as long as its slowest rank needs for its own requests. Left
    /// to end there, ten requests at a rank five times as slow as usual make the steps of 600
    /// others take 200 ms in place of 65 for three to six seconds; once they are gone, steps
    /// are short again although the rank is as slow as before.
    #[must_use]
    pub fn should_migrate(
        &self,
        id: &str,
        homes: &AllowedRegions,
        service: &str,
        tried: &[EndpointIncarnation],
        now_ms: u64,
    ) -> bool {
        let is_slow = |id: &str| self.members.get(id).is_some_and(|member| member.is_slow(now_ms));
        let other = || self.pick_in_regions(homes, service, tried, Urgency::OnTime, 0, now_ms).ok();
        is_slow(id) && other().is_some_and(|pick| pick.id != id && !is_slow(&pick.id))
    }
}

fn picked((id, member): (&str, &Member), urgency: Urgency) -> Pick {
    Pick {
        id: id.to_owned(),
        started_ms: member.record.started_ms,
        addr: member.record.addr,
        in_flight: member.in_flight,
        urgency,
    }
}
