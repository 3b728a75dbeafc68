//! Limits how many boxes that have just started receive the full state at a time.

use std::collections::VecDeque;

use ochreyard_core::direct::BoxRecord;

/// Window for which full transfers are counted, in milliseconds. Within it only as many boxes get the full state as the
/// link can carry.
const WINDOW_MS: u64 = 400;
/// Size of the full state for one box, in megabits: the configuration, and a few hundred endpoints and boxes.
const FULL_SYNC_MEGABITS: u64 = 2;
/// Link capacity in megabits a second for each box in a window: half of the link is left to callers.
const MBPS_PER_SYNC: u64 = FULL_SYNC_MEGABITS * 2 * 1_000 / WINDOW_MS;
/// Number of recently synced boxes that are named to a box which has to ask others.
const MAX_ALTERNATIVES: usize = 4;

/// Boxes that recently received the full state. When hundreds of boxes start at once and know the same few boxes, each
/// of those sends the state to a few, which send it to the next.
#[derive(Debug, Default)]
pub struct FullSyncLimiter {
    synced: VecDeque<(u64, String, BoxRecord)>,
}

impl FullSyncLimiter {
    /// Returns whether another box may receive the full state from a box whose link carries `link_mbps`, and counts it
    /// if so.
    pub fn admit(&mut self, name: &str, record: &BoxRecord, link_mbps: u64, now_ms: u64) -> bool {
        let max_per_window = (link_mbps / MBPS_PER_SYNC).max(2);
        let recent = self.synced.iter().filter(|(synced_ms, ..)| now_ms < synced_ms + WINDOW_MS).count() as u64;
        let is_admitted = recent < max_per_window;
        if is_admitted {
            self.synced.push_back((now_ms, name.to_owned(), record.clone()));
            let max_kept = usize::try_from(max_per_window).unwrap_or(MAX_ALTERNATIVES).max(MAX_ALTERNATIVES);
            while self.synced.len() > max_kept {
                self.synced.pop_front();
            }
        }
        is_admitted
    }

    /// Recently synced boxes, for a box that is refused the full state. `random` selects the first one.
    pub fn alternatives(&self, random: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let from = usize::try_from(random.checked_rem(self.synced.len() as u64).unwrap_or(0)).unwrap_or(0);
        let rotated = self.synced.iter().skip(from).chain(self.synced.iter().take(from));
        rotated.take(MAX_ALTERNATIVES).map(|(_, name, record)| (name.as_str(), record))
    }
}
