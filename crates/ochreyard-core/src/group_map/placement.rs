//! The experts that each rank holds, for all sets of a group.

use serde::{Deserialize, Serialize};

/// Experts by set and rank. The experts of a rank are sorted, so that each map has a single
/// representation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    experts: usize,
    sets: Vec<Vec<Vec<u16>>>,
}

impl GroupPlacement {
    /// The placement that a group starts with: experts distributed over the ranks in turn.
    #[must_use]
    pub fn round_robin(sets: usize, experts: usize, ranks: usize) -> Self {
        let of_rank = |rank: usize| (rank..experts).step_by(ranks.max(1)).map(expert_number).collect();
        let set: Vec<Vec<u16>> = (0..ranks).map(of_rank).collect();
        Self { experts, sets: vec![set; sets] }
    }

    /// Builds a placement from the reports of the ranks, which list experts by rank and set.
    #[must_use]
    pub fn from_ranks(experts: usize, ranks: &[Vec<Vec<u16>>]) -> Self {
        let sets = ranks.first().map_or(0, Vec::len);
        let set = |at: usize| ranks.iter().map(|held| held.get(at).cloned().unwrap_or_default()).collect();
        Self { experts, sets: sorted((0..sets).map(set).collect()) }
    }

    /// Builds a placement from the experts by set and rank.
    pub(super) fn from_sets(experts: usize, sets: Vec<Vec<Vec<u16>>>) -> Self {
        Self { experts, sets: sorted(sets) }
    }

    /// The number of experts in a set.
    #[must_use]
    pub const fn experts(&self) -> usize {
        self.experts
    }

    /// The experts by set and rank.
    #[must_use]
    pub fn sets(&self) -> &[Vec<Vec<u16>>] {
        &self.sets
    }

    /// A placement of the same number of experts with other sets.
    pub(super) fn with_sets(&self, sets: Vec<Vec<Vec<u16>>>) -> Self {
        Self { experts: self.experts, sets: sorted(sets) }
    }

    /// Whether each expert of each set is held by at least one rank, and no other one is.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let is_complete = |set: &Vec<Vec<u16>>| {
            let mut is_held = vec![false; self.experts];
            let are_known = set.iter().flatten().all(|expert| {
                let slot = is_held.get_mut(usize::from(*expert));
                slot.map(|slot| *slot = true).is_some()
            });
            are_known && is_held.into_iter().all(|is_held| is_held)
        };
        self.sets.iter().all(is_complete)
    }

    /// The load of the most loaded rank relative to the mean load, where sets are weighted by
    /// their demand. `demand` holds the load of each expert, set by set. A rank's load is
    /// multiplied by its slowdown, which is 1 at the usual speed.
    #[must_use]
    pub fn skew(&self, demand: &[f64], slowdowns: &[f64]) -> f64 {
        let ranks = self.sets.first().map_or(1, Vec::len) as f64;
        let set_demand = |set: usize| &demand[set * self.experts..(set + 1) * self.experts];
        let max_load: f64 =
            (0..self.sets.len()).map(|set| max_rank_load(&self.sets[set], set_demand(set), slowdowns)).sum();
        let total: f64 = demand.iter().sum();
        if total > 0.0 { max_load * ranks / total } else { 1.0 }
    }
}

fn sorted(mut sets: Vec<Vec<Vec<u16>>>) -> Vec<Vec<Vec<u16>>> {
    sets.iter_mut().flatten().for_each(|held| held.sort_unstable());
    sets
}

fn expert_number(expert: usize) -> u16 {
    u16::try_from(expert).unwrap_or(u16::MAX)
}

/// Counts the ranks that hold each expert.
pub(super) fn replica_counts(set: &[Vec<u16>], experts: usize) -> Vec<u32> {
    let mut replicas = vec![0; experts];
    set.iter().flatten().for_each(|expert| replicas[usize::from(*expert)] += 1);
    replicas
}

/// The load of each rank, multiplied by its slowdown: ranks that hold an expert share its load evenly.
pub(super) fn rank_loads(set: &[Vec<u16>], demand: &[f64], slowdowns: &[f64]) -> Vec<f64> {
    let replicas = replica_counts(set, demand.len());
    let share = |expert: &u16| demand[usize::from(*expert)] / f64::from(replicas[usize::from(*expert)].max(1));
    set.iter().zip(slowdowns).map(|(held, slowdown)| slowdown * held.iter().map(share).sum::<f64>()).collect()
}

fn max_rank_load(set: &[Vec<u16>], demand: &[f64], slowdowns: &[f64]) -> f64 {
    rank_loads(set, demand, slowdowns).into_iter().fold(0.0, f64::max)
}
