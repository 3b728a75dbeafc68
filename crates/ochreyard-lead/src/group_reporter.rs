//! Reports the state of a group to all entries.

use std::rc::Rc;

use ochreyard_core::direct::{GroupUpdate, RosterLoads};
use ochreyard_direct::{Dialect, Entry, broadcast};

/// Interval between reports while nothing changes, in milliseconds: entries receive a few reports
/// within the time for which they consider one valid.
const REPORT_INTERVAL_MS: u64 = 300;
/// The same while the group is near its stream limit or the limit has changed, in milliseconds: boxes know of the
/// requests of other boxes from the reports alone.
const NEAR_LIMIT_INTERVAL_MS: u64 = 100;
/// Share of the limit from which a group is near it.
const NEAR_LIMIT_SHARE: f64 = 0.9;
/// Change of the limit that is reported early, as a share of the reported one.
const LIMIT_CHANGE_SHARE: f64 = 0.1;
/// Interval between reports with the names of the ranks, in milliseconds: some entries may have
/// missed the last one.
const NAMES_INTERVAL_MS: u64 = 3_000;

/// Reports the state of one group to all entries.
pub struct GroupReporter<D> {
    entry: Rc<Entry<D>>,
    reported_ms: u64,
    reported_serving: Option<bool>,
    reported_limit: Option<u64>,
    last_names: Option<NamesReport>,
}

/// The last report with the names of the ranks.
struct NamesReport {
    sent_ms: u64,
    roster_digest: u64,
    /// Number of box records that the entry had learned by then.
    learned_boxes: usize,
}

impl<D: Dialect> GroupReporter<D> {
    /// Creates a reporter that has sent no report yet.
    pub const fn new(entry: Rc<Entry<D>>) -> Self {
        Self { entry, reported_ms: 0, reported_serving: None, reported_limit: None, last_names: None }
    }

    /// Time since the last report, in milliseconds.
    pub fn report_age_ms(&self) -> u64 {
        self.entry.clock.now_ms().saturating_sub(self.reported_ms)
    }

    /// Whether a report is due.
    pub fn is_due(&self, is_serving: bool, is_near_limit: bool, now_ms: u64) -> bool {
        let interval_ms = if is_near_limit { NEAR_LIMIT_INTERVAL_MS } else { REPORT_INTERVAL_MS };
        self.reported_serving != Some(is_serving) || now_ms >= self.reported_ms + interval_ms
    }

    /// Whether the group runs nearly as many requests as it may, or this number has changed since the last report.
    pub fn is_near_limit(&self, running: u64, limit: Option<u64>) -> bool {
        let is_nearly_used = limit.is_some_and(|limit| running as f64 > limit as f64 * NEAR_LIMIT_SHARE);
        let has_changed = match (self.reported_limit, limit) {
            (Some(reported), Some(limit)) => {
                limit.abs_diff(reported) as f64 >= (reported as f64 * LIMIT_CHANGE_SHARE).max(1.0)
            }
            (reported, limit) => reported != limit,
        };
        is_nearly_used || has_changed
    }

    /// Sends the update to all entries without waiting for them. Returns whether `is_serving` differs
    /// from the last report.
    pub fn report(&mut self, update: &GroupUpdate) -> bool {
        self.reported_ms = self.entry.clock.now_ms();
        self.reported_limit = update.stream_limit;
        let is_change = self.reported_serving.replace(update.is_serving) != Some(update.is_serving);
        self.entry.apply_group_update(update);
        if is_change || self.must_include_names(update) {
            broadcast(&self.entry, update);
        } else {
            broadcast(&self.entry, &update.without_names());
        }
        is_change
    }

    /// Whether the update must include the names of the ranks; if so, records them as sent.
    fn must_include_names(&mut self, update: &GroupUpdate) -> bool {
        let sent_ms = self.reported_ms;
        let roster_digest = RosterLoads::of(&update.ranks).roster;
        let learned_boxes = self.entry.state.borrow().boxes.learned_count();
        let is_current = |last: &NamesReport| {
            last.roster_digest == roster_digest
                && last.learned_boxes == learned_boxes
                && sent_ms < last.sent_ms + NAMES_INTERVAL_MS
        };
        if self.last_names.as_ref().is_some_and(is_current) {
            return false;
        }
        self.last_names = Some(NamesReport { sent_ms, roster_digest, learned_boxes });
        true
    }
}
