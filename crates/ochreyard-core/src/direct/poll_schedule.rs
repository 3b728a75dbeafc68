//! Which other boxes a box polls periodically while the platform's log is reachable.

use std::net::SocketAddr;

use super::box_list::BoxList;
use super::log_progress::LogProgress;
use super::read_role::LocalBox;

/// A random box is polled once in this many rounds. The newest state then reaches a box within a few such polls,
/// whatever its source; this costs a third more polls.
const RANDOM_POLL_ROUNDS: u64 = 3;

/// The boxes that a box polls in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PollTargets {
    /// The source of the box for the records of endpoints.
    pub source: Option<SocketAddr>,
    /// A random box, for other updates. Boxes that are each other's sources may all be behind with the configuration,
    /// each by a hung read of its own, while they keep each other's records of endpoints fresh.
    pub random: Option<SocketAddr>,
}

/// Selects the boxes to poll in each round.
#[derive(Debug, Clone, Copy, Default)]
pub struct PollSchedule {
    rounds: u64,
}

impl PollSchedule {
    /// Returns the boxes that the box `own` polls in the next round; `draw` is a uniformly distributed random number. A
    /// reader has no source, and polls a random box in each round.
    pub fn next(
        &mut self,
        progress: &LogProgress,
        own: LocalBox,
        others: &BoxList,
        draw: u64,
        now_ms: u64,
    ) -> PollTargets {
        self.rounds += 1;
        let source = progress.source(own, others, now_ms);
        let polls_random = source.is_none() || self.rounds.is_multiple_of(RANDOM_POLL_ROUNDS);
        let random = polls_random.then(|| random_box(others, draw)).flatten();
        PollTargets { source, random: random.filter(|addr| Some(*addr) != source) }
    }
}

fn random_box(others: &BoxList, draw: u64) -> Option<SocketAddr> {
    let at = draw.checked_rem(others.len() as u64)?;
    others.addrs().nth(usize::try_from(at).ok()?)
}
