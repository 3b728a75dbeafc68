//! Retry budget of this box, which bounds the retries of all boxes together.
//!
//! No box knows how many retries the others use at the moment. So each box uses an equal share of the fixed allowance,
//! by the number of boxes it knows, and a ratio of its own requests.
//!
//! A process does not know either what an earlier process of its box has sent within the same window. Its allowance
//! therefore consists of two parts. One becomes available at a steady rate, so that it adds up to the same amount
//! however many processes follow each other. The other one, the reserve, can be used at once, but only by a process that
//! has run for a whole window: two processes of one box cannot both use it within one window.
//!
//! What an earlier process has sent may arrive late, at endpoints that read nothing for a while. Until that is over, a
//! process has not settled in: it has no reserve, and a lower rate.
//!
//! The platform counts a retry when it arrives. A retry therefore counts from the time at which it was sent until its
//! endpoint has answered, and for one window from then on; that of a request of which an abandoned attempt may still
//! arrive until that has arrived.

use std::collections::{HashMap, VecDeque};

use super::endpoint_incarnation::EndpointIncarnation;
use super::held_retries::{AbandonedAttempt, HeldRetries, TakenRetry};
use super::paced_retries::{PaceRate, PacedRetries};
use super::retry_budget_limits::RetryBudgetLimits;
use super::retry_count::RetryCount;
use super::retry_usage::RetryUsage;

/// Share of the allowance that becomes available at a steady rate.
const PACED_SHARE: f64 = 0.6;
/// The same for a process that has not settled in.
const UNSETTLED_PACED_SHARE: f64 = 0.45;
/// Part of a window in which retries of an earlier process may arrive late. A new process settles in for a window and
/// this part.
const LATE_ARRIVAL_SHARE: f64 = 0.3;
/// Share of the allowance that a process can use at once: the reserve, and what it has saved of the paced part. What
/// remains beside both shares is a margin for boxes that are not known yet, and for requests that are spread unevenly
/// over boxes and time.
const BURST_SHARE: f64 = 0.35;
/// Share of the allowance that a process saves of the paced part: enough that an irregular demand can use all of it.
const SAVED_SHARE: f64 = 0.1;
/// Least number of retries that are saved: fewer could never be taken.
const MIN_SAVED: f64 = 1.0;
/// Share of the allowance that may be held. Held retries arrive in a later window, which may allow fewer of them, since
/// callers whose requests wait send fewer.
const HELD_SHARE: f64 = 0.5;
/// Number of slices that a window is counted in.
const SLICES: u64 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
    /// Those of the retries that were taken from the reserve.
    reserve_retries: u64,
}

/// The recent requests and retries of one service.
#[derive(Debug, Clone)]
struct Window {
    slices: VecDeque<Slice>,
    paced: PacedRetries,
    /// Retries that were sent and not answered.
    in_flight: RetryCount,
    held: HeldRetries,
    total_retries: u64,
}

/// Counts requests and retries by service in a sliding window.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    limits: RetryBudgetLimits,
    boxes: u64,
    started_ms: u64,
    windows: HashMap<String, Window>,
}

