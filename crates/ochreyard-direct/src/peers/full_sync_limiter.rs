//! Boxes that have just started and are told all, a few at a time.

use std::collections::VecDeque;

use ochreyard_core::direct::BoxRecord;

/// Within this time, only so many are told all as the link carries, in milliseconds.
const WINDOW_MS: u64 = 400;
/// What telling one box all takes of a link, in megabits: the configuration, a few hundred endpoints and boxes.
const FULL_SYNC_MEGABITS: u64 = 2;
/// Megabits of a link for each box in a window: half of the link is left to callers.
const MBPS_PER_SYNC: u64 = FULL_SYNC_MEGABITS * 2 * 1_000 / WINDOW_MS;
/// Newcomers that are named to one that has to ask others.
const MAX_ALTERNATIVES: usize = 4;

/// Boxes that were told all of late. Where hundreds start at once and know the same few boxes, each of those tells a few,
/// which tell the next.
#[derive(Debug, Default)]
pub struct FullSyncLimiter {
    told: VecDeque<(u64, String, BoxRecord)>,
}

impl FullSyncLimiter {
    /// Whether one more may be told all by a box whose link carries `link_mbps`; it then counts as told.
    pub fn admit(&mut self, name: &str, record: &BoxRecord, link_mbps: u64, now_ms: u64) -> bool {
        let most = (link_mbps / MBPS_PER_SYNC).max(2);
        let recent = self.told.iter().filter(|(told_ms, ..)| now_ms < told_ms + WINDOW_MS).count() as u64;
        let is_admitted = recent < most;
        if is_admitted {
            self.told.push_back((now_ms, name.to_owned(), record.clone()));
            let most_kept = usize::try_from(most).unwrap_or(MAX_ALTERNATIVES).max(MAX_ALTERNATIVES);
            while self.told.len() > most_kept {
                self.told.pop_front();
            }
        }
        is_admitted
    }

    /// Boxes that were told all, for one that asks in vain; others for each draw.
    pub fn named(&self, draw: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let from = usize::try_from(draw.checked_rem(self.told.len() as u64).unwrap_or(0)).unwrap_or(0);
        let turned = self.told.iter().skip(from).chain(self.told.iter().take(from));
        turned.take(MAX_ALTERNATIVES).map(|(_, name, record)| (name.as_str(), record))
    }
}
