//! A retry budget, which limits retries to a share of the requests.

/// One retry, in thousandths, so that shares need no floating point.
const RETRY_PERMILLE: u64 = 1000;

/// Allows retries up to a share of the requests, plus a small reserve.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u64,
    cap_permille: u64,
    balance_permille: u64,
}

impl RetryBudget {
    /// Creates a budget of `share_permille` retries for each thousand requests, with a reserve of `reserve` retries.
    #[must_use]
    pub const fn new(share_permille: u64, reserve: u64) -> Self {
        Self { share_permille, cap_permille: reserve * RETRY_PERMILLE, balance_permille: reserve * RETRY_PERMILLE }
    }

    /// Records a new request.
    pub fn on_request(&mut self) {
        self.balance_permille = (self.balance_permille + self.share_permille).min(self.cap_permille);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.balance_permille.checked_sub(RETRY_PERMILLE) else {
            return false;
        };
        self.balance_permille = rest;
        true
    }
}

impl Default for RetryBudget {
    /// Creates a budget of one retry for each ten requests, with a reserve of 20 retries.
    fn default() -> Self {
        Self::new(100, 20)
    }
}
