//! Rate limits that endpoints set for all boxes together, as this box enforces its share of them.

use super::{EndpointPool, LimitUsage, Member, Pick};
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::shared_limit::{
    EndpointLimit, LimitUpdate, ReportedLimit, RequestRate, ShareRank, SharedLimit, SharingBoxes,
};

const MS_PER_S: f64 = 1_000.0;

impl EndpointPool {
    /// Replaces the set of boxes that share the limits of endpoints.
    pub fn set_sharing_boxes(&mut self, sharing_boxes: SharingBoxes) {
        let members = self.members.iter_mut().map(|(id, member)| (id.as_str(), &mut member.limit));
        let departed =
            self.departed.iter_mut().map(|(incarnation, departed)| (incarnation.id.as_str(), &mut departed.limit));
        for (id, limit) in members.chain(departed) {
            if let Some(limit) = limit {
                limit.set_share_rank(sharing_boxes.share_rank(id));
            }
        }
        for (id, member) in &mut self.members {
            if member.cold.is_limited() {
                member.cold.set_share_rank(sharing_boxes.share_rank(id));
            }
        }
        self.sharing_boxes = sharing_boxes;
    }

    /// Returns the limit of the picked incarnation, if one is known or has ended recently.
    #[must_use]
    pub fn limit(&self, pick: &Pick) -> Option<&SharedLimit> {
        match self.picked_member(pick) {
            Some(member) => member.limit.as_ref(),
            None => self.departed.get(&pick.incarnation())?.limit.as_ref(),
        }
    }

    fn limit_mut(&mut self, incarnation: EndpointIncarnation) -> &mut Option<SharedLimit> {
        let member =
            self.members.get_mut(&incarnation.id).filter(|member| member.record.started_ms == incarnation.started_ms);
        match member {
            Some(member) => &mut member.limit,
            None => &mut self.departed.entry(incarnation).or_default().limit,
        }
    }

    /// Applies the limit that a response to a request sent at `sent_ms` reported. Returns whether other boxes should
    /// be told at once.
    pub fn on_reported_limit(&mut self, pick: &Pick, reported: ReportedLimit, sent_ms: u64, now_ms: u64) -> bool {
        let rate = match reported {
            ReportedLimit::Unknown => return false,
            ReportedLimit::Unlimited if self.limit(pick).is_none() => return false,
            ReportedLimit::Unlimited => None,
            ReportedLimit::Limited(rate) => Some(rate),
        };
        let share_rank = self.sharing_boxes.share_rank(&pick.id);
        let (version, started_ms) = (self.limit_version + 1, self.process_started_ms);
        let slot = self.limit_mut(pick.incarnation());
        let is_new = slot.is_none();
        let limit = slot.get_or_insert_with(|| new_limit(rate, share_rank, now_ms, started_ms));
        let is_change = is_new || limit.on_answer(rate, sent_ms, now_ms);
        if is_change || limit.is_announcement_due(now_ms) {
            limit.record_announced(version, now_ms);
            self.limit_version = version;
        }
        is_change
    }

    /// Applies the limits that another box reported. Returns those that this box did not know.
    pub fn apply_limit_update(&mut self, update: &LimitUpdate, now_ms: u64) -> Vec<EndpointLimit> {
        self.departed.retain(|_, departed| departed.is_retained(now_ms));
        update.limits.iter().filter(|reported| self.apply_endpoint_limit(reported, now_ms)).cloned().collect()
    }

    fn apply_endpoint_limit(&mut self, reported: &EndpointLimit, now_ms: u64) -> bool {
        let share_rank = self.sharing_boxes.share_rank(&reported.endpoint);
        let reported_ms = now_ms.saturating_sub(reported.age_ms);
        let (version, started_ms) = (self.limit_version + 1, self.process_started_ms);
        let incarnation = EndpointIncarnation { id: reported.endpoint.clone(), started_ms: reported.started_ms };
        let slot = self.limit_mut(incarnation);
        let is_new_information = match slot {
            Some(limit) => limit.on_peer_report(reported.rate, reported_ms),
            None => {
                *slot = Some(new_limit(reported.rate, share_rank, reported_ms, started_ms));
                true
            }
        };
        if is_new_information && let Some(limit) = slot {
            limit.record_announced(version, now_ms);
            self.limit_version = version;
        }
        is_new_information
    }

    /// Returns the version of the limits that this box knows, which grows with each change.
    #[must_use]
    pub const fn limit_version(&self) -> u64 {
        self.limit_version
    }

