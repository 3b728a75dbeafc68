//! Reports the state of a group to all entries.

use std::rc::Rc;

use ochreyard_core::direct::{GroupUpdate, RosterLoads};
use ochreyard_core::group_map::{ReportFacts, ReportSchedule};
use ochreyard_direct::{Dialect, Entry, broadcast};

/// Interval between reports with the names of the ranks, in milliseconds: some entries may have
/// missed the last one.
const NAMES_INTERVAL_MS: u64 = 3_000;

/// Reports the state of one group to all entries.
pub struct GroupReporter<D> {
    entry: Rc<Entry<D>>,
    schedule: ReportSchedule,
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
    pub fn new(entry: Rc<Entry<D>>) -> Self {
        Self { entry, schedule: ReportSchedule::default(), last_names: None }
    }

    /// Time since the last report, in milliseconds; as long as the process runs if there was none.
    pub fn report_age_ms(&self) -> u64 {
        let now_ms = self.entry.clock.now_ms();
        self.schedule.report_age_ms(now_ms).unwrap_or(now_ms)
    }

    /// Whether a report is due.
    pub fn is_due(&self, facts: ReportFacts, now_ms: u64) -> bool {
        self.schedule.is_due(facts, now_ms)
    }

    /// Sends the update to all entries without waiting for them. Returns whether `is_serving` differs
    /// from the last report.
    pub fn report(&mut self, update: &GroupUpdate) -> bool {
        let now_ms = self.entry.clock.now_ms();
        let is_change = self.schedule.on_report(facts_of(update), now_ms);
        self.entry.apply_group_update(update);
        if is_change || self.must_include_names(update, now_ms) {
            broadcast(&self.entry, update);
        } else {
            broadcast(&self.entry, &update.without_names());
        }
        is_change
    }

    /// Whether the update must include the names of the ranks; if so, records them as sent.
    fn must_include_names(&mut self, update: &GroupUpdate, sent_ms: u64) -> bool {
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

fn facts_of(update: &GroupUpdate) -> ReportFacts {
    let running = update.ranks.iter().map(|rank| rank.running).sum();
    ReportFacts { is_serving: update.is_serving, running, stream_limit: update.stream_limit }
}
