//! Checks whether the groups of each service have a leader, and leads those that have none.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{Candidacy, candidate_position};
use ochreyard_direct::{Dialect, Entry};
use ochreyard_rank::EngineFactory;

use crate::engine_location::EngineLocation;
use crate::leader_spawner::{LeaderSpawner, LeaderSpawners};
use crate::members::Members;
use crate::rank_discovery::{DiscoveredRank, discover_ranks};

/// Pause between checks: a fifth of the time after which a leader counts as silent.
const CHECK_PAUSE: Duration = Duration::from_millis(150);

/// Periodically checks every service whose engines form groups, until the process ends.
pub async fn watch_services<D: Dialect, F: EngineFactory>(entry: Rc<Entry<D>>, spawners: Rc<LeaderSpawners<D, F>>) {
    let mut watches: BTreeMap<String, ServiceWatch<D, F>> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_PAUSE).await;
        if entry.is_stopping.get() {
            continue;
        }
        for service in entry.grouped_services() {
            let new_watch = || ServiceWatch::new(Rc::clone(&entry), spawners.of(&service));
            watches.entry(service.clone()).or_insert_with(new_watch).check().await;
        }
    }
}

/// Checks the groups of one service.
struct ServiceWatch<D, F> {
    entry: Rc<Entry<D>>,
    service: String,
    spawner: Rc<LeaderSpawner<D, F>>,
    candidacy: Candidacy,
}

impl<D: Dialect, F: EngineFactory> ServiceWatch<D, F> {
    fn new(entry: Rc<Entry<D>>, spawner: Rc<LeaderSpawner<D, F>>) -> Self {
        Self { entry, service: spawner.service().to_owned(), spawner, candidacy: Candidacy::default() }
    }

    /// Starts to lead a group without a leader, if there is one and it is this entry's turn.
    async fn check(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let leaderless = self.entry.state.borrow().pool.leaderless_groups(&self.service, now_ms);
        let position = self.candidate_position();
        if !self.candidacy.is_due(leaderless, position, now_ms) {
            return;
        }
        metrics::counter!("ochreyard_direct_unled_groups_seen_total", "service" => self.service.clone()).increment(1);
        let discovered = discover_ranks(&self.entry, self.known_engines()).await;
        let discovered_count = discovered.len();
        let group = self.leaderless_group(discovered, position);
        log::info!(
            "event=unled_seen service={} place={position} ranks_found={discovered_count} group={}",
            self.service,
            group.as_ref().map_or("-", |members| members.group.as_str())
        );
        self.candidacy.on_attempt(self.entry.clock.now_ms());
        if let Some(members) = group {
            self.spawner.spawn(members, None);
        }
    }

    /// The position of this entry in the order of candidates. For each group that the entry leads already, and
    /// if it was recently too slow to lead, all others come first.
    fn candidate_position(&self) -> usize {
        let state = self.entry.state.borrow();
        let own = (self.entry.identity.name.as_str(), &self.entry.identity.record);
        let deferrals = self.spawner.led_count() + usize::from(self.spawner.is_slow());
        candidate_position(&self.service, own, &state.boxes) + deferrals * state.boxes.len()
    }

    fn known_engines(&self) -> Vec<EngineLocation> {
        let state = self.entry.state.borrow();
        let data_centre = &self.entry.identity.data_centre;
        state.pool.endpoints(&self.service).map(|(_, record)| EngineLocation::new(record, data_centre)).collect()
    }

    /// Selects one of the groups without a leader among the discovered ranks. Entries at different
    /// positions select different groups.
    fn leaderless_group(&self, discovered: Vec<DiscoveredRank>, position: usize) -> Option<Members> {
        let now_ms = self.entry.clock.now_ms();
        let mut groups: BTreeMap<String, Vec<DiscoveredRank>> = BTreeMap::new();
        for rank in discovered {
            groups.entry(rank.view.group.clone()).or_default().push(rank);
        }
        let state = self.entry.state.borrow();
        groups.retain(|group, ranks| {
            let is_granted = ranks.iter().any(|rank| rank.holder.is_some());
            let is_led_here = self.spawner.leads(group);
            !is_granted && !is_led_here && state.pool.is_group_leaderless(&self.service, group, now_ms)
        });
        let index = position.checked_rem(groups.len())?;
        let (group, ranks) = groups.into_iter().nth(index)?;
        let size = ranks.first()?.view.size;
        let mut members = Members::new(group, size);
        ranks.into_iter().for_each(|rank| members.add(rank));
        Some(members)
    }
}