    /// Returns the limits that changed after `version`.
    #[must_use]
    pub fn limit_update_since(&self, version: u64, now_ms: u64) -> LimitUpdate {
        let members = self.members.iter().map(|(id, member)| (id, member.record.started_ms, &member.limit));
        let departed = self
            .departed
            .iter()
            .map(|(incarnation, departed)| (&incarnation.id, incarnation.started_ms, &departed.limit));
        let known =
            members.chain(departed).filter_map(|(id, started_ms, limit)| Some((id, started_ms, limit.as_ref()?)));
        let changed = known.filter(|(_, _, limit)| limit.version() > version);
        LimitUpdate {
            limits: changed.map(|(id, started_ms, limit)| endpoint_limit(id, started_ms, limit, now_ms)).collect(),
        }
    }

    /// Returns the limit of the picked incarnation, as it is reported to other boxes.
    #[must_use]
    pub fn limit_update_for(&self, pick: &Pick, now_ms: u64) -> LimitUpdate {
        let limit = self.limit(pick).map(|limit| endpoint_limit(&pick.id, pick.started_ms, limit, now_ms));
        LimitUpdate { limits: limit.into_iter().collect() }
    }

    /// Removes limits that ended some time ago.
    pub fn remove_ended_limits(&mut self, now_ms: u64) {
        for member in self.members.values_mut() {
            member.limit.take_if(|limit| limit.is_expired(now_ms));
        }
    }

    /// Returns the limits of a service's endpoints, the share of this box, and its use of the share.
    #[must_use]
    pub fn limit_usage(&self, service: &str, now_ms: u64) -> LimitUsage {
        let limits = self.members_of_service(service).filter_map(|(_, member)| member.limit.as_ref());
        limits.fold(LimitUsage::default(), |sum, limit| {
            let (Some(rate), Some(share)) = (limit.rate(), limit.share()) else { return sum };
            let window_s = share.window_ms as f64 / MS_PER_S;
            LimitUsage {
                endpoints: sum.endpoints + 1,
                limit_per_s: sum.limit_per_s + rate.milli_per_s() as f64 / MS_PER_S,
                share_per_s: sum.share_per_s + share.count as f64 / window_s,
                sent_per_s: sum.sent_per_s + limit.sent_in_window(now_ms) as f64 / window_s,
            }
        })
    }

    /// Returns whether the request may be written to the picked endpoint now, and if so counts it as sent. If the
    /// request was counted before, over a connection that turned out to be closed, `counted_ms` is the time of that,
    /// and the earlier count is removed.
    #[must_use]
    pub fn try_record_send(&mut self, pick: &Pick, counted_ms: Option<u64>, now_ms: u64) -> bool {
        let Some(member) = self.picked_member_mut(pick) else { return false };
        member.on_unsent(counted_ms);
        member.accepts_requests(now_ms) && member.try_record_send(now_ms)
    }

    /// Records that a request never reached the endpoint that was picked for it.
    pub fn on_unsent(&mut self, pick: &Pick, counted_ms: Option<u64>) {
        if let Some(member) = self.picked_member_mut(pick) {
            member.on_unsent(counted_ms);
        }
    }

    /// Returns the earliest time at which one of these endpoints accepts another request of this box. Returns `None` if
    /// one of them has no limit, or if its limit admits a request and it lacks capacity for another reason.
    pub(super) fn earliest_send_ms<'a>(members: impl Iterator<Item = &'a Member>, now_ms: u64) -> Option<u64> {
        let next_ms = members.map(|member| member.next_send_ms(now_ms).filter(|next_ms| *next_ms > now_ms));
        next_ms.collect::<Option<Vec<u64>>>()?.into_iter().min()
    }
}

/// Creates a limit in a process that started at `started_ms`, if that is known.
fn new_limit(
    rate: Option<RequestRate>,
    share_rank: ShareRank,
    reported_ms: u64,
    started_ms: Option<u64>,
) -> SharedLimit {
    let limit = SharedLimit::new(rate, share_rank, reported_ms);
    match started_ms {
        Some(started_ms) => limit.with_process_start(started_ms),
        None => limit,
    }
}

fn endpoint_limit(id: &str, started_ms: u64, limit: &SharedLimit, now_ms: u64) -> EndpointLimit {
    EndpointLimit { endpoint: id.to_owned(), started_ms, rate: limit.rate(), age_ms: limit.age_ms(now_ms) }
}
