//! The replicas of experts that each rank holds.

use serde::{Deserialize, Serialize};

/// The replicas of one layer's experts on the ranks of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    experts: usize,
    ranks: Vec<Vec<usize>>,
    replicas: Vec<u32>,
}

impl Placement {
    /// Distributes the experts in order over the ranks, each with one replica; the remaining
    /// slots hold further replicas of the first experts.
    ///
    /// # Panics
    ///
    /// When there are fewer slots than experts.
    #[must_use]
    pub fn even(experts: usize, ranks: usize, slots_per_rank: usize) -> Self {
        assert!(ranks * slots_per_rank >= experts, "each expert needs a slot");
        let mut placement = Self { experts, ranks: vec![Vec::new(); ranks], replicas: vec![0; experts] };
        for slot in 0..ranks * slots_per_rank {
            let expert = slot % experts;
            let fits = |rank: &usize| {
                let held = &placement.ranks[*rank];
                held.len() < slots_per_rank && !held.contains(&expert)
            };
            let rank = (0..ranks).filter(fits).min_by_key(|rank| placement.ranks[*rank].len());
            if let Some(rank) = rank {
                placement.ranks[rank].push(expert);
                placement.replicas[expert] += 1;
            }
        }
        placement
    }

    /// Creates the greedy placement for these loads: hotter experts get more replicas, and then
    /// replicas are assigned to the least loaded rank, the heaviest replica first.
    ///
    /// # Panics
    ///
    /// When there are fewer slots than experts.
    #[must_use]
    pub fn greedy(loads: &[f64], ranks: usize, slots_per_rank: usize) -> Self {
        let experts = loads.len();
        assert!(ranks * slots_per_rank >= experts, "each expert needs a slot");
        let mut wanted = vec![1u32; experts];
        for _ in experts..ranks * slots_per_rank {
            let share = |expert: &usize| loads[*expert] / f64::from(wanted[*expert]);
            let candidates = (0..experts).filter(|expert| (wanted[*expert] as usize) < ranks);
            let Some(hottest) = candidates.max_by(|a, b| share(a).total_cmp(&share(b))) else { break };
            wanted[hottest] += 1;
        }
        let share = |expert: usize| loads[expert] / f64::from(wanted[expert]);
        let mut order: Vec<usize> = (0..experts).collect();
        order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
        let mut placement = Self { experts, ranks: vec![Vec::new(); ranks], replicas: vec![0; experts] };
        let mut assigned_load = vec![0.0_f64; ranks];
        for expert in order {
            for _ in 0..wanted[expert] {
                let fits = |rank: &usize| {
                    let held = &placement.ranks[*rank];
                    held.len() < slots_per_rank && !held.contains(&expert)
                };
                let lightest = (0..ranks).filter(fits).min_by(|a, b| assigned_load[*a].total_cmp(&assigned_load[*b]));
                let Some(rank) = lightest else { continue };
                placement.ranks[rank].push(expert);
                placement.replicas[expert] += 1;
                assigned_load[rank] += share(expert);
            }
        }
        placement.place_unplaced_experts(slots_per_rank);
        placement
    }

    /// Places each expert without a replica into a free slot, or else in place of another expert's spare replica.
    fn place_unplaced_experts(&mut self, slots_per_rank: usize) {
        let unplaced: Vec<usize> = (0..self.experts).filter(|expert| self.replicas[*expert] == 0).collect();
        for expert in unplaced {
            if let Some(rank) = (0..self.ranks.len()).find(|rank| self.ranks[*rank].len() < slots_per_rank) {
                self.ranks[rank].push(expert);
                self.replicas[expert] += 1;
                continue;
            }
            let spare = (0..self.ranks.len())
                .flat_map(|rank| (0..self.ranks[rank].len()).map(move |slot| (rank, slot)))
                .find(|(rank, slot)| self.replicas[self.ranks[*rank][*slot]] > 1);
            if let Some((rank, slot)) = spare {
                self.replace(rank, slot, expert);
            }
        }
    }

    /// The number of experts.
    #[must_use]
    pub const fn experts(&self) -> usize {
        self.experts
    }

    /// The experts that each rank holds.
    #[must_use]
    pub fn ranks(&self) -> &[Vec<usize>] {
        &self.ranks
    }

    /// The number of replicas of an expert.
    #[must_use]
    pub fn replicas(&self, expert: usize) -> u32 {
        self.replicas[expert]
    }

    /// Replaces the expert in a slot by `expert`.
    pub fn replace(&mut self, rank: usize, slot: usize, expert: usize) {
        let old = std::mem::replace(&mut self.ranks[rank][slot], expert);
        self.replicas[old] -= 1;
        self.replicas[expert] += 1;
    }

    /// The load of each rank: replicas of an expert share its load evenly.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let share = |expert: &usize| loads[*expert] / f64::from(self.replicas[*expert]);
        self.ranks.iter().map(|held| held.iter().map(share).sum()).collect()
    }

    /// The same placement with its ranks permuted so that few replicas must be copied from
    /// `current`: each rank in turn takes the remaining expert set that overlaps most with its own.
    #[must_use]
    pub fn relabeled_to_match(&self, current: &Self) -> Self {
        let mut remaining: Vec<&Vec<usize>> = self.ranks.iter().collect();
        let overlap = |held: &[usize], other: &[usize]| other.iter().filter(|expert| held.contains(expert)).count();
        let take_best_match = |held: &Vec<usize>| {
            let best = (0..remaining.len()).max_by_key(|at| overlap(held, remaining[*at])).unwrap_or(0);
            remaining.swap_remove(best).clone()
        };
        let ranks = current.ranks.iter().map(take_best_match).collect();
        Self { experts: self.experts, ranks, replicas: self.replicas.clone() }
    }

    /// The number of replicas that must be copied to get from `self` to `next`.
    #[must_use]
    pub fn copies_to_reach(&self, next: &Self) -> usize {
        let missing =
            |(old, new): (&Vec<usize>, &Vec<usize>)| new.iter().filter(|expert| !old.contains(expert)).count();
        self.ranks.iter().zip(&next.ranks).map(missing).sum()
    }
}

/// The largest rank load relative to the mean rank load: 1.0 is even.
#[must_use]
pub fn skew(rank_loads: &[f64]) -> f64 {
    let sum: f64 = rank_loads.iter().sum();
    if sum <= 0.0 {
        return 1.0;
    }
    let largest = rank_loads.iter().copied().fold(0.0, f64::max);
    largest * rank_loads.len() as f64 / sum
}
