//! One change of the experts of one set.

/// Factor on the gain of a change without copies, so that it is preferred to a change with a
/// single copy and up to this many times its gain.
const NO_COPY_FACTOR: f64 = 4.0;
/// The most experts that one change affects: two that are added and two that are dropped.
const MAX_AFFECTED: usize = 4;

/// One change of one set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SetChange {
    /// An expert that is added, and the rank that receives it.
    pub add: Option<(u16, usize)>,
    /// Experts that are dropped, each with its rank.
    pub drop: [Option<(u16, usize)>; 2],
    /// For a swap, the expert that is added in return, and the rank that receives it.
    pub add_back: Option<(u16, usize)>,
    /// Reduction of the load of the most loaded rank.
    pub gain: f64,
}

impl SetChange {
    /// The largest number of copies that the change may need.
    fn copies(&self) -> usize {
        usize::from(self.add.is_some()) + usize::from(self.add_back.is_some())
    }

    /// The gain per copy; for a change without copies, a multiple of the gain.
    pub fn score(&self) -> f64 {
        match self.copies() {
            0 => self.gain * NO_COPY_FACTOR,
            copies => self.gain / copies as f64,
        }
    }

    /// The affected experts, each with the number of replicas that it gains or loses.
    pub fn replica_changes(&self) -> impl Iterator<Item = (u16, i32)> {
        let mut affected: [(u16, i32); MAX_AFFECTED] = [(u16::MAX, 0); MAX_AFFECTED];
        let mut count = 0;
        let mut record =
            |expert: u16, delta: i32| match affected[..count].iter_mut().find(|(other, _)| *other == expert) {
                Some((_, sum)) => *sum += delta,
                None => {
                    affected[count] = (expert, delta);
                    count += 1;
                }
            };
        self.add.iter().chain(&self.add_back).for_each(|(expert, _)| record(*expert, 1));
        self.drop.iter().flatten().for_each(|(expert, _)| record(*expert, -1));
        affected.into_iter().take(count)
    }

    /// Applies the change to a set, given as the experts of each rank.
    pub fn apply_to(&self, set: &mut [Vec<u16>]) {
        for (expert, rank) in self.drop.iter().flatten() {
            set[*rank].retain(|held| held != expert);
        }
        for (expert, rank) in self.add.iter().chain(&self.add_back) {
            set[*rank].push(*expert);
        }
    }
}
