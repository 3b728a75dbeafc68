//! Looks whether the groups of a service are led, and leads those that are not.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{Candidacy, candidate_position};
use ochreyard_direct::{Dialect, Entry};
use ochreyard_rank::EngineFactory;

use crate::engine_at::EngineAt;
use crate::found_rank::{FoundRank, look_at};
use crate::leader::Leader;
use crate::members::Members;
use crate::settings::LeaderSettings;

/// Pause between looks: a fifth of the time after which a leader counts as silent.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// How long a box that was too slow to lead lets all others ask before it, in milliseconds.
const SLOW_MS: u64 = 10_000;

/// Names of the groups that this entry leads, or tries to lead.
type LedGroups = Rc<RefCell<BTreeSet<String>>>;

/// Watches every service whose engines form groups.
pub async fn watch_services<D: Dialect, S: EngineFactory>(entry: Rc<Entry<D>>, engines: S, settings: LeaderSettings) {
    let mut watches: BTreeMap<String, ServiceWatch<D, S>> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        if entry.is_stopping.get() {
            continue;
        }
        for service in entry.grouped_services() {
            let new_watch = || ServiceWatch::new(Rc::clone(&entry), engines.clone(), service.clone(), settings);
            watches.entry(service.clone()).or_insert_with(new_watch).look().await;
        }
    }
}

/// Watches one service.
struct ServiceWatch<D, S> {
    entry: Rc<Entry<D>>,
    engines: S,
    service: String,
    settings: LeaderSettings,
    candidacy: Candidacy,
    led: LedGroups,
    slow_until_ms: Rc<Cell<u64>>,
}

impl<D: Dialect, S: EngineFactory> ServiceWatch<D, S> {
    fn new(entry: Rc<Entry<D>>, engines: S, service: String, settings: LeaderSettings) -> Self {
        let (candidacy, led) = (Candidacy::default(), LedGroups::default());
        Self { entry, engines, service, settings, candidacy, led, slow_until_ms: Rc::default() }
    }

    /// Leads a group that nobody leads, if there is one and it is this entry's turn.
    async fn look(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let unled = self.entry.state.borrow().pool.leaderless_groups(&self.service, now_ms);
        let place = self.place();
        if !self.candidacy.is_due(unled, place, now_ms) {
            return;
        }
        metrics::counter!("ochreyard_direct_unled_groups_seen_total", "service" => self.service.clone()).increment(1);
        let found = look_at(&self.entry, self.engines_known()).await;
        let found_count = found.len();
        let group = self.unled_group(found, place);
        log::info!(
            "event=unled_seen service={} place={place} ranks_found={found_count} group={}",
            self.service,
            group.as_ref().map_or("-", |members| members.group.as_str())
        );
        self.candidacy.on_attempt(self.entry.clock.now_ms());
        if let Some(members) = group {
            self.start_leading(members);
        }
    }

    /// The place of this entry in the order of those that ask. One that leads a group
    /// already, or was too slow, leaves the next one to others first.
    fn place(&self) -> usize {
        let state = self.entry.state.borrow();
        let own = (self.entry.identity.name.as_str(), &self.entry.identity.record);
        let is_slow = self.entry.clock.now_ms() < self.slow_until_ms.get();
        let passes = self.led.borrow().len() + usize::from(is_slow);
        candidate_position(&self.service, own, &state.boxes) + passes * state.boxes.len()
    }

    fn engines_known(&self) -> Vec<EngineAt> {
        let state = self.entry.state.borrow();
        let data_centre = &self.entry.identity.data_centre;
        state.pool.endpoints(&self.service).map(|(_, record)| EngineAt::new(record, data_centre)).collect()
    }

    /// One of the groups among the found ranks that nobody leads. Entries at different
    /// places try different ones.
    fn unled_group(&self, found: Vec<FoundRank>, place: usize) -> Option<Members> {
        let now_ms = self.entry.clock.now_ms();
        let mut groups: BTreeMap<String, Vec<FoundRank>> = BTreeMap::new();
        for rank in found {
            groups.entry(rank.view.group.clone()).or_default().push(rank);
        }
        let state = self.entry.state.borrow();
        groups.retain(|group, ranks| {
            let is_granted = ranks.iter().any(|rank| rank.holder.is_some());
            let is_tried = self.led.borrow().contains(group);
            !is_granted && !is_tried && state.pool.is_group_leaderless(&self.service, group, now_ms)
        });
        let at = place.checked_rem(groups.len())?;
        let (group, ranks) = groups.into_iter().nth(at)?;
        let size = ranks.first()?.view.size;
        let mut members = Members::new(group, size);
        ranks.into_iter().for_each(|rank| members.note(rank));
        Some(members)
    }

    fn start_leading(&self, members: Members) {
        let (led, group) = (Rc::clone(&self.led), members.group.clone());
        led.borrow_mut().insert(group.clone());
        let entry = Rc::clone(&self.entry);
        let slow_until_ms = Rc::clone(&self.slow_until_ms);
        let leader = Leader::new(Rc::clone(&entry), self.engines.clone(), &self.service, members, self.settings);
        tokio::task::spawn_local(async move {
            if leader.run().await {
                slow_until_ms.set(entry.clock.now_ms() + SLOW_MS);
            }
            led.borrow_mut().remove(&group);
        });
    }
}
