//! Retry budget of this box, which bounds the retries of all boxes together.
//!
//! No box knows how many retries the others use at the moment. So each box uses
//! an equal share of the fixed allowance, by the number of boxes it knows, and a
//! ratio of its own requests.

use std::collections::{HashMap, VecDeque};

use super::retry_usage::RetryUsage;

/// Limits of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that all boxes together may send in a window beyond the ratio.
    pub fixed: u64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Share of the allowance that is used. The rest is a margin for boxes that are not known
/// yet, and for windows that are not aligned with the slices.
const USABLE_SHARE: f64 = 0.8;
/// Number of slices that a window is counted in.
const SLICES: u64 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// The recent requests and retries of one service.
#[derive(Debug, Clone, Default)]
struct Window {
    slices: VecDeque<Slice>,
    total_retries: u64,
}

/// Counts requests and retries by service in a sliding window.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    limits: RetryBudgetLimits,
    boxes: u64,
    windows: HashMap<String, Window>,
}

impl SharedRetryBudget {
    /// Creates a budget that is shared by `boxes` boxes, including this one.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits, boxes: u64) -> Self {
        Self { limits, boxes: boxes.max(1), windows: HashMap::new() }
    }

    /// Sets how many boxes share the budget.
    pub fn set_boxes(&mut self, boxes: u64) {
        self.boxes = boxes.max(1);
    }

    /// Counts a request for a service.
    pub fn on_request(&mut self, service: &str, now_ms: u64) {
        self.window(service, now_ms).current().requests += 1;
    }

    /// Returns whether a retry is left in the budget.
    #[must_use]
    pub fn has_retry(&self, service: &str, now_ms: u64) -> bool {
        let usage = self.usage(service, now_ms);
        let fixed = self.limits.fixed as f64 / self.boxes as f64;
        let allowed = USABLE_SHARE * (self.limits.ratio * usage.requests as f64 + fixed);
        (usage.retries + 1) as f64 <= allowed
    }

    /// Returns how much of the budget of a service this process has used.
    #[must_use]
    pub fn usage(&self, service: &str, now_ms: u64) -> RetryUsage {
        let number = self.slice_number(now_ms);
        let window = self.windows.get(service);
        let recent = || window.into_iter().flat_map(|w| &w.slices).filter(|slice| slice.number + SLICES >= number);
        RetryUsage {
            requests: recent().map(|slice| slice.requests).sum(),
            retries: recent().map(|slice| slice.retries).sum(),
            total_retries: window.map_or(0, |window| window.total_retries),
            boxes: self.boxes,
        }
    }

    /// Returns the services that got requests.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.windows.keys().map(String::as_str)
    }

    /// Takes one retry from the budget. Returns whether one was left.
    #[must_use]
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let is_granted = self.has_retry(service, now_ms);
        if is_granted {
            let window = self.window(service, now_ms);
            window.total_retries += 1;
            window.current().retries += 1;
        }
        is_granted
    }

    const fn slice_number(&self, now_ms: u64) -> u64 {
        let length_ms = self.limits.window_ms / SLICES;
        now_ms / if length_ms == 0 { 1 } else { length_ms }
    }

    /// Returns the window of a service, whose current slice is that of `now_ms`.
    fn window(&mut self, service: &str, now_ms: u64) -> &mut Window {
        let number = self.slice_number(now_ms);
        if !self.windows.contains_key(service) {
            self.windows.insert(service.to_owned(), Window::default());
        }
        let window = self.windows.get_mut(service).expect("inserted above");
        window.advance(number);
        window
    }
}

impl Window {
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
