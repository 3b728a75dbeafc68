//! Selection of an endpoint for a request.

use super::group::Group;
use super::group_admissions::GroupAdmissions;
use super::shuffled_order::ShuffledOrder;
use super::{Admission, EndpointPool, Member, Pick, PickError, PickRequest};
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::permitted_regions::PermittedRegions;
use crate::direct::priority_level::PriorityLevel;
use crate::direct::urgency::Urgency;
use crate::hash;

/// Requests, running or queued, that an endpoint without a group may have per slot. A queued request then starts after
/// about as many runs.
const UNGROUPED_REQUESTS_PER_SLOT: f64 = 3.0;
/// Requests that may be queued at a rank of a group. The next slot becomes free within the latency target of the first
/// event; a second queued request would rarely meet it.
const GROUP_QUEUE_LIMIT: f64 = 1.0;
/// Fraction of an endpoint's capacity that late requests may use. The rest is kept for upcoming requests that can still
/// be on time: at the usual rate, callers fill a quarter of the slots in half a second, until late requests have ended.
const LATE_CAPACITY_FRACTION: f64 = 0.75;
/// Number of randomly sampled endpoints, of which the least loaded one gets the request. Load reports are some hundred
/// milliseconds old and the same at all boxes. If each box picked the least loaded of all endpoints, all boxes would
/// send to it at once.
const SAMPLED_ENDPOINTS: usize = 3;
/// Number of randomly sampled endpoints whose groups are considered. With three groups of which one is free, two in a
/// hundred requests find none of it among them.
const MAX_GROUP_DRAWS: usize = 10;
/// The step duration assumed for a group that has not reported one, in milliseconds: the duration under usual load.
const DEFAULT_STEP_MS: u64 = 70;
/// Factor on the load score of a group whose leader is silent.
const SILENT_LEADER_FACTOR: f64 = 2.0;

impl EndpointPool {
    /// Picks an endpoint for a request that may run in any region.
    ///
    /// # Errors
    ///
    /// The same as [`Self::pick_in_regions`].
    pub fn pick(
        &self,
        service: &str,
        tried: &[EndpointIncarnation],
        urgency: Urgency,
        random: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        self.pick_in_regions(&PermittedRegions::ANY, service, tried, urgency, random, now_ms)
    }

    /// Picks an endpoint for a request of a service whose requests all have one priority.
    ///
    /// # Errors
    ///
    /// The same as [`Self::pick_for`].
    pub fn pick_in_regions(
        &self,
        permitted_regions: &PermittedRegions,
        service: &str,
        tried: &[EndpointIncarnation],
        urgency: Urgency,
        random: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        let (level, admission) = (PriorityLevel::SINGLE, Admission::Drawn(random));
        let request = PickRequest { service, permitted_regions, tried, urgency, level, admission };
        self.pick_for(&request, random, now_ms)
    }

    /// Picks the least loaded of a few randomly sampled endpoints of a service that are in an allowed region, not in
    /// `tried`, and in no group whose stream limit keeps the request out. Endpoints that were unreachable, slow,
    /// silent or stalled are used only if no other is left. Endpoints that asked for a backoff are never used.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint takes work, if all have asked for a backoff, are at capacity, are in groups at
    /// their stream limit or have used up the share of this box in their rate limits, or if all groups are stalled.
    pub fn pick_for(&self, request: &PickRequest, random: u64, now_ms: u64) -> Result<Pick, PickError> {
        let PickRequest { service, permitted_regions, tried, urgency, .. } = *request;
        let is_candidate = |id: &str, member: &Member| {
            member.takes_work()
                && self.is_in_allowed_region(permitted_regions, member)
                && !tried.iter().any(|incarnation| member.is_incarnation(id, incarnation))
        };
        let all_candidates = || self.shuffled(service, random).filter(|(id, member)| is_candidate(id, member));
        let is_any_reachable = all_candidates().any(|(_, member)| self.is_reachable(member, now_ms));
        let candidates =
            || all_candidates().filter(|(_, member)| !is_any_reachable || self.is_reachable(member, now_ms));
        let accepting = || candidates().filter(|(_, member)| member.accepts_requests(now_ms));
        let admissions = GroupAdmissions::new(self, request, now_ms);
        let admitting = || accepting().filter(|(_, member)| admissions.admits(member));
        let is_healthy = |(_, member): &(&str, &Member)| self.is_healthy(member, now_ms);
        let has_capacity = |(_, member): &(&str, &Member)| self.has_capacity(member, urgency, now_ms);
        let available = || admitting().filter(is_healthy).filter(has_capacity);
        let group = self.draw_group(available().map(|(_, member)| member), service, random, now_ms);
        let in_group = available().filter(|(_, member)| group.is_none() || member.group.as_deref() == group);
        if let Some(found) = self.least_loaded(in_group, now_ms) {
            return Ok(to_pick(found, urgency));
        }
        if self.is_down(service, now_ms) {
            return Err(PickError::Stalled);
        }
        let full_or_limited =
            |until_ms: Option<u64>| until_ms.map_or(PickError::Full, |until_ms| PickError::Limited { until_ms });
        if accepting().any(|found| is_healthy(&found)) {
            let healthy = accepting().filter(is_healthy).map(|(_, member)| member);
            return Err(full_or_limited(Self::earliest_send_ms(healthy, now_ms)));
        }
        if let Some(found) = self.least_loaded(admitting().filter(has_capacity), now_ms) {
            return Ok(to_pick(found, urgency));
        }
        if accepting().next().is_some() {
            let all = accepting().map(|(_, member)| member);
            return Err(full_or_limited(Self::earliest_send_ms(all, now_ms)));
        }
        let first_backoff_end_ms = candidates().filter_map(|(_, member)| member.notice.backoff_until_ms(now_ms)).min();
        Err(first_backoff_end_ms.map_or(PickError::NoEndpoint, |until_ms| PickError::Paused { until_ms }))
    }

