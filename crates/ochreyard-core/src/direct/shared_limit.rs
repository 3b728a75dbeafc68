//! A limit that holds for all boxes together: what an endpoint takes from them, and the part of this box.
//!
//! Each box decides alone, and what binds is the sum. So each limit is turned into whole requests in a window ([`Quota`]),
//! which are dealt to the boxes in an order that all of them find by themselves ([`SharingBoxes`]). Boxes that are cut off keep
//! their parts, and nobody takes over theirs. A box that has none leaves the endpoint alone; only where nothing is heard of
//! the limit for long, since those that have a part are gone or have no callers, it sends a request in its turn.

mod limit_update;
mod quota;
mod quota_share;
mod reported_limit;
mod request_rate;
mod share_rank;
mod sharing_boxes;

pub use self::limit_update::{EndpointLimit, LimitUpdate};
pub use self::quota::Quota;
pub use self::quota_share::QuotaShare;
pub use self::reported_limit::ReportedLimit;
pub use self::request_rate::{RequestRate, parse_limit};
pub use self::share_rank::ShareRank;
pub use self::sharing_boxes::SharingBoxes;

/// After this time without a word of the limit, boxes without a part send a request each in their turn, in milliseconds:
/// news of it reach all boxes a few times within it.
const UNHEARD_MS: u64 = 20_000;
/// Windows between such turns. Boxes that get no news take them beside those that have a part, and each counts from when it
/// last heard itself; so few of them fall together that the sum stays near the limit.
const TURN_WINDOWS: u64 = 8;
/// How often others are told that a limit still holds, in milliseconds.
const CONFIRM_EVERY_MS: u64 = 5_000;
/// Two boxes that heard the same word know when only up to this, in milliseconds: news take their time.
const HEARD_ERROR_MS: u64 = 1_000;
/// How long it is told and kept that a limit has ended, in milliseconds.
const ENDED_LIFE_MS: u64 = 60_000;

/// A limit of one life of an endpoint, as this box knows it.
#[derive(Debug, Clone)]
pub struct SharedLimit {
    /// `None` where it has ended.
    rate: Option<RequestRate>,
    part: QuotaShare,
    /// When an answer last said so, to this box or another one.
    heard_ms: u64,
    /// When others were last told, and the number of that change among all of this box.
    told_ms: u64,
    change: u64,
}

impl SharedLimit {
    /// A limit that became known at `heard_ms` to a box at `place`.
    #[must_use]
    pub const fn new(rate: Option<RequestRate>, place: ShareRank, heard_ms: u64) -> Self {
        Self { rate, part: QuotaShare::new(place), heard_ms, told_ms: heard_ms, change: 0 }
    }

    /// What the endpoint takes from all boxes together, unless the limit has ended.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// The place of this box among those that share it.
    #[must_use]
    pub const fn share_rank(&self) -> ShareRank {
        self.part.share_rank()
    }

    /// How long ago it was last heard, in milliseconds.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms)
    }

    /// Other boxes take part.
    pub const fn set_share_rank(&mut self, place: ShareRank) {
        self.part.set_share_rank(place);
    }

    /// An answer to a request that was sent at `asked_ms` named this limit, or none. Says whether that changes it.
    ///
    /// Answers overtake each other. A lower limit holds at once; a higher one, or none, only from an answer to a request
    /// that was sent after the present one was heard.
    pub fn on_answer(&mut self, rate: Option<RequestRate>, asked_ms: u64, now_ms: u64) -> bool {
        let is_change = rate != self.rate;
        if is_change && !is_lower(rate, self.rate) && asked_ms <= self.heard_ms {
            return false;
        }
        self.rate = rate;
        self.heard_ms = now_ms;
        is_change
    }

    /// Another box heard this at `heard_ms`. Says whether that is news. What was heard at about the same time as what is
    /// known may be the older one of both: the lower limit holds.
    pub fn on_peer_report(&mut self, rate: Option<RequestRate>, heard_ms: u64) -> bool {
        let is_later = heard_ms > self.heard_ms + HEARD_ERROR_MS;
        let is_as_late = heard_ms + HEARD_ERROR_MS >= self.heard_ms;
        let is_news = is_later || (is_as_late && is_lower(rate, self.rate));
        if is_news {
            self.rate = rate;
            self.heard_ms = self.heard_ms.max(heard_ms);
        }
        is_news
    }

    /// Whether others should be told that it still holds, or has ended: where it does not reach all boxes, some of them
    /// hear nothing of the endpoint.
    #[must_use]
    pub fn is_announcement_due(&self, now_ms: u64) -> bool {
        let reaches_all = self.rate.is_some_and(|rate| Quota::from_rate(rate).count >= self.share_rank().boxes);
        !reaches_all && now_ms >= self.told_ms + CONFIRM_EVERY_MS
    }

    /// Others are told, as the change with this number.
    pub const fn record_announced(&mut self, version: u64, now_ms: u64) {
        self.change = version;
        self.told_ms = now_ms;
    }

    /// The number of the change as which others were last told.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.change
    }

    /// Whether nothing of it matters any more.
    #[must_use]
    pub const fn is_expired(&self, now_ms: u64) -> bool {
        self.rate.is_none() && self.age_ms(now_ms) > ENDED_LIFE_MS
    }

    /// The part of this box: requests, and the window in which it may send them. `None` where the limit has ended.
    #[must_use]
    pub fn share(&self) -> Option<Quota> {
        Some(self.part.share_of(Quota::from_rate(self.rate?)))
    }

    /// Whether one more request may be sent, beside `unsent` that were picked for the endpoint and are not sent yet.
    #[must_use]
    pub fn admits(&self, unsent: u64, now_ms: u64) -> bool {
        self.next_send_ms(unsent, now_ms).is_none_or(|free_ms| now_ms >= free_ms)
    }

    /// When the next request may be sent, beside `unsent` others; `None` where there is no limit.
    #[must_use]
    pub fn next_send_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let quota = Quota::from_rate(self.rate?);
        Some(
            self.part
                .next_send_ms(quota, unsent, now_ms)
                .unwrap_or_else(|| self.next_turn_send_ms(quota, unsent, now_ms)),
        )
    }

    /// When a box without a part may send the next request, beside `unsent` others.
    fn next_turn_send_ms(&self, quota: Quota, unsent: u64, now_ms: u64) -> u64 {
        let free_ms = self.turn_ms(quota).max(self.part.after_last_ms(1, quota.window_ms));
        if unsent > 0 { free_ms.max(now_ms + quota.window_ms) } else { free_ms }
    }

    /// When a box without a part may send one request, since nobody has heard of the limit.
    const fn turn_ms(&self, quota: Quota) -> u64 {
        let turns = (self.share_rank().rank + 1).saturating_sub(quota.count).div_ceil(quota.count);
        self.heard_ms + UNHEARD_MS + turns * TURN_WINDOWS * quota.window_ms
    }

    /// A request is sent.
    pub fn on_sent(&mut self, now_ms: u64) {
        let Some(rate) = self.rate else { return };
        self.part.on_sent(Quota::from_rate(rate).window_ms, now_ms);
    }

    /// A request that counts as sent at `sent_ms` never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        self.part.undo_send(sent_ms);
    }

    /// Requests that this box sent within the last window.
    #[must_use]
    pub fn sent_in_window(&self, now_ms: u64) -> usize {
        self.part.sent_within(self.rate.map_or(0, |rate| Quota::from_rate(rate).window_ms), now_ms)
    }
}

/// Whether a limit is lower than another one; none is the highest.
fn is_lower(rate: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (rate, than) {
        (Some(rate), Some(than)) => rate < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
