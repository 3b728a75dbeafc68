//! Records how requests end that met a stalled service.

use std::rc::Rc;

use ochreyard_core::direct::StallHandling;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Records on drop how a request ended that met a stalled service, so that every way of ending counts.
pub struct StallOutcome<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    met: Option<StallHandling>,
    is_served: bool,
}

impl<D: Dialect> StallOutcome<D> {
    /// Starts a recorder. A returning caller was sent back before, since the service was stalled.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, has_come_back: bool) -> Self {
        let met = has_come_back.then_some(StallHandling::CallerRetried);
        Self { entry: Rc::clone(entry), service: service.to_owned(), met, is_served: false }
    }

    /// Records that the request is held until the service resumes.
    pub const fn on_held(&mut self) {
        self.met = Some(StallHandling::Held);
    }

    /// Records that the request got a complete answer.
    pub const fn on_served(&mut self) {
        self.is_served = true;
    }
}

impl<D: Dialect> Drop for StallOutcome<D> {
    fn drop(&mut self) {
        let Some(met) = self.met else { return };
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().queue(&self.service).stall_outcomes.record(met, self.is_served, now_ms);
    }
}
