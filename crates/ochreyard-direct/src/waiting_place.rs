//! The place of one request among those that wait.

use std::rc::Rc;

use ochreyard_core::direct::Ticket;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Keeps a place in the line of a service for as long as it lives.
pub struct WaitingPlace<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    ticket: Ticket,
    since_ms: u64,
}

impl<D: Dialect> WaitingPlace<D> {
    /// Joins the line.
    pub fn join(entry: &Rc<Entry<D>>, service: &str, in_aim_until_ms: u64, deadline_ms: u64) -> Self {
        let ticket = entry.state.borrow_mut().queue(service).line.join(in_aim_until_ms, deadline_ms);
        Self { entry: Rc::clone(entry), service: service.to_owned(), ticket, since_ms: entry.clock.now_ms() }
    }

    /// How long it has been kept, in milliseconds.
    pub fn waited_ms(&self) -> u64 {
        self.entry.clock.now_ms().saturating_sub(self.since_ms)
    }

    /// Its ticket.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl<D: Dialect> Drop for WaitingPlace<D> {
    fn drop(&mut self) {
        self.entry.state.borrow_mut().queue(&self.service).line.leave(self.ticket);
    }
}
