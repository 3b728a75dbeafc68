//! When a standby leader takes over from a leader that has become silent.

use crate::direct::LeaderReport;
use crate::group_map::leader_id::LeaderId;

/// Age of the last report from which the leader may be gone, in milliseconds: the next report is overdue by as long as
/// the interval of reports (300 ms), so that one lost report does not count.
const OVERDUE_MS: u64 = 600;
/// Pause between two queries of the agents, in milliseconds: well under the lease, whose end they show.
const QUERY_PAUSE_MS: u64 = 50;
/// Number of queries after which the pause is longer: the grants of a leader that is gone have expired by then, so the
/// leader is alive and only its reports are missing.
const FREQUENT_QUERIES: u32 = 12;
/// The longer pause, in milliseconds: the default lease.
const LONG_PAUSE_MS: u64 = 800;
/// Time after which the notice of a leader is dropped, in milliseconds: five intervals of notices.
const NOTICE_LIFETIME_MS: u64 = 5_000;

/// Decides for one standby leader when it queries the agents, and whether it takes over.
#[derive(Debug, Clone, Copy)]
pub struct StandbyWatch {
    leader: LeaderId,
    noticed_ms: u64,
    next_query_ms: u64,
    queries: u32,
}

impl StandbyWatch {
    /// Creates the watch over `leader`, whose first notice has just arrived.
    #[must_use]
    pub const fn new(leader: LeaderId, now_ms: u64) -> Self {
        Self { leader, noticed_ms: now_ms, next_query_ms: 0, queries: 0 }
    }

    /// Records another notice. Returns whether it is of the same leader.
    pub fn on_notice(&mut self, leader: LeaderId, now_ms: u64) -> bool {
        let is_same = self.leader == leader;
        if is_same {
            self.noticed_ms = now_ms;
        }
        is_same
    }

    /// Whether the watch still applies: the last notice is recent, and no other leader has reported since. `report` is
    /// the last report of a leader of the group; `None` if that leader has stood down.
    #[must_use]
    pub fn is_current(&self, report: Option<LeaderReport>, now_ms: u64) -> bool {
        let other = report.and_then(|report| report.leader_tag);
        now_ms < self.noticed_ms + NOTICE_LIFETIME_MS && other.is_none_or(|tag| tag == self.leader.tag())
    }

    /// Whether to query the agents now.
    pub fn is_query_due(&mut self, report: Option<LeaderReport>, now_ms: u64) -> bool {
        if report.is_some_and(|report| report.age_ms < OVERDUE_MS) {
            self.queries = 0;
            return false;
        }
        if now_ms < self.next_query_ms {
            return false;
        }
        self.queries += 1;
        let pause_ms = if self.queries > FREQUENT_QUERIES { LONG_PAUSE_MS } else { QUERY_PAUSE_MS };
        self.next_query_ms = now_ms + pause_ms;
        true
    }

    /// Whether to take over, where `free` of the `size` agents say that no leader holds their grant.
    #[must_use]
    pub const fn takes_over(free: usize, size: usize) -> bool {
        free * 2 > size
    }
}
