//! Which other boxes a box asks, again and again, while the platform's log answers it.

use std::net::SocketAddr;

use super::box_list::BoxList;
use super::log_progress::LogProgress;
use super::read_role::LocalBox;

/// Every how many rounds one more box is asked, whichever. What is newest then reaches a box within a few such rounds,
/// whomever it relies on; a third more questions is what that costs.
const ANY_EVERY: u64 = 3;

/// Whom a box asks in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PollTargets {
    /// The box that it relies on for the records of endpoints.
    pub source: Option<SocketAddr>,
    /// Any box, for what else is new. Boxes that rely on each other may all be behind with the configuration, each by a
    /// reading of its own that hangs, while they keep each other's records of endpoints fresh.
    pub random: Option<SocketAddr>,
}

/// Counts the rounds of a box.
#[derive(Debug, Clone, Copy, Default)]
pub struct PollSchedule {
    rounds: u64,
}

impl PollSchedule {
    /// Whom the box `own` asks in the next round; `draw` is any evenly spread number. A box that reads for others relies
    /// on nobody, and asks any box each time.
    pub fn next(
        &mut self,
        reading: &LogProgress,
        own: LocalBox,
        others: &BoxList,
        draw: u64,
        now_ms: u64,
    ) -> PollTargets {
        self.rounds += 1;
        let source = reading.source(own, others, now_ms);
        let asks_random = source.is_none() || self.rounds.is_multiple_of(ANY_EVERY);
        let random = asks_random.then(|| random_box(others, draw)).flatten();
        PollTargets { source, random: random.filter(|addr| Some(*addr) != source) }
    }
}

fn random_box(others: &BoxList, draw: u64) -> Option<SocketAddr> {
    let at = draw.checked_rem(others.len() as u64)?;
    others.addrs().nth(usize::try_from(at).ok()?)
}
