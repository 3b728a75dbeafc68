//! The slot of one request in the wait queue of its service.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::direct::{PendingRequest, Priority, Ticket};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;

/// Waits from this length on are logged, in milliseconds: about the latency target of most callers.
const LONG_WAIT_MS: u64 = 300;

/// How a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitEnd {
    /// The request was sent to an endpoint.
    Sent,
    /// The request was given up.
    Abandoned,
    /// The caller disconnected.
    CallerLeft,
}

impl WaitEnd {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Abandoned => "given_up",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Holds a slot in the wait queue of a service until dropped.
pub struct QueueSlot<D: Dialect> {
    entry: Rc<Entry<D>>,
    id: String,
    service: String,
    workspace: String,
    priority: Priority,
    /// Number of requests that went before this one when it joined.
    ahead: usize,
    ticket: Ticket,
    since_ms: u64,
    /// When the caller last received something.
    silent_since_ms: u64,
    deadline_ms: u64,
    end: Cell<WaitEnd>,
}

impl<D: Dialect> QueueSlot<D> {
    /// Joins the wait queue. `id` identifies the request in log lines.
    pub fn join(entry: &Rc<Entry<D>>, id: &str, request: &PendingRequest<'_>) -> Self {
        let since_ms = entry.clock.now_ms();
        let PendingRequest { service, workspace, priority, deadline_ms, silent_since_ms, .. } = *request;
        let mut state = entry.state.borrow_mut();
        let wait_queue = &mut state.queue(service).wait_queue;
        let ahead = wait_queue.ahead(request, since_ms);
        let ticket = wait_queue.join(request);
        drop(state);
        let end = Cell::new(WaitEnd::CallerLeft);
        Self {
            entry: Rc::clone(entry),
            id: id.to_owned(),
            service: service.to_owned(),
            workspace: workspace.unwrap_or("-").to_owned(),
            priority,
            ahead,
            ticket,
            since_ms,
            silent_since_ms,
            deadline_ms,
            end,
        }
    }

    /// The ticket of this slot.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Sets how the wait ends, unless the caller disconnects first.
    pub fn set_end(&self, end: WaitEnd) {
        self.end.set(end);
    }
}

impl<D: Dialect> Drop for QueueSlot<D> {
    fn drop(&mut self) {
        let now_ms = self.entry.clock.now_ms();
        let (waited_ms, left_ms) = (now_ms.saturating_sub(self.since_ms), self.deadline_ms.saturating_sub(now_ms));
        let outcome = self.end.get().as_str();
        let mut state = self.entry.state.borrow_mut();
        let queue = state.queue(&self.service);
        queue.wait_queue.leave(self.ticket);
        if self.end.get() == WaitEnd::CallerLeft {
            queue.patience.record_abandonment(now_ms.saturating_sub(self.silent_since_ms));
        }
        drop(state);
        meters::on_waited(&self.service, outcome, waited_ms);
        if waited_ms >= LONG_WAIT_MS {
            log::info!(
                "event=request_waited request={} service={} workspace={} priority={} ahead={} outcome={outcome} \
                 waited_ms={waited_ms} left_ms={left_ms}",
                self.id,
                self.service,
                self.workspace,
                self.priority,
                self.ahead
            );
        }
    }
}
