//! The endpoints that an entry calls itself: how loaded they look from here,
//! which of them fail, and which gets the next request.

mod asking;
mod group;
mod member;
mod no_pick;
mod notice;
mod outcome;
mod pick;
mod reported_load;
mod slow_start;

use std::collections::HashMap;

pub use self::asking::Asking;
use self::group::Group;
use self::member::Member;
pub use self::no_pick::NoPick;
pub use self::notice::Notice;
pub use self::outcome::Outcome;
pub use self::pick::Pick;
pub use self::reported_load::ReportedLoad;
use super::catalog::{EndpointChange, EndpointRecord};
use super::endpoint_life::EndpointLife;
use super::endpoint_signals::EndpointSignals;
use super::group_news::GroupNews;
use super::waiting::Urgency;
use crate::hash;

/// After this time, what a leader told of its group says nothing more, in milliseconds.
const NEWS_LIFE_MS: u64 = 1_500;
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

/// The endpoints known to this box.
#[derive(Debug, Clone, Default)]
pub struct EndpointPool {
    members: HashMap<String, Member>,
    by_service: HashMap<String, Vec<String>>,
    groups: HashMap<String, Group>,
    /// What lives have asked for that have no record now: one that lapsed may come back.
    parted: HashMap<EndpointLife, Notice>,
    /// Endpoints that became known, and groups that began to stand, are numbered in their order.
    events: u64,
}

