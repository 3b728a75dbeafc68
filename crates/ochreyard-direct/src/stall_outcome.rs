//! Records how requests end that met a stalled service.

use std::rc::Rc;

use ochreyard_core::direct::StallHandling;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Records on drop how a request ended that met a stalled service, so that every way of ending counts.
pub struct StallOutcome<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    handling: Option<StallHandling>,
    is_served: bool,
}

impl<D: Dialect> StallOutcome<D> {
    /// Starts a recorder. The request of a caller that retries was sent back before.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, is_caller_retry: bool) -> Self {
        let handling = is_caller_retry.then_some(StallHandling::CallerRetried);
        Self { entry: Rc::clone(entry), service: service.to_owned(), handling, is_served: false }
    }

    /// Records that the request is held until the service resumes.
    pub const fn on_held(&mut self) {
        self.handling = Some(StallHandling::Held);
    }

    /// Records that the request got a complete answer.
    pub const fn on_served(&mut self) {
        self.is_served = true;
    }
}

impl<D: Dialect> Drop for StallOutcome<D> {
    fn drop(&mut self) {
        let Some(handling) = self.handling else { return };
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().queue(&self.service).stall_outcomes.record(handling, self.is_served, now_ms);
    }
}
