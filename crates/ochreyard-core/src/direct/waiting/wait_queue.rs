//! The requests of one service that wait at this entry, and the order in which they are sent.

use crate::direct::urgency::Urgency;

/// Identifies one request in a wait queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

#[derive(Debug, Clone, Copy)]
struct Waiter {
    ticket: Ticket,
    on_time_until_ms: u64,
    deadline_ms: u64,
}

impl Waiter {
    const fn urgency(&self, now_ms: u64) -> Urgency {
        if now_ms < self.on_time_until_ms { Urgency::OnTime } else { Urgency::Late }
    }

    /// Sort key, lowest first: requests on time before late ones, then by the earliest deadline.
    const fn order(&self, now_ms: u64) -> (bool, u64, u64) {
        (matches!(self.urgency(now_ms), Urgency::Late), self.deadline_ms, self.ticket.0)
    }
}

/// The requests of one service that wait at this entry.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    next_ticket: u64,
}

impl WaitQueue {
    /// Adds a request, which can meet its latency target if it is sent before `on_time_until_ms`.
    pub fn join(&mut self, on_time_until_ms: u64, deadline_ms: u64) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiters.push(Waiter { ticket, on_time_until_ms, deadline_ms });
        ticket
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a new request may be sent before all that wait.
    #[must_use]
    pub fn may_overtake(&self, urgency: Urgency, now_ms: u64) -> bool {
        let is_on_time = |waiter: &Waiter| waiter.urgency(now_ms) == Urgency::OnTime;
        match urgency {
            Urgency::OnTime => !self.waiters.iter().any(is_on_time),
            Urgency::Late => self.waiters.is_empty(),
        }
    }

    /// Returns how many late requests go before a late request that has `ticket`, or has none yet.
    #[must_use]
    pub fn late_ahead(&self, ticket: Option<Ticket>, deadline_ms: u64, now_ms: u64) -> usize {
        let own = (deadline_ms, ticket.map_or(u64::MAX, |ticket| ticket.0));
        let is_ahead = |waiter: &&Waiter| (waiter.deadline_ms, waiter.ticket.0) < own;
        self.waiters.iter().filter(|waiter| waiter.urgency(now_ms) == Urgency::Late).filter(is_ahead).count()
    }

    /// Returns how many requests go before one that has `ticket`, or has none yet.
    #[must_use]
    pub fn ahead(&self, ticket: Option<Ticket>, urgency: Urgency, deadline_ms: u64, now_ms: u64) -> usize {
        let own = (urgency == Urgency::Late, deadline_ms, ticket.map_or(u64::MAX, |ticket| ticket.0));
        self.waiters.iter().filter(|waiter| waiter.order(now_ms) < own).count()
    }

    /// Returns whether no other waiting request goes before this one.
    #[must_use]
    pub fn is_next(&self, ticket: Ticket, now_ms: u64) -> bool {
        let first = self.waiters.iter().min_by_key(|waiter| waiter.order(now_ms));
        first.is_none_or(|first| first.ticket == ticket)
    }
}