impl EndpointPool {
    /// An empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Follows a change of the catalog.
    pub fn apply(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Known(id, record) => self.put(id, record),
            EndpointChange::Gone(id) => self.remove(&id),
        }
    }

    fn put(&mut self, id: String, record: EndpointRecord) {
        if let Some(member) = self.members.get_mut(&id)
            && member.record.service == record.service
            && member.record.born_ms == record.born_ms
        {
            member.record = record;
            return;
        }
        self.remove(&id);
        self.by_service.entry(record.service.clone()).or_default().push(id.clone());
        self.events += 1;
        let life = EndpointLife { id, born_ms: record.born_ms };
        let notice = self.parted.remove(&life).unwrap_or_default();
        self.members.insert(life.id, Member::new(record, self.events, notice));
    }

    fn remove(&mut self, id: &str) {
        let Some(member) = self.members.remove(id) else { return };
        if member.notice != Notice::default() {
            let life = EndpointLife { id: id.to_owned(), born_ms: member.record.born_ms };
            self.parted.insert(life, member.notice);
        }
        if let Some(ids) = self.by_service.get_mut(&member.record.service) {
            ids.retain(|other| other != id);
        }
    }

    /// The record of an endpoint, if it is known.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id).map(|member| (id.as_str(), member)))
    }

    /// Picks an endpoint of a service that is not in `tried`: the least loaded of a few drawn ones.
    /// Endpoints that were set aside are used only where no other is left; those that asked for a pause, never.
    ///
    /// # Errors
    ///
    /// When nobody takes work, all have asked for a pause or have as much as they can serve in time, or all groups stand.
    pub fn pick(
        &self,
        service: &str,
        tried: &[EndpointLife],
        urgency: Urgency,
        draw: u64,
        now_ms: u64,
    ) -> Result<Pick, NoPick> {
        if self.is_down(service, now_ms) {
            return Err(NoPick::Stands);
        }
        let is_left =
            |id: &str, member: &Member| member.takes_work() && !tried.iter().any(|life| member.is_life(id, life));
        let left = || self.of_service(service).filter(|(id, member)| is_left(id, member));
        let open: Vec<(&str, &Member)> = left().filter(|(_, member)| member.is_welcome(now_ms)).collect();
        let is_sound =
            |member: &Member| !member.is_aside(now_ms) && !member.is_slow(now_ms) && self.is_serving(member, now_ms);
        let sound: Vec<(&str, &Member)> = open.iter().copied().filter(|(_, member)| is_sound(member)).collect();
        let usable = if sound.is_empty() { open } else { sound };
        if usable.is_empty() {
            let first_end_ms = left().filter_map(|(_, member)| member.notice.backoff_until_ms(now_ms)).min();
            return Err(first_end_ms.map_or(NoPick::Nobody, |until_ms| NoPick::Paused { until_ms }));
        }
        let with_room = usable.into_iter().filter(|(_, member)| self.has_room(member, urgency, now_ms));
        let shuffled = with_room.enumerate().map(|(at, found)| (hash::mix(draw ^ at as u64), found));
        let mut shuffled: Vec<(u64, (&str, &Member))> = shuffled.collect();
        shuffled.sort_unstable_by_key(|(key, _)| *key);
        let compared = shuffled.into_iter().take(COMPARED).map(|(_, found)| found);
        let best = compared.min_by(|a, b| self.pressure(a.1, now_ms).total_cmp(&self.pressure(b.1, now_ms)));
        let (id, member) = best.ok_or(NoPick::Full)?;
        Ok(Pick {
            id: id.to_owned(),
            born_ms: member.record.born_ms,
            addr: member.record.addr,
            in_flight: member.in_flight,
            urgency,
        })
    }

    /// Whether all groups of a service are known to stand or to be broken.
    #[must_use]
    pub fn is_down(&self, service: &str, now_ms: u64) -> bool {
        let mut members = self.of_service(service).filter(|(_, member)| member.takes_work()).peekable();
        members.peek().is_some() && members.all(|(_, member)| !self.is_serving(member, now_ms))
    }

    fn group_of(&self, member: &Member) -> Option<&Group> {
        member.group.as_ref().and_then(|name| self.groups.get(name))
    }

    fn group_of_mut(&mut self, id: &str) -> Option<&mut Group> {
        let name = self.members.get(id).and_then(|member| member.group.as_ref())?;
        self.groups.get_mut(name)
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
            Urgency::InAim => most,
        };
        member.admits_one_more() && member.requests(now_ms).round() < limit
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
    fn is_serving(&self, member: &Member, now_ms: u64) -> bool {
        let is_missing_in = |group: &Group| !group.is_serving(now_ms) && group.stood() < member.known();
        match self.group_of(member) {
            Some(group) => group.is_serving(now_ms),
            None => !self.groups_of(&member.record.service).any(is_missing_in),
        }
    }

    fn groups_of(&self, service: &str) -> impl Iterator<Item = &Group> {
        let is_of_service = move |name: &str| name.strip_prefix(service).is_some_and(|rest| rest.starts_with('/'));
        self.groups.iter().filter(move |(name, _)| is_of_service(name)).map(|(_, group)| group)
    }

    /// A leader, or an observer, told of its group.
    pub fn on_news(&mut self, news: &GroupNews, now_ms: u64) {
        let name = group_name(&news.service, &news.group);
        self.events += 1;
        let event = self.events;
        let group = self.groups.entry(name.clone()).or_insert_with(|| Group::new(now_ms));
        if !group.on_news(news, event, now_ms) {
            return;
        }
        for rank in &news.ranks {
            let Some(member) = self.members.get_mut(&rank.endpoint) else { continue };
            if member.group.as_ref() != Some(&name) {
                member.group = Some(name.clone());
            }
            member.pace_permille = rank.pace_permille;
            member.on_load(ReportedLoad { running: rank.running, waiting: rank.waiting }, now_ms);
            if news.is_serving {
                member.on_told_serving(now_ms);
            }
        }
    }

    /// Whether a group is led by nobody, as far as known.
    #[must_use]
    pub fn is_unled(&self, service: &str, group: &str, now_ms: u64) -> bool {
        self.groups.get(&group_name(service, group)).is_none_or(|group| group.is_unled(now_ms))
    }

    /// Whether a known group of a service is led by nobody.
    #[must_use]
    pub fn has_unled_group(&self, service: &str, now_ms: u64) -> bool {
        let mut groups = self.of_service(service).filter_map(|(_, member)| self.group_of(member));
        groups.any(|group| group.is_unled(now_ms))
    }

    /// Whether a group of a service is known.
    #[must_use]
    pub fn knows_group(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, member)| self.group_of(member).is_some())
    }

    /// Whether an endpoint of a service belongs to no group that is known.
    #[must_use]
    pub fn has_endpoint_without_group(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, member)| member.takes_work() && self.group_of(member).is_none())
    }

    /// The records of the endpoints of a service that are not known to be in a group other
    /// than `group`.
    pub fn outside_other_groups(&self, service: &str, group: &str) -> impl Iterator<Item = &EndpointRecord> {
        let name = group_name(service, group);
        let fits = move |member: &Member| member.group.as_ref().is_none_or(|other| *other == name);
        self.of_service(service).filter(move |(_, member)| fits(member)).map(|(_, member)| &member.record)
    }

    /// The endpoints of a service, each with its record.
    pub fn endpoints(&self, service: &str) -> impl Iterator<Item = (&str, &EndpointRecord)> {
        self.of_service(service).map(|(id, member)| (id, &member.record))
    }

    /// An endpoint told that another rank of its group is at fault.
    pub fn on_group_fault(&mut self, id: &str, now_ms: u64) {
        self.events += 1;
        let event = self.events;
        if let Some(group) = self.group_of_mut(id) {
            group.on_fault(event, now_ms);
        }
    }

    /// An endpoint crashed at `at_ms`: its whole group stands.
    pub fn on_crash(&mut self, id: &str, at_ms: u64) {
        self.events += 1;
        let event = self.events;
        if let Some(group) = self.group_of_mut(id) {
            group.on_crash(event, at_ms);
        }
    }

    /// An attempt is on its way.
    pub fn on_start(&mut self, pick: &Pick) {
        if let Some(member) = self.member_of(pick) {
            member.on_start(pick.urgency);
        }
    }

    /// An attempt has ended. One at a life before says nothing of the present one.
    pub fn on_end(&mut self, pick: &Pick, outcome: Outcome, now_ms: u64) {
        if let Some(member) = self.member_of(pick) {
            member.on_end(pick.urgency, outcome, now_ms);
        }
    }

    /// The endpoint that was picked, if it still lives the same life.
    fn picked(&self, pick: &Pick) -> Option<&Member> {
        self.members.get(&pick.id).filter(|member| member.record.born_ms == pick.born_ms)
    }

    /// The same, to be changed.
    fn member_of(&mut self, pick: &Pick) -> Option<&mut Member> {
        self.members.get_mut(&pick.id).filter(|member| member.record.born_ms == pick.born_ms)
    }

    /// An endpoint was heard: a head, an event, any byte of an answer.
    pub fn on_heard(&mut self, id: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.on_heard(now_ms);
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
    pub fn should_leave(&self, id: &str, service: &str, tried: &[EndpointLife], now_ms: u64) -> bool {
        let is_slow = |id: &str| self.members.get(id).is_some_and(|member| member.is_slow(now_ms));
        let other = || self.pick(service, tried, Urgency::InAim, 0, now_ms).ok();
        is_slow(id) && other().is_some_and(|pick| pick.id != id && !is_slow(&pick.id))
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
        self.parted.retain(|_, notice| notice.is_recent(now_ms));
        if let Some(backoff_ms) = signals.backoff_ms {
            match self.member_of(pick) {
                Some(member) => member.on_backoff(backoff_ms, now_ms),
                None => self.parted.entry(pick.life()).or_default().on_backoff(backoff_ms, now_ms),
            }
        }
        if signals.is_leaving {
            self.notice_mut(pick).on_leaving(now_ms);
        }
    }

    fn notice_mut(&mut self, pick: &Pick) -> &mut Notice {
        let member = self.members.get_mut(&pick.id).filter(|member| member.record.born_ms == pick.born_ms);
        match member {
            Some(member) => &mut member.notice,
            None => self.parted.entry(pick.life()).or_default(),
        }
    }

    /// Whether a request may still be sent to the endpoint that was picked for it: what it or its record says may have
    /// changed while a connection came up.
    #[must_use]
    pub fn is_welcome(&self, pick: &Pick, now_ms: u64) -> bool {
        self.picked(pick).is_some_and(|member| member.is_welcome(now_ms))
    }

    /// Whether an endpoint that was picked has left since, or is about to.
    #[must_use]
    pub fn has_left(&self, pick: &Pick) -> bool {
        !self.picked(pick).is_some_and(Member::takes_work)
    }

    /// How many endpoints of a service ask this box for something.
    #[must_use]
    pub fn asking(&self, service: &str, now_ms: u64) -> Asking {
        let is_paused = |member: &Member| member.takes_work() && !member.is_welcome(now_ms);
        Asking {
            paused: self.of_service(service).filter(|(_, member)| is_paused(member)).count(),
            leaving: self.of_service(service).filter(|(_, member)| !member.takes_work()).count(),
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

    /// What the picked life of an endpoint has asked for.
    #[must_use]
    pub fn notice(&self, pick: &Pick) -> Notice {
        let member = self.picked(pick);
        let parted = || self.parted.get(&pick.life()).copied();
        member.map(|member| member.notice).or_else(parted).unwrap_or_default()
    }
}

/// The name under which a group is kept: groups of two services may be called alike.
fn group_name(service: &str, group: &str) -> String {
    format!("{service}/{group}")
}
