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
/// After this time, reported load says nothing more, in milliseconds.
const LOAD_LIFE_MS: f64 = 1_500.0;

/// After this time, what a leader told of its group says nothing more, in milliseconds.
const NEWS_LIFE_MS: u64 = 1_500;
/// How long a group is passed over after one of its ranks told that another one
/// is at fault, in milliseconds; its leader knows more by then.
const FAULT_PAUSE_MS: u64 = 600;

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
}

#[derive(Debug, Clone, Default)]
struct Group {
    is_serving: bool,
    step_ms: f64,
    told_ms: u64,
    fault_until_ms: u64,
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
        }
    }

    /// Requests there for each slot, as far as known: our own exactly, those of
    /// other boxes from the last report, fading with its age.
    fn pressure(&self, now_ms: u64) -> f64 {
        let reported = self.load.running + self.load.waiting;
        let others = reported.saturating_sub(self.own_at_load) as f64;
        let age_ms = now_ms.saturating_sub(self.load_at_ms) as f64;
        let faded = others * (1.0 - age_ms / LOAD_LIFE_MS).max(0.0);
        let slots = self.record.slots.max(1) as f64;
        let cold = if self.record.cold_ms > 0 { 1.5 } else { 1.0 };
        (self.in_flight as f64 + faded + 1.0) / slots * cold * (1.0 + FAILURE_COST * self.failures)
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
    #[must_use]
    pub fn pick(&self, service: &str, tried: &[String], draw: u64, now_ms: u64) -> Option<Pick> {
        let open = || {
            let members = self.of_service(service).enumerate();
            members.filter(|(_, (id, member))| !member.record.is_leaving && !tried.iter().any(|other| other == id))
        };
        let sound =
            open().filter(|(_, (_, member))| member.aside_until_ms <= now_ms && self.is_serving(member, now_ms));
        let best = least_loaded(sound, draw, now_ms).or_else(|| least_loaded(open(), draw, now_ms))?;
        let (id, member) = best;
        Some(Pick { id: id.to_owned(), addr: member.record.addr, in_flight: member.in_flight })
    }

    /// Whether the group of an endpoint goes on, as far as known.
    fn is_serving(&self, member: &Member, now_ms: u64) -> bool {
        let Some(group) = member.group.as_ref().and_then(|name| self.groups.get(name)) else { return true };
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
            member.load = ReportedLoad { running: rank.running, waiting: rank.waiting };
            member.own_at_load = member.in_flight;
            member.load_at_ms = now_ms;
        }
        let group = self.groups.entry(name).or_default();
        group.is_serving = news.is_serving;
        group.step_ms = news.step_ms;
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

fn least_loaded<'a>(
    members: impl Iterator<Item = (usize, (&'a str, &'a Member))>,
    draw: u64,
    now_ms: u64,
) -> Option<(&'a str, &'a Member)> {
    // Ties go to a place that differs from box to box, so that boxes do not all start at the same endpoint.
    let tie = |at: usize| hash::mix(draw ^ at as u64);
    let keyed = members.map(|(at, (id, member))| (member.pressure(now_ms), tie(at), id, member));
    let best = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
    Some((best.2, best.3))
}
