//! Retry budget of this box, which bounds the retries of all boxes together.
//!
//! No box knows how many retries the others use at the moment. So each box uses an equal share of the fixed allowance,
//! by the number of boxes it knows, and a ratio of its own requests.
//!
//! A process does not know either what an earlier process of its box has sent within the same window. Its allowance
//! therefore consists of two parts. One becomes available at a steady rate, so that it adds up to the same amount
//! however many processes follow each other. The other one, the reserve, can be used at once, but only by a process that
//! has run for a whole window: two processes of one box cannot both use it within one window.

use std::collections::{HashMap, VecDeque};

use super::paced_retries::PacedRetries;
use super::retry_budget_limits::RetryBudgetLimits;
use super::retry_usage::RetryUsage;

/// Share of the allowance that becomes available at a steady rate.
const PACED_SHARE: f64 = 0.6;
/// Share of the allowance that a process can use at once: the reserve, and what it has saved of the paced part. What
/// remains beside both shares is a margin for boxes that are not known yet, and for requests that are spread unevenly
/// over boxes and time.
const BURST_SHARE: f64 = 0.35;
/// Share of the allowance that a process saves of the paced part: enough that an irregular demand can use all of it.
const SAVED_SHARE: f64 = 0.1;
/// Least number of retries that are saved: fewer could never be taken.
const MIN_SAVED: f64 = 1.0;
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
        let paced_per_ms = self.paced_per_ms();
        self.windows.values_mut().for_each(|window| window.paced.advance(paced_per_ms, now_ms));
        self.boxes = boxes.max(1);
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &str, now_ms: u64) {
        let paced_per_request = PACED_SHARE * self.limits.ratio;
        let window = self.window(service, now_ms);
        window.current().requests += 1;
        window.paced.add(paced_per_request);
    }

    /// Returns whether a retry is left in the budget.
    #[must_use]
    pub fn has_retry(&self, service: &str, now_ms: u64) -> bool {
        self.has_paced_retry(service, now_ms) || self.has_reserve_retry(service, now_ms)
    }

    /// Takes one retry from the budget. Returns whether one was left.
    #[must_use]
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let is_paced = self.has_paced_retry(service, now_ms);
        let is_granted = is_paced || self.has_reserve_retry(service, now_ms);
        if is_granted {
            let (paced_per_ms, max_saved) = (self.paced_per_ms(), self.max_saved(service, now_ms));
            let window = self.window(service, now_ms);
            if is_paced {
                window.paced.advance(paced_per_ms, now_ms);
                window.paced.take(max_saved);
            }
            window.total_retries += 1;
            let slice = window.current();
            slice.retries += 1;
            slice.reserve_retries += u64::from(!is_paced);
        }
        is_granted
    }

    /// Returns how much of the budget of a service this process has used.
    #[must_use]
    pub fn usage(&self, service: &str, now_ms: u64) -> RetryUsage {
        RetryUsage {
            requests: self.recent_requests(service, now_ms),
            retries: self.recent_slices(service, now_ms).map(|slice| slice.retries).sum(),
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
        let is_available = paced.is_some_and(|paced| paced.available(self.paced_per_ms(), now_ms) >= 1.0);
        // Where the allowance of a box is hardly more than one retry, what it saves may be more than the allowance.
        let sent: u64 = self.recent_slices(service, now_ms).map(|slice| slice.retries).sum();
        is_available && (sent + 1) as f64 <= (PACED_SHARE + BURST_SHARE) * self.allowance(service, now_ms)
    }

    fn has_reserve_retry(&self, service: &str, now_ms: u64) -> bool {
        if now_ms < self.started_ms + self.limits.window_ms + self.slice_ms() {
            return false;
        }
        let used: u64 = self.recent_slices(service, now_ms).map(|slice| slice.reserve_retries).sum();
        let reserve = BURST_SHARE * self.allowance(service, now_ms) - self.max_saved(service, now_ms);
        (used + 1) as f64 <= reserve
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

    /// Paced retries that become available with time, per millisecond.
    fn paced_per_ms(&self) -> f64 {
        PACED_SHARE * self.fixed_share() / self.limits.window_ms.max(1) as f64
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
        Self { slices: VecDeque::new(), paced: PacedRetries::new(started_ms), total_retries: 0 }
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

    fn current(&mut self) -> &mut Slice {
        self.slices.back_mut().expect("`advance` has begun a slice")
    }
}
