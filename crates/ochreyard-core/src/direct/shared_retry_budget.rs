//! How often this box may send a request a second time.
//!
//! The budget holds over all boxes together, and no box knows what the others
//! use at the moment. So each takes a share of the fixed part by the number of
//! boxes it knows, and a share of its own requests for the rest.

use std::collections::{HashMap, VecDeque};

/// Figures of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that all boxes together may send in a window beyond the ratio.
    pub fixed: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Share of the allowance that is used: the rest covers boxes that are not known
/// yet and windows that slide between ours.
const USED_SHARE: f64 = 0.8;
/// Windows are counted in this many slices.
const SLICES: u64 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Counts requests and repeats by service in a sliding window.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    limits: RetryBudgetLimits,
    boxes: u64,
    windows: HashMap<String, VecDeque<Slice>>,
}

impl SharedRetryBudget {
    /// A budget that is shared with `boxes` boxes, this one included.
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

    /// Whether one repeat is left.
    #[must_use]
    pub fn has_retry(&self, service: &str, now_ms: u64) -> bool {
        let number = self.slice_number(now_ms);
        let recent = || self.windows.get(service).into_iter().flatten().filter(|s| s.number + SLICES >= number);
        let requests: u64 = recent().map(|slice| slice.requests).sum();
        let used: u64 = recent().map(|slice| slice.repeats).sum();
        let fixed = self.limits.fixed as f64 / self.boxes as f64;
        let allowed = USED_SHARE * (self.limits.ratio * requests as f64 + fixed);
        (used + 1) as f64 <= allowed
    }

    /// Takes one repeat, or says that none is left.
    #[must_use]
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let has_one = self.has_retry(service, now_ms);
        if has_one {
            self.slice(service, now_ms).repeats += 1;
        }
        has_one
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
