//! Limits that hold for all boxes together, as this box keeps to them.

use super::{EndpointPool, LimitUsage, Member, Pick};
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::shared_limit::{EndpointLimit, LimitUpdate, ReportedLimit, SharedLimit, SharingBoxes};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

impl EndpointPool {
    /// Other boxes share what endpoints take from all of them.
    pub fn set_sharing_boxes(&mut self, sharers: SharingBoxes) {
        let members = self.members.iter_mut().map(|(id, member)| (id.as_str(), &mut member.limit));
        let parted = self.parted.iter_mut().map(|(life, parted)| (life.id.as_str(), &mut parted.limit));
        for (id, limit) in members.chain(parted) {
            if let Some(limit) = limit {
                limit.set_share_rank(sharers.share_rank(id));
            }
        }
        for (id, member) in &mut self.members {
            if member.cold.is_bounded() {
                member.cold.set_share_rank(sharers.share_rank(id));
            }
        }
        self.sharers = sharers;
    }

    /// The limit of the life that was picked, if one is known or has ended of late.
    #[must_use]
    pub fn limit(&self, pick: &Pick) -> Option<&SharedLimit> {
        match self.picked(pick) {
            Some(member) => member.limit.as_ref(),
            None => self.parted.get(&pick.incarnation())?.limit.as_ref(),
        }
    }

    fn limit_mut(&mut self, life: EndpointIncarnation) -> &mut Option<SharedLimit> {
        let member = self.members.get_mut(&life.id).filter(|member| member.record.started_ms == life.started_ms);
        match member {
            Some(member) => &mut member.limit,
            None => &mut self.parted.entry(life).or_default().limit,
        }
    }

    /// An answer to a request that was sent at `asked_ms` said this of the limit of its endpoint. Says whether others
    /// should be told at once.
    pub fn on_reported_limit(&mut self, pick: &Pick, word: ReportedLimit, asked_ms: u64, now_ms: u64) -> bool {
        let rate = match word {
            ReportedLimit::Unknown => return false,
            ReportedLimit::Unlimited if self.limit(pick).is_none() => return false,
            ReportedLimit::Unlimited => None,
            ReportedLimit::Limited(rate) => Some(rate),
        };
        let place = self.sharers.share_rank(&pick.id);
        let change = self.limit_version + 1;
        let slot = self.limit_mut(pick.incarnation());
        let is_new = slot.is_none();
        let limit = slot.get_or_insert_with(|| SharedLimit::new(rate, place, now_ms));
        let is_change = is_new || limit.on_answer(rate, asked_ms, now_ms);
        if is_change || limit.is_announcement_due(now_ms) {
            limit.record_announced(change, now_ms);
            self.limit_version = change;
        }
        is_change
    }

    /// Takes what another box tells of limits. Gives those that were news.
    pub fn apply_limit_update(&mut self, news: &LimitUpdate, now_ms: u64) -> Vec<EndpointLimit> {
        self.parted.retain(|_, parted| parted.is_recent(now_ms));
        news.limits.iter().filter(|told| self.take_told_limit(told, now_ms)).cloned().collect()
    }

    fn take_told_limit(&mut self, told: &EndpointLimit, now_ms: u64) -> bool {
        let place = self.sharers.share_rank(&told.endpoint);
        let heard_ms = now_ms.saturating_sub(told.age_ms);
        let change = self.limit_version + 1;
        let life = EndpointIncarnation { id: told.endpoint.clone(), started_ms: told.started_ms };
        let slot = self.limit_mut(life);
        let is_news = match slot {
            Some(limit) => limit.on_peer_report(told.rate, heard_ms),
            None => {
                *slot = Some(SharedLimit::new(told.rate, place, heard_ms));
                true
            }
        };
        if is_news && let Some(limit) = slot {
            limit.record_announced(change, now_ms);
            self.limit_version = change;
        }
        is_news
    }

    /// How many changes of limits this box has seen.
    #[must_use]
    pub const fn limit_version(&self) -> u64 {
        self.limit_version
    }

    /// What was learned of limits after the first `changes` changes.
    #[must_use]
    pub fn limit_update_since(&self, changes: u64, now_ms: u64) -> LimitUpdate {
        let members = self.members.iter().map(|(id, member)| (id, member.record.started_ms, &member.limit));
        let parted = self.parted.iter().map(|(life, parted)| (&life.id, life.started_ms, &parted.limit));
        let known = members.chain(parted).filter_map(|(id, born_ms, limit)| Some((id, born_ms, limit.as_ref()?)));
        let changed = known.filter(|(_, _, limit)| limit.version() > changes);
        LimitUpdate { limits: changed.map(|(id, born_ms, limit)| told(id, born_ms, limit, now_ms)).collect() }
    }

    /// What is told of the limit of the life that was picked.
    #[must_use]
    pub fn limit_update_for(&self, pick: &Pick, now_ms: u64) -> LimitUpdate {
        let limit = self.limit(pick).map(|limit| told(&pick.id, pick.started_ms, limit, now_ms));
        LimitUpdate { limits: limit.into_iter().collect() }
    }

    /// Forgets limits that have ended some time ago.
    pub fn remove_ended_limits(&mut self, now_ms: u64) {
        for member in self.members.values_mut() {
            member.limit.take_if(|limit| limit.is_expired(now_ms));
        }
    }

    /// What limits of a service leave, and what this box sends of that.
    #[must_use]
    pub fn limit_usage(&self, service: &str, now_ms: u64) -> LimitUsage {
        let limits = self.of_service(service).filter_map(|(_, member)| member.limit.as_ref());
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

    /// Whether a request that was picked for an endpoint may be written to it now; it then counts as sent. `counted_ms` is
    /// when it counted as sent before, over a connection that turned out to be closed.
    #[must_use]
    pub fn try_record_send(&mut self, pick: &Pick, counted_ms: Option<u64>, now_ms: u64) -> bool {
        let Some(member) = self.member_of(pick) else { return false };
        member.on_unsent(counted_ms);
        member.accepts_requests(now_ms) && member.try_send(now_ms)
    }

    /// A request that was picked for an endpoint never reached it.
    pub fn on_unsent(&mut self, pick: &Pick, counted_ms: Option<u64>) {
        if let Some(member) = self.member_of(pick) {
            member.on_unsent(counted_ms);
        }
    }

    /// When the first of these endpoints takes another request of this box; `None` where one of them has no limit, or is
    /// free by its limit and lacks room for another reason.
    pub(super) fn first_free_ms<'a>(members: impl Iterator<Item = &'a Member>, now_ms: u64) -> Option<u64> {
        let free_ms = members.map(|member| member.limit_free_ms(now_ms).filter(|free_ms| *free_ms > now_ms));
        free_ms.collect::<Option<Vec<u64>>>()?.into_iter().min()
    }
}

fn told(id: &str, started_ms: u64, limit: &SharedLimit, now_ms: u64) -> EndpointLimit {
    EndpointLimit { endpoint: id.to_owned(), started_ms, rate: limit.rate(), age_ms: limit.age_ms(now_ms) }
}
