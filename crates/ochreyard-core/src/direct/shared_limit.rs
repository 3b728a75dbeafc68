//! Rate limits that endpoints set for all boxes together, and the share of this box in them.
//!
//! Each box decides alone, but the limit applies to the sum of their requests. Each limit is therefore turned into a
//! number of whole requests per window ([`Quota`]), which are divided among the boxes in an order that all of them
//! compute without coordination ([`SharingBoxes`]). A box that is cut off keeps its share, and no other box takes it
//! over. A box without a share sends nothing to the endpoint, unless nothing has been heard of the limit for a long
//! time. In that case the boxes with a share are gone or have no callers, and boxes without a share send single
//! requests in turn.

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

/// How long nothing must be heard of a limit before boxes without a share send single requests in turn, in
/// milliseconds. Updates of a limit reach all boxes a few times within this time.
const SILENCE_MS: u64 = 20_000;
/// Number of windows between two such turns. Boxes that receive no updates take their turns beside the boxes with a
/// share, each counting from its own last report. With this distance few turns coincide, and the sum stays near the
/// limit.
const TURN_WINDOWS: u64 = 8;
/// How often other boxes are told that a limit still applies, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 5_000;
/// How far the report times of one response may differ between two boxes, in milliseconds, since updates take time to
/// arrive.
const REPORT_TIME_ERROR_MS: u64 = 1_000;
/// How long the end of a limit is kept and reported to other boxes, in milliseconds.
const ENDED_LIFETIME_MS: u64 = 60_000;

/// A rate limit of one endpoint incarnation, as this box knows it.
#[derive(Debug, Clone)]
pub struct SharedLimit {
    /// `None` if the limit has ended.
    rate: Option<RequestRate>,
    share: QuotaShare,
    /// The time at which a response last reported the limit, to this box or another one.
    reported_ms: u64,
    /// The time at which other boxes were last told, and the version under which they were told.
    announced_ms: u64,
    version: u64,
}

impl SharedLimit {
    /// Creates a limit that was reported at `reported_ms`, for a box at `share_rank`.
    #[must_use]
    pub const fn new(rate: Option<RequestRate>, share_rank: ShareRank, reported_ms: u64) -> Self {
        Self { rate, share: QuotaShare::new(share_rank), reported_ms, announced_ms: reported_ms, version: 0 }
    }

    /// Counts the start of this process as a request: an earlier process of the box may have sent one right before its
    /// end.
    #[must_use]
    pub fn with_process_start(mut self, started_ms: u64) -> Self {
        self.share.on_sent(0, started_ms);
        self
    }

    /// Returns the rate that the endpoint accepts from all boxes together, or `None` if the limit has ended.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the position of this box among the boxes that share the limit.
    #[must_use]
    pub const fn share_rank(&self) -> ShareRank {
        self.share.share_rank()
    }

