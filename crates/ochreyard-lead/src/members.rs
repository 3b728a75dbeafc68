//! The ranks of a group: where their agents and engines are.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ochreyard_core::group_map::RankView;
use ochreyard_direct::HttpClient;

use crate::engine_at::EngineAt;
use crate::found_rank::FoundRank;

/// One rank: its agent and its engine.
pub struct Member {
    /// Where its engine is.
    pub engine: EngineAt,
    /// The connection to its agent.
    pub link: Rc<HttpClient>,
    /// Number of the map that its agent knows.
    pub known_map_version: Option<u64>,
}

/// The ranks of a group, as far as they are known.
pub struct Members {
    /// Name of the group.
    pub group: String,
    /// How many ranks it has.
    pub size: usize,
    by_rank: BTreeMap<usize, Member>,
}

impl Members {
    /// A group none of whose ranks is known yet.
    pub const fn new(group: String, size: usize) -> Self {
        Self { group, size, by_rank: BTreeMap::new() }
    }

    /// Every known rank, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.by_rank.iter().map(|(rank, member)| (*rank, member))
    }

    /// One rank, if it is known.
    pub fn get(&self, rank: usize) -> Option<&Member> {
        self.by_rank.get(&rank)
    }

    /// How many ranks are known.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// The ranks whose counts are asked for: `count` of them, near ones first, since counts
    /// take kilobytes, which are dear between data centres.
    pub fn counted(&self, count: usize) -> BTreeSet<usize> {
        let (near, far): (Vec<_>, Vec<_>) = self.iter().partition(|(_, member)| member.engine.is_near);
        near.into_iter().chain(far).map(|(rank, _)| rank).take(count).collect()
    }

    /// Whether an engine at this address is one of the ranks.
    pub fn has_engine(&self, addr: SocketAddr) -> bool {
        self.by_rank.values().any(|member| member.engine.addr == addr)
    }

    /// Whether a view is that of a rank of this group.
    pub fn fits(&self, rank: usize, view: &RankView) -> bool {
        view.rank == rank && view.size == self.size && view.group == self.group
    }

    /// Notes which map the agent of a rank knows.
    pub fn note_map(&mut self, rank: usize, version: Option<u64>) {
        if let Some(member) = self.by_rank.get_mut(&rank) {
            member.known_map_version = version;
        }
    }

    /// Notes a rank that was found; one that has moved to another engine is known anew.
    pub fn note(&mut self, found: FoundRank) {
        let rank = found.view.rank;
        let is_known = self.by_rank.get(&rank).is_some_and(|member| member.engine == found.engine);
        if is_known || !self.fits(rank, &found.view) {
            return;
        }
        self.by_rank.insert(rank, Member { engine: found.engine, link: found.link, known_map_version: None });
    }
}
