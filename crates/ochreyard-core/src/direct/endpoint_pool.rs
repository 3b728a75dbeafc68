//! The endpoints that an entry calls itself: how loaded they look from here,
//! which of them fail, and which gets the next request.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::catalog::{EndpointChange, EndpointRecord};
use super::group_news::GroupNews;
use crate::hash;

/// Weight of one more outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// How much an endpoint that always fails counts as more loaded.
const FAILURE_COST: f64 = 6.0;
/// How long an endpoint that cannot be reached is set aside at first, in milliseconds.
const SET_ASIDE_MS: u64 = 500;
/// The longest that it is set aside, in milliseconds.
const MAX_SET_ASIDE_MS: u64 = 4_000;
/// How much more loaded an endpoint counts that is still slow from its start.
const COLD_COST: f64 = 1.5;
/// After this time, reported load says nothing more, in milliseconds.
const LOAD_LIFE_MS: f64 = 1_500.0;

/// After this time, what a leader told of its group says nothing more, in milliseconds.
const NEWS_LIFE_MS: u64 = 1_500;
/// How long a group is passed over after one of its ranks told that another one
/// is at fault, in milliseconds; its leader knows more by then.
const FAULT_PAUSE_MS: u64 = 600;

/// Requests for each slot that an endpoint without a group may have, running and
/// waiting: what waits starts after about as many runs.
const PLAIN_DEPTH: f64 = 3.0;
/// Requests that may wait at a rank of a group: the next place is free within the
/// aim of a first event, a second one hardly.
const GROUP_WAITING: f64 = 1.0;
/// The pace of an endpoint that is as fast as usual, in thousandths.
const USUAL_PACE_PERMILLE: u64 = 1_000;
/// From this pace on a rank gets requests only where no other is left, in thousandths.
const SLOW_PACE_PERMILLE: u64 = 1_500;
/// How much more loaded a group counts whose leader has fallen silent.
const SILENT_LEADER_COST: f64 = 2.0;

/// The load that an endpoint told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub running: u64,
    /// Requests that wait there.
    pub waiting: u64,
}

/// How one attempt at an endpoint ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Good,
    /// It answered with a failure of its own, or an answer that was not whole.
    Failed,
    /// It said that it has no room.
    Full,
    /// It could not be reached or fell silent.
    Unreachable,
    /// Nothing is known: the caller went away, or the time ran out.
    Unknown,
}

/// The endpoint for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its identifier.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that this box already has there.
    pub in_flight: u64,
}

#[derive(Debug, Clone)]
struct Member {
    record: EndpointRecord,
    in_flight: u64,
    load: ReportedLoad,
    own_at_load: u64,
    load_at_ms: u64,
    failures: f64,
    unreachable_times: u32,
    aside_until_ms: u64,
    heard_ms: u64,
    group: Option<String>,
    pace_permille: u64,
}

#[derive(Debug, Clone)]
struct Group {
    is_serving: bool,
    told_ms: u64,
    fault_until_ms: u64,
}

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPick {
    /// None is left that takes work.
    Nobody,
    /// Those that take work have as much as they can serve in time.
    Full,
}

impl Member {
    const fn new(record: EndpointRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            load: ReportedLoad { running: 0, waiting: 0 },
            own_at_load: 0,
            load_at_ms: 0,
            failures: 0.0,
            unreachable_times: 0,
            aside_until_ms: 0,
            heard_ms: 0,
            group: None,
            pace_permille: USUAL_PACE_PERMILLE,
        }
    }

    /// Requests there, as far as known: our own exactly, those of other boxes from
    /// the last report, fading with its age.
    fn requests(&self, now_ms: u64) -> f64 {
        let reported = self.load.running + self.load.waiting;
        let others = reported.saturating_sub(self.own_at_load) as f64;
        let age_ms = now_ms.saturating_sub(self.load_at_ms) as f64;
        self.in_flight as f64 + others * (1.0 - age_ms / LOAD_LIFE_MS).max(0.0)
    }

    /// Whether its leader said of late that it is slow: as a rank of a group it makes
    /// every step of all others longer by its own requests.
    const fn is_slow(&self, now_ms: u64) -> bool {
        self.pace_permille >= SLOW_PACE_PERMILLE && now_ms < self.load_at_ms + NEWS_LIFE_MS
    }

    /// How loaded it counts for a comparison.
    fn pressure(&self, now_ms: u64) -> f64 {
        let slots = self.record.slots.max(1) as f64;
        let cold = if self.record.cold_ms > 0 { COLD_COST } else { 1.0 };
        (self.requests(now_ms) + 1.0) / slots * cold * (1.0 + FAILURE_COST * self.failures)
    }
}