    /// Iterates over the endpoints of a service in a random order that depends on `random`. Most requests get one of
    /// the first few endpoints. Looking at all of 384 endpoints took 48 microseconds per request; this takes a few.
    fn shuffled(&self, service: &str, random: u64) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let order = ShuffledOrder::new(ids.len(), random);
        order.filter_map(|at| self.members.get(&ids[at]).map(|member| (ids[at].as_str(), member)))
    }

    /// Draws the group in which an endpoint is picked: each group of a service with a probability in proportion to its
    /// number of endpoints, its free share and its steps per second. Returns `None` if the service has at most one group, or the draws failed.
    ///
    /// Reports are some hundred milliseconds old and the same at all boxes. When all boxes preferred the group with the
    /// least load, 170 requests ran in one group of 240 slots while 115 ran in each of the others, and the next report
    /// reversed it.
    fn draw_group<'a>(
        &'a self,
        available: impl Iterator<Item = &'a Member>,
        service: &str,
        random: u64,
        now_ms: u64,
    ) -> Option<&'a str> {
        let mut groups = available.filter_map(|member| Some((member.group.as_deref()?, member))).peekable();
        let slots = groups.peek()?.1.record.slots;
        let weight = |group: &Group| group.free_share(slots, now_ms) / step_cost_ms(Some(group), now_ms);
        let weights = self.groups_of(service).map(weight);
        let (count, largest) = weights.fold((0, 0.0), |(count, most), weight| (count + 1, f64::max(most, weight)));
        if count < 2 {
            return None;
        }
        groups.take(MAX_GROUP_DRAWS).enumerate().find_map(|(attempt, (name, member))| {
            let draw = hash::mix(random.rotate_left(16) ^ attempt as u64) as f64 / u64::MAX as f64;
            (draw * largest <= weight(self.group_of(member)?)).then_some(name)
        })
    }

    /// Returns the least loaded of the first [`SAMPLED_ENDPOINTS`] endpoints.
    fn least_loaded<'a>(
        &self,
        found: impl Iterator<Item = (&'a str, &'a Member)>,
        now_ms: u64,
    ) -> Option<(&'a str, &'a Member)> {
        let compared = found.take(SAMPLED_ENDPOINTS);
        compared.min_by(|a, b| self.load_score(a.1, now_ms).total_cmp(&self.load_score(b.1, now_ms)))
    }

    /// Returns whether the endpoint's data centre counts as reachable from this box.
    fn is_reachable(&self, member: &Member, now_ms: u64) -> bool {
        self.reach.get(&member.record.data_centre).is_none_or(|reach| !reach.is_avoided(now_ms))
    }

    fn is_healthy(&self, member: &Member, now_ms: u64) -> bool {
        !member.is_ejected(now_ms)
            && !member.is_slow(now_ms)
            // A rank is as silent as its whole group, whose leader reports that.
            && (member.group.is_some() || !member.is_unresponsive(now_ms))
            && self.is_serving(member, now_ms)
    }

    /// Returns whether all reachable groups of a service are known to be stalled or broken.
    #[must_use]
    pub fn is_down(&self, service: &str, now_ms: u64) -> bool {
        let takes_work = || self.members_of_service(service).filter(|(_, member)| member.takes_work());
        let is_any_reachable = takes_work().any(|(_, member)| self.is_reachable(member, now_ms));
        let is_counted = |member: &Member| !is_any_reachable || self.is_reachable(member, now_ms);
        let mut members = takes_work().filter(|(_, member)| is_counted(member)).peekable();
        members.peek().is_some() && members.all(|(_, member)| !self.is_serving(member, now_ms))
    }

    /// Returns the total number of slots at the endpoints of a service that take work.
    #[must_use]
    pub fn slots(&self, service: &str) -> u64 {
        self.members_of_service(service)
            .filter(|(_, member)| member.takes_work())
            .map(|(_, member)| member.record.slots)
            .sum()
    }

    /// Returns the number of slots at those of these endpoints that are not known to be stalled.
    #[must_use]
    pub fn serving_slots(&self, service: &str, now_ms: u64) -> u64 {
        self.members_of_service(service)
            .filter(|(_, member)| member.takes_work() && self.is_serving(member, now_ms))
            .map(|(_, member)| member.record.slots)
            .sum()
    }

    /// Returns the number of requests of this box in flight to a service's endpoints that were late when they were
    /// sent.
    #[must_use]
    pub fn late_in_flight(&self, service: &str) -> u64 {
        self.members_of_service(service).map(|(_, member)| member.late_in_flight).sum()
    }

    /// Returns whether an endpoint can serve one more request in time.
    fn has_capacity(&self, member: &Member, urgency: Urgency, now_ms: u64) -> bool {
        let slots = member.record.slots.max(1) as f64;
        let capacity = if self.group_of(member).is_some() {
            slots + GROUP_QUEUE_LIMIT
        } else {
            slots * UNGROUPED_REQUESTS_PER_SLOT
        };
        let limit = match urgency {
            Urgency::Late => capacity * LATE_CAPACITY_FRACTION,
            Urgency::OnTime => capacity,
        };
        member.admits_request(now_ms) && member.estimated_requests(now_ms).round() < limit
    }

    /// Returns the load score of an endpoint. A request takes longer in a group with longer steps.
    fn load_score(&self, member: &Member, now_ms: u64) -> f64 {
        member.load_score(now_ms) * step_cost_ms(self.group_of(member), now_ms)
    }

    /// Returns whether the group of an endpoint is believed to be running. An endpoint without a known group that
    /// appeared after a group stalled is most likely the missing rank of that group, and rejects all requests until the
    /// group has formed again. When such endpoints were used earlier, 100 to 200 requests that had waited for the group
    /// went there.
    pub(super) fn is_serving(&self, member: &Member, now_ms: u64) -> bool {
        let may_be_missing_rank =
            |group: &Group| !group.is_serving(now_ms) && group.stalled_at_event() < member.known_since_event();
        match self.group_of(member) {
            Some(group) => group.is_serving(now_ms),
            None => !self.groups_of(&member.record.service).any(may_be_missing_rank),
        }
    }

    /// Returns whether a running request should move to another endpoint: its rank was recently reported as slow, and
    /// an endpoint that is not slow has capacity. A stream limit does not keep it out: it runs already, and it lengthens
    /// the steps more where it is.
    ///
    /// Every step of a group takes as long as its slowest rank needs for its own requests. If ten requests finish at a
    /// rank that is five times slower than usual, the steps of 600 other requests take 200 ms instead of 65 ms for
    /// three to six seconds. Once the ten requests are gone, steps are short again although the rank is still slow.
    #[must_use]
    pub fn should_migrate(
        &self,
        id: &str,
        permitted_regions: &PermittedRegions,
        service: &str,
        tried: &[EndpointIncarnation],
        now_ms: u64,
    ) -> bool {
        let is_slow = |id: &str| self.members.get(id).is_some_and(|member| member.is_slow(now_ms));
        let (level, admission) = (PriorityLevel::SINGLE, Admission::Exempt);
        let request = PickRequest { service, permitted_regions, tried, urgency: Urgency::OnTime, level, admission };
        let alternative = || self.pick_for(&request, 0, now_ms).ok();
        is_slow(id) && alternative().is_some_and(|pick| pick.id != id && !is_slow(&pick.id))
    }
}

/// Returns the duration of a step for comparisons, in milliseconds; longer for a group whose leader is silent.
fn step_cost_ms(group: Option<&Group>, now_ms: u64) -> f64 {
    let is_silent = group.is_some_and(|group| group.is_silent(now_ms));
    let step_ms = group.and_then(|group| group.step_ms(now_ms)).unwrap_or(DEFAULT_STEP_MS) as f64;
    step_ms * if is_silent { SILENT_LEADER_FACTOR } else { 1.0 }
}

fn to_pick((id, member): (&str, &Member), urgency: Urgency) -> Pick {
    Pick {
        id: id.to_owned(),
        started_ms: member.record.started_ms,
        addr: member.record.addr,
        in_flight: member.in_flight,
        urgency,
    }
}
