//! Retry budget of this box, which bounds the retries of all boxes together.
//!
//! No box knows how many retries the others use at the moment. So each box uses
//! an equal share of the fixed allowance, by the number of boxes it knows, and a
//! ratio of its own requests.

use std::collections::{HashMap, VecDeque};

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

/// Counts requests and retries by service in a sliding window.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    limits: RetryBudgetLimits,
    boxes: u64,
    windows: HashMap<String, VecDeque<Slice>>,
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
        self.slice(service, now_ms).requests += 1;
    }

    /// Returns whether a retry is left in the budget.
    #[must_use]
    pub fn has_retry(&self, service: &str, now_ms: u64) -> bool {
        let number = self.slice_number(now_ms);
        let recent = || self.windows.get(service).into_iter().flatten().filter(|s| s.number + SLICES >= number);
        let requests: u64 = recent().map(|slice| slice.requests).sum();
        let used: u64 = recent().map(|slice| slice.retries).sum();
        let fixed = self.limits.fixed as f64 / self.boxes as f64;
        let allowed = USABLE_SHARE * (self.limits.ratio * requests as f64 + fixed);
        (used + 1) as f64 <= allowed
    }

    /// Takes one retry from the budget. Returns whether one was left.
    #[must_use]
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let is_granted = self.has_retry(service, now_ms);
        if is_granted {
            self.slice(service, now_ms).retries += 1;
        }
        is_granted
    }

    const fn slice_number(&self, now_ms: u64) -> u64 {
        let length_ms = self.limits.window_ms / SLICES;
        now_ms / if length_ms == 0 { 1 } else { length_ms }
    }

    fn slice(&mut self, service: &str, now_ms: u64) -> &mut Slice {
        let number = self.slice_number(now_ms);
        if !self.windows.contains_key(service) {
            self.windows.insert(service.to_owned(), VecDeque::new());
        }
        let window = self.windows.get_mut(service).expect("inserted above");
        while window.front().is_some_and(|slice| slice.number + SLICES < number) {
            window.pop_front();
        }
        if window.back().is_none_or(|slice| slice.number != number) {
            window.push_back(Slice { number, ..Slice::default() });
        }
        window.back_mut().expect("pushed above")
    }
}