/// The endpoints known to this box.
#[derive(Debug, Clone, Default)]
pub struct EndpointPool {
    members: HashMap<String, Member>,
    by_service: HashMap<String, Vec<String>>,
    groups: HashMap<String, Group>,
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
        {
            member.record = record;
            return;
        }
        self.remove(&id);
        self.by_service.entry(record.service.clone()).or_default().push(id.clone());
        self.members.insert(id, Member::new(record));
    }

    fn remove(&mut self, id: &str) {
        let Some(member) = self.members.remove(id) else { return };
        if let Some(ids) = self.by_service.get_mut(&member.record.service) {
            ids.retain(|other| other != id);
        }
    }

    /// Where an endpoint listens, if it is known.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    /// How many endpoints of a service take work.
    #[must_use]
    pub fn open_count(&self, service: &str) -> usize {
        self.of_service(service).filter(|(_, member)| !member.record.is_leaving).count()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id).map(|member| (id.as_str(), member)))
    }

    /// Picks the least loaded endpoint of a service that is not in `tried`.
    /// Endpoints that were set aside are used only where no other is left.
    ///
    /// # Errors
    ///
    /// When nobody takes work, or all have as much as they can serve in time.
    pub fn pick(&self, service: &str, tried: &[String], draw: u64, now_ms: u64) -> Result<Pick, NoPick> {
        let open: Vec<(&str, &Member)> = self
            .of_service(service)
            .filter(|(id, member)| !member.record.is_leaving && !tried.iter().any(|other| other == id))
            .collect();
        let is_sound = |member: &Member| {
            member.aside_until_ms <= now_ms && !member.is_slow(now_ms) && self.is_serving(member, now_ms)
        };
        let sound: Vec<(&str, &Member)> = open.iter().copied().filter(|(_, member)| is_sound(member)).collect();
        let usable = if sound.is_empty() { open } else { sound };
        if usable.is_empty() {
            return Err(NoPick::Nobody);
        }
        let with_room = usable.into_iter().filter(|(_, member)| self.has_room(member, now_ms));
        // Ties go to a place that differs from box to box, so that boxes do not all start at the same endpoint.
        let tie = |at: usize| hash::mix(draw ^ at as u64);
        let keyed =
            with_room.enumerate().map(|(at, (id, member))| (self.pressure(member, now_ms), tie(at), id, member));
        let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, _, id, member) = best.ok_or(NoPick::Full)?;
        Ok(Pick { id: id.to_owned(), addr: member.record.addr, in_flight: member.in_flight })
    }

    fn group_of(&self, member: &Member) -> Option<&Group> {
        member.group.as_ref().and_then(|name| self.groups.get(name))
    }

    /// Whether an endpoint can serve one more request in time.
    fn has_room(&self, member: &Member, now_ms: u64) -> bool {
        let slots = member.record.slots.max(1) as f64;
        let limit = if self.group_of(member).is_some() { slots + GROUP_WAITING } else { slots * PLAIN_DEPTH };
        member.requests(now_ms).round() < limit
    }

    fn pressure(&self, member: &Member, now_ms: u64) -> f64 {
        let is_silent = self.group_of(member).is_some_and(|group| now_ms >= group.told_ms + NEWS_LIFE_MS);
        member.pressure(now_ms) * if is_silent { SILENT_LEADER_COST } else { 1.0 }
    }

    /// Whether the group of an endpoint goes on, as far as known.
    fn is_serving(&self, member: &Member, now_ms: u64) -> bool {
        let Some(group) = self.group_of(member) else { return true };
        let is_fresh = now_ms < group.told_ms + NEWS_LIFE_MS;
        now_ms >= group.fault_until_ms && (group.is_serving || !is_fresh)
    }

    /// A leader told of its group.
    pub fn on_news(&mut self, news: &GroupNews, now_ms: u64) {
        let name = format!("{}/{}", news.service, news.group);
        for rank in &news.ranks {
            let Some(member) = self.members.get_mut(&rank.endpoint) else { continue };
            if member.group.as_ref() != Some(&name) {
                member.group = Some(name.clone());
            }
            member.pace_permille = rank.pace_permille;
            member.load = ReportedLoad { running: rank.running, waiting: rank.waiting };
            member.own_at_load = member.in_flight;
            member.load_at_ms = now_ms;
        }
        let group =
            self.groups.entry(name).or_insert_with(|| Group { is_serving: true, told_ms: now_ms, fault_until_ms: 0 });
        group.is_serving = news.is_serving;
        group.told_ms = now_ms;
    }

    /// An endpoint told that another rank of its group is at fault.
    pub fn on_group_fault(&mut self, id: &str, now_ms: u64) {
        let name = self.members.get(id).and_then(|member| member.group.as_ref());
        if let Some(group) = name.and_then(|name| self.groups.get_mut(name)) {
            group.fault_until_ms = now_ms + FAULT_PAUSE_MS;
        }
    }

    /// An attempt is on its way.
    pub fn on_start(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
        }
    }

    /// An attempt has ended.
    pub fn on_end(&mut self, id: &str, outcome: Outcome, now_ms: u64) {
        let Some(member) = self.members.get_mut(id) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        let failed = match outcome {
            Outcome::Good => 0.0,
            Outcome::Failed | Outcome::Unreachable => 1.0,
            Outcome::Full | Outcome::Unknown => return,
        };
        member.failures += FAILURE_WEIGHT * (failed - member.failures);
        if outcome == Outcome::Unreachable {
            let times = member.unreachable_times.min(8);
            member.aside_until_ms = now_ms + (SET_ASIDE_MS << times).min(MAX_SET_ASIDE_MS);
            member.unreachable_times += 1;
        } else if outcome == Outcome::Good {
            member.unreachable_times = 0;
            member.aside_until_ms = 0;
        }
    }

    /// An endpoint was heard: a head, an event, any byte of an answer.
    pub fn on_heard(&mut self, id: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard_ms = now_ms;
        }
    }

    /// Whether an endpoint has said nothing to this box for so long, or is gone.
    #[must_use]
    pub fn is_silent(&self, id: &str, for_ms: u64, now_ms: u64) -> bool {
        self.members.get(id).is_none_or(|member| now_ms.saturating_sub(member.heard_ms) >= for_ms)
    }

    /// An endpoint told its load.
    pub fn on_load(&mut self, id: &str, load: ReportedLoad, now_ms: u64) {
        if let Some(member) = self.members.get_mut(id) {
            member.load = load;
            member.own_at_load = member.in_flight;
            member.load_at_ms = now_ms;
        }
    }
}
