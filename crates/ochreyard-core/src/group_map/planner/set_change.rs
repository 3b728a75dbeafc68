//! One change of the experts of one set.

/// How many times the gain of a change without copies counts, so that it comes before
/// one with a single copy of up to as many times its gain.
const FREE_CHANGE_FACTOR: f64 = 4.0;
/// The most experts that one change touches: two that are added, two that are dropped.
const MAX_TOUCHED: usize = 4;

/// One change of one set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SetChange {
    /// An expert that goes to this rank.
    pub add: Option<(u16, usize)>,
    /// Experts that are dropped, at which ranks.
    pub drop: [Option<(u16, usize)>; 2],
    /// A second expert that goes to the other rank of a swap.
    pub add_back: Option<(u16, usize)>,
    /// By how much it lowers the load of the most loaded rank.
    pub gain: f64,
}

impl SetChange {
    /// Copies that it takes at most.
    fn copies(&self) -> usize {
        usize::from(self.add.is_some()) + usize::from(self.add_back.is_some())
    }

    /// Gain for each copy; a change without copies comes first.
    pub fn worth(&self) -> f64 {
        match self.copies() {
            0 => self.gain * FREE_CHANGE_FACTOR,
            copies => self.gain / copies as f64,
        }
    }

    /// The experts that it touches, each with the replicas that it gains or loses.
    pub fn replica_changes(&self) -> impl Iterator<Item = (u16, i32)> {
        let mut touched: [(u16, i32); MAX_TOUCHED] = [(u16::MAX, 0); MAX_TOUCHED];
        let mut count = 0;
        let mut note = |expert: u16, by: i32| match touched[..count].iter_mut().find(|(other, _)| *other == expert) {
            Some((_, sum)) => *sum += by,
            None => {
                touched[count] = (expert, by);
                count += 1;
            }
        };
        self.add.iter().chain(&self.add_back).for_each(|(expert, _)| note(*expert, 1));
        self.drop.iter().flatten().for_each(|(expert, _)| note(*expert, -1));
        touched.into_iter().take(count)
    }

    /// Makes the change in the experts of a set by rank.
    pub fn apply_to(&self, set: &mut [Vec<u16>]) {
        for (expert, rank) in self.drop.iter().flatten() {
            set[*rank].retain(|held| held != expert);
        }
        for (expert, rank) in self.add.iter().chain(&self.add_back) {
            set[*rank].push(*expert);
        }
    }
}
