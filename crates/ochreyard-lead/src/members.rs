//! The ranks of a group and the locations of their agents and engines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ochreyard_core::group_map::RankView;
use ochreyard_direct::HttpClient;

use crate::engine_location::EngineLocation;
use crate::rank_discovery::DiscoveredRank;

/// The agent and the engine of one rank.
pub struct Member {
    /// The location of the rank's engine.
    pub engine: EngineLocation,
    /// The HTTP client for the rank's agent.
    pub agent: Rc<HttpClient>,
    /// Version of the map that the agent knows.
    pub known_map_version: Option<u64>,
}

/// The known ranks of a group.
pub struct Members {
    /// Name of the group.
    pub group: String,
    /// Number of ranks in the group.
    pub size: usize,
    by_rank: BTreeMap<usize, Member>,
}

impl Members {
    /// Creates a group without any known rank.
    pub const fn new(group: String, size: usize) -> Self {
        Self { group, size, by_rank: BTreeMap::new() }
    }

    /// The known ranks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.by_rank.iter().map(|(rank, member)| (*rank, member))
    }

    /// The member with this rank, if it is known.
    pub fn get(&self, rank: usize) -> Option<&Member> {
        self.by_rank.get(&rank)
    }

    /// The number of known ranks.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Selects up to `count` ranks whose selection counts are requested. Ranks in the data centre of this
    /// entry come first, since counts take kilobytes and bandwidth between data centres is expensive.
    pub fn sampled_ranks(&self, count: usize) -> BTreeSet<usize> {
        let (near, far): (Vec<_>, Vec<_>) = self.iter().partition(|(_, member)| member.engine.is_same_data_centre);
        near.into_iter().chain(far).map(|(rank, _)| rank).take(count).collect()
    }

    /// Whether the engine at this address is one of the known ranks.
    pub fn has_engine(&self, addr: SocketAddr) -> bool {
        self.by_rank.values().any(|member| member.engine.addr == addr)
    }

    /// Whether a view was reported by this rank of this group.
    pub fn matches_view(&self, rank: usize, view: &RankView) -> bool {
        view.rank == rank && view.size == self.size && view.group == self.group
    }

    /// Records which map the agent of a rank knows.
    pub fn record_known_map(&mut self, rank: usize, version: Option<u64>) {
        if let Some(member) = self.by_rank.get_mut(&rank) {
            member.known_map_version = version;
        }
    }

    /// Adds a rank that a former leader handed over.
    pub fn add_handed_over(&mut self, rank: usize, engine: EngineLocation, agent: Rc<HttpClient>) {
        self.by_rank.insert(rank, Member { engine, agent, known_map_version: None });
    }

    /// Adds a discovered rank. A rank that has moved to another engine replaces its former entry.
    pub fn add(&mut self, discovered: DiscoveredRank) {
        let rank = discovered.view.rank;
        let is_known = self.by_rank.get(&rank).is_some_and(|member| member.engine == discovered.engine);
        if is_known || !self.matches_view(rank, &discovered.view) {
            return;
        }
        self.by_rank
            .insert(rank, Member { engine: discovered.engine, agent: discovered.agent, known_map_version: None });
    }
}
