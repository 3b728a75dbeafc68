//! The random number by which the first waiting request is admitted to groups with a stream limit.

use super::Ticket;

/// The random number by which the first waiting request is admitted to groups with a stream limit. The request keeps it
/// for as long as it is the first: with a new number for each attempt, which is made every 10 ms, a request that is to be
/// admitted with a probability of 0.1 would be admitted within 0.1 s.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdmissionSeed {
    held: Option<(Ticket, u64)>,
}

impl AdmissionSeed {
    /// Returns the number of a request; `draw` is used where it has none yet.
    pub fn of(&mut self, ticket: Option<Ticket>, draw: u64) -> u64 {
        let Some(ticket) = ticket else { return draw };
        let (_, seed) = *self.held.insert(self.held.filter(|(held, _)| *held == ticket).unwrap_or((ticket, draw)));
        seed
    }
}