    /// Returns the time since the last report of the limit, in milliseconds.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.reported_ms)
    }

    /// Replaces the position of this box among the boxes that share the limit.
    pub const fn set_share_rank(&mut self, share_rank: ShareRank) {
        self.share.set_share_rank(share_rank);
    }

    /// Applies the limit, or its absence, that a response to a request sent at `sent_ms` reported. Returns whether the
    /// limit changed.
    ///
    /// Responses can arrive out of order. A lower limit applies immediately. A higher limit, or none, applies only if
    /// the request was sent after the current limit was reported.
    pub fn on_answer(&mut self, rate: Option<RequestRate>, sent_ms: u64, now_ms: u64) -> bool {
        let is_change = rate != self.rate;
        if is_change && !is_lower_limit(rate, self.rate) && sent_ms <= self.reported_ms {
            return false;
        }
        self.rate = rate;
        self.reported_ms = now_ms;
        is_change
    }

    /// Applies a limit that was reported to another box at `reported_ms`. Returns whether this was new information. If
    /// both reports are about equally old, either may be the older one, and the lower limit applies.
    pub fn on_peer_report(&mut self, rate: Option<RequestRate>, reported_ms: u64) -> bool {
        let is_later = reported_ms > self.reported_ms + REPORT_TIME_ERROR_MS;
        let is_about_as_late = reported_ms + REPORT_TIME_ERROR_MS >= self.reported_ms;
        let is_new_information = is_later || (is_about_as_late && is_lower_limit(rate, self.rate));
        if is_new_information {
            self.rate = rate;
            self.reported_ms = self.reported_ms.max(reported_ms);
        }
        is_new_information
    }

    /// Returns whether other boxes should be told that the limit still applies, or has ended. This is not needed if
    /// every box has a share, since each box then hears from the endpoint itself.
    #[must_use]
    pub fn is_announcement_due(&self, now_ms: u64) -> bool {
        let has_share_for_each_box =
            self.rate.is_some_and(|rate| Quota::from_rate(rate).count >= self.share_rank().boxes);
        !has_share_for_each_box && now_ms >= self.announced_ms + ANNOUNCE_INTERVAL_MS
    }

    /// Records that other boxes are told of the limit under `version`.
    pub const fn record_announced(&mut self, version: u64, now_ms: u64) {
        self.version = version;
        self.announced_ms = now_ms;
    }

    /// Returns the version under which other boxes were last told of the limit.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the limit has ended so long ago that it can be removed.
    #[must_use]
    pub const fn is_expired(&self, now_ms: u64) -> bool {
        self.rate.is_none() && self.age_ms(now_ms) > ENDED_LIFETIME_MS
    }

    /// Returns the share of this box: the number of requests, and the window in which it may send them. Returns `None`
    /// if the limit has ended.
    #[must_use]
    pub fn share(&self) -> Option<Quota> {
        Some(self.share.share_of(Quota::from_rate(self.rate?)))
    }

    /// Returns whether one more request may be sent, in addition to `unsent` requests that were picked for the endpoint
    /// but not sent yet.
    #[must_use]
    pub fn admits(&self, unsent: u64, now_ms: u64) -> bool {
        self.next_send_ms(unsent, now_ms).is_none_or(|send_ms| now_ms >= send_ms)
    }

    /// Returns the earliest time for the next request, in addition to `unsent` others. Returns `None` if there is no
    /// limit.
    #[must_use]
    pub fn next_send_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let quota = Quota::from_rate(self.rate?);
        Some(
            self.share
                .next_send_ms(quota, unsent, now_ms)
                .unwrap_or_else(|| self.next_turn_send_ms(quota, unsent, now_ms)),
        )
    }

    /// Returns the earliest time for the next request of a box without a share, in addition to `unsent` others.
    fn next_turn_send_ms(&self, quota: Quota, unsent: u64, now_ms: u64) -> u64 {
        let send_ms = self.next_turn_ms(quota).max(self.share.after_last_ms(1, quota.window_ms));
        if unsent > 0 { send_ms.max(now_ms + quota.window_ms) } else { send_ms }
    }

    /// Returns the time of the next turn of a box without a share, which applies if nothing is heard of the limit until
    /// then.
    const fn next_turn_ms(&self, quota: Quota) -> u64 {
        let turns = (self.share_rank().rank + 1).saturating_sub(quota.count).div_ceil(quota.count);
        self.reported_ms + SILENCE_MS + turns * TURN_WINDOWS * quota.window_ms
    }

    /// Counts a request as sent.
    pub fn on_sent(&mut self, now_ms: u64) {
        let Some(rate) = self.rate else { return };
        self.share.on_sent(Quota::from_rate(rate).window_ms, now_ms);
    }

    /// Records that a request that was sent at `sent_ms` was abandoned before the endpoint sent anything. It counts until
    /// a window after the endpoint has sent something again.
    pub fn on_abandoned(&mut self, sent_ms: u64) {
        self.share.on_abandoned(sent_ms);
    }

    /// Records that the endpoint has sent something to this box.
    pub fn on_heard(&mut self, now_ms: u64) {
        self.share.on_heard(now_ms);
    }

    /// Removes a request that was counted at `sent_ms` but never reached the endpoint.
    pub fn undo_send(&mut self, sent_ms: u64) {
        self.share.undo_send(sent_ms);
    }

    /// Returns the number of requests that this box sent within the last window.
    #[must_use]
    pub fn sent_in_window(&self, now_ms: u64) -> usize {
        self.share.sent_within(self.rate.map_or(0, |rate| Quota::from_rate(rate).window_ms), now_ms)
    }
}

/// Returns whether a limit is lower than another one. No limit counts as the highest.
fn is_lower_limit(rate: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (rate, than) {
        (Some(rate), Some(than)) => rate < than,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
