//! How a request is admitted to groups with a stream limit.

/// How a request is admitted to groups with a stream limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// By its urgency and its level. Holds a random number that stays the same for all decisions on the request: a
    /// group draws once for each report and not for each attempt, since a waiting request tries 100 times a second.
    Drawn(u64),
    /// In any case: the request ran already, so that it replaces itself among the running requests, or no request is
    /// sent.
    Exempt,
}