impl SharedRetryBudget {
    /// Creates the budget of a process that started at `started_ms`, and shares it with others of `boxes` boxes in all.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, boxes: u64, started_ms: u64) -> Self {
        Self { limits, boxes: boxes.max(1), started_ms, windows: HashMap::new() }
    }

    /// Sets how many boxes share the budget from now on.
    pub fn set_boxes(&mut self, boxes: u64, now_ms: u64) {
        let rate = self.pace_rate();
        self.windows.values_mut().for_each(|window| window.paced.advance(&rate, now_ms));
        self.boxes = boxes.max(1);
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &str, now_ms: u64) {
        let is_settled = now_ms >= self.settled_from_ms();
        let paced_per_request = self.limits.ratio * if is_settled { PACED_SHARE } else { UNSETTLED_PACED_SHARE };
        let window = self.window(service, now_ms);
        window.current().requests += 1;
        window.paced.add(paced_per_request);
    }

    /// Returns whether a retry is left in the budget.
    #[must_use]
    pub fn has_retry(&self, service: &str, now_ms: u64) -> bool {
        self.has_paced_retry(service, now_ms) || self.has_reserve_retry(service, now_ms)
    }

    /// Returns whether a retry is left in the budget, and may be held for an attempt that is abandoned.
    #[must_use]
    pub fn has_holdable_retry(&self, service: &str, now_ms: u64) -> bool {
        let may_hold = (self.held(service) + 1) as f64 <= HELD_SHARE * self.allowance(service, now_ms);
        may_hold && self.has_retry(service, now_ms)
    }

    /// Takes one retry from the budget, if one is left.
    #[must_use]
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> Option<TakenRetry> {
        let is_paced = self.has_paced_retry(service, now_ms);
        if !is_paced && !self.has_reserve_retry(service, now_ms) {
            return None;
        }
        let (rate, max_saved) = (self.pace_rate(), self.max_saved(service, now_ms));
        let window = self.window(service, now_ms);
        if is_paced {
            window.paced.advance(&rate, now_ms);
            window.paced.take(max_saved);
        }
        window.total_retries += 1;
        let number = window.total_retries;
        window.in_flight.add(!is_paced);
        Some(TakenRetry { number, is_in_flight: true, is_reserve: !is_paced })
    }

    /// A retry has arrived, since its endpoint has answered, or never arrives. It counts for one window from now on, unless
    /// it is held.
    pub fn on_arrived(&mut self, service: &str, retry: &mut TakenRetry, now_ms: u64) {
        let window = self.window(service, now_ms);
        if window.end_flight(retry) {
            let slice = window.current();
            slice.retries += 1;
            slice.reserve_retries += u64::from(retry.is_reserve);
        }
    }

    /// Counts a retry until an abandoned attempt of its request has arrived.
    pub fn hold(&mut self, service: &str, retry: &mut TakenRetry, attempt: AbandonedAttempt, now_ms: u64) {
        let window = self.window(service, now_ms);
        window.end_flight(retry);
        window.held.hold(retry, attempt);
    }

    /// An endpoint has answered a request that was sent at `sent_ms`. Returns how many retries were held until then.
    pub fn on_answered(&mut self, service: &str, endpoint: &EndpointIncarnation, sent_ms: u64, now_ms: u64) -> u64 {
        self.settle(service, now_ms, |held| held.on_answered(endpoint, sent_ms))
    }

    /// An endpoint has started again.
    pub fn on_restarted(&mut self, service: &str, id: &str, started_ms: u64, now_ms: u64) {
        self.settle(service, now_ms, |held| held.on_restarted(id, started_ms));
    }

    /// Stops holding retries for attempts that are too old to arrive.
    pub fn expire_held(&mut self, now_ms: u64) {
        for window in self.windows.values_mut() {
            window.held.expire(now_ms);
        }
    }

    /// Counts the retries that `settle` releases as of now.
    fn settle(&mut self, service: &str, now_ms: u64, settle: impl Fn(&mut HeldRetries) -> RetryCount) -> u64 {
        if self.held(service) == 0 {
            return 0;
        }
        let window = self.window(service, now_ms);
        let settled = settle(&mut window.held);
        let slice = window.current();
        slice.retries += settled.count;
        slice.reserve_retries += settled.from_reserve;
        settled.count
    }

    /// Returns how much of the budget of a service this process has used.
    #[must_use]
    pub fn usage(&self, service: &str, now_ms: u64) -> RetryUsage {
        RetryUsage {
            requests: self.recent_requests(service, now_ms),
            retries: self.counted_retries(service, now_ms),
            held: self.held(service),
            total_retries: self.windows.get(service).map_or(0, |window| window.total_retries),
            boxes: self.boxes,
        }
    }

    /// Returns the services that got requests.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.windows.keys().map(String::as_str)
    }

    fn has_paced_retry(&self, service: &str, now_ms: u64) -> bool {
        let paced = self.windows.get(service).map(|window| window.paced);
        let is_available = paced.is_some_and(|paced| paced.available(&self.pace_rate(), now_ms) >= 1.0);
        // Where the allowance of a box is hardly more than one retry, what it saves may be more than the allowance.
        is_available && self.is_within_allowance(service, now_ms)
    }

    fn has_reserve_retry(&self, service: &str, now_ms: u64) -> bool {
        if now_ms < self.settled_from_ms() {
            return false;
        }
        let window = self.windows.get(service);
        let open = window.map_or(0, |window| window.held.reserve_len() + window.in_flight.from_reserve);
        let used: u64 = self.recent_slices(service, now_ms).map(|slice| slice.reserve_retries).sum();
        let reserve = BURST_SHARE * self.allowance(service, now_ms) - self.max_saved(service, now_ms);
        (used + open + 1) as f64 <= reserve && self.is_within_allowance(service, now_ms)
    }

    /// Returns whether one more retry fits beside all that count now. Held retries were sent at any time, and are bounded
    /// by neither part of the budget.
    fn is_within_allowance(&self, service: &str, now_ms: u64) -> bool {
        let counted = self.counted_retries(service, now_ms);
        (counted + 1) as f64 <= (PACED_SHARE + BURST_SHARE) * self.allowance(service, now_ms)
    }

    /// Retries that arrived within the last window, and those that may still arrive.
    fn counted_retries(&self, service: &str, now_ms: u64) -> u64 {
        let in_flight = self.windows.get(service).map_or(0, |window| window.in_flight.count);
        self.recent_slices(service, now_ms).map(|slice| slice.retries).sum::<u64>() + in_flight + self.held(service)
    }

    fn held(&self, service: &str) -> u64 {
        self.windows.get(service).map_or(0, |window| window.held.len())
    }

    /// Paced retries that this box saves at most.
    fn max_saved(&self, service: &str, now_ms: u64) -> f64 {
        (SAVED_SHARE * self.allowance(service, now_ms)).max(MIN_SAVED)
    }

    /// Retries that the platform allows this box within a window.
    fn allowance(&self, service: &str, now_ms: u64) -> f64 {
        self.limits.ratio * self.recent_requests(service, now_ms) as f64 + self.fixed_share()
    }

    /// The part of the fixed allowance that this box may use in a window.
    fn fixed_share(&self) -> f64 {
        self.limits.fixed as f64 / self.boxes as f64
    }

    /// How paced retries become available with time.
    fn pace_rate(&self) -> PaceRate {
        let per_ms = self.fixed_share() / self.limits.window_ms.max(1) as f64;
        PaceRate {
            unsettled_per_ms: UNSETTLED_PACED_SHARE * per_ms,
            settled_per_ms: PACED_SHARE * per_ms,
            settled_from_ms: self.settled_from_ms(),
        }
    }

    /// When this process has settled in.
    fn settled_from_ms(&self) -> u64 {
        let late_ms = (LATE_ARRIVAL_SHARE * self.limits.window_ms as f64) as u64;
        self.started_ms + self.limits.window_ms + self.slice_ms() + late_ms
    }

    /// Requests within the last window. Rounded down to whole slices, as retries are rounded up to them.
    fn recent_requests(&self, service: &str, now_ms: u64) -> u64 {
        let number = self.slice_number(now_ms);
        let within = self.recent_slices(service, now_ms).filter(|slice| slice.number + SLICES > number);
        within.map(|slice| slice.requests).sum()
    }

    /// The slices that overlap the last window.
    fn recent_slices(&self, service: &str, now_ms: u64) -> impl Iterator<Item = &Slice> {
        let number = self.slice_number(now_ms);
        let slices = self.windows.get(service).into_iter().flat_map(|window| &window.slices);
        slices.filter(move |slice| slice.number + SLICES >= number)
    }

    fn slice_ms(&self) -> u64 {
        (self.limits.window_ms / SLICES).max(1)
    }

    fn slice_number(&self, now_ms: u64) -> u64 {
        now_ms / self.slice_ms()
    }

    /// Returns the window of a service, whose current slice is that of `now_ms`.
    fn window(&mut self, service: &str, now_ms: u64) -> &mut Window {
        let number = self.slice_number(now_ms);
        if !self.windows.contains_key(service) {
            self.windows.insert(service.to_owned(), Window::new(self.started_ms));
        }
        let window = self.windows.get_mut(service).expect("inserted above");
        window.advance(number);
        window
    }
}

impl Window {
    const fn new(started_ms: u64) -> Self {
        Self {
            slices: VecDeque::new(),
            paced: PacedRetries::new(started_ms),
            in_flight: RetryCount { count: 0, from_reserve: 0 },
            held: HeldRetries::new(),
            total_retries: 0,
        }
    }

    /// Removes slices that have left the window, and begins the slice `number`.
    fn advance(&mut self, number: u64) {
        while self.slices.front().is_some_and(|slice| slice.number + SLICES < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.number != number) {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
    }

    /// Ends the flight of a retry; returns false if it had ended before.
    const fn end_flight(&mut self, retry: &mut TakenRetry) -> bool {
        let was_in_flight = std::mem::replace(&mut retry.is_in_flight, false);
        if was_in_flight {
            self.in_flight.remove(retry.is_reserve);
        }
        was_in_flight
    }

    fn current(&mut self) -> &mut Slice {
        self.slices.back_mut().expect("`advance` has begun a slice")
    }
}
