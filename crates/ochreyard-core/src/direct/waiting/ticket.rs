//! Identifies a waiting request.

/// Identifies one request in a wait queue. Requests that joined later have larger tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);
