//! A budget that keeps retries to a share of the requests.

/// Tokens in thousandths, so that shares need no floating point.
const TOKEN: u64 = 1000;

/// Allows retries up to a share of the requests seen, plus a small reserve.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u64,
    cap: u64,
    balance: u64,
}

impl RetryBudget {
    /// A budget of `share_permille` retries for each thousand requests, with a
    /// reserve of `reserve` retries.
    #[must_use]
    pub const fn new(share_permille: u64, reserve: u64) -> Self {
        Self { share_permille, cap: reserve * TOKEN, balance: reserve * TOKEN }
    }

    /// Counts one new request.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.share_permille).min(self.cap);
    }

    /// Takes one retry, or says that none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(TOKEN) else {
            return false;
        };
        self.balance = rest;
        true
    }
}

impl Default for RetryBudget {
    /// One retry for each ten requests, with a reserve of 20.
    fn default() -> Self {
        Self::new(100, 20)
    }
}
