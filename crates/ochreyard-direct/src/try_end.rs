//! How one try of a caller ends, for those that come after it.

use std::rc::Rc;

use ochreyard_core::direct::StallHandling;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Notes how a try ended that met a service which stood: when it goes away, whichever way that comes about.
pub struct TryEnd<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    met: Option<StallHandling>,
    is_served: bool,
}

impl<D: Dialect> TryEnd<D> {
    /// A try that has met nothing yet; one whose caller has come back was sent back before.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, has_come_back: bool) -> Self {
        let met = has_come_back.then_some(StallHandling::CallerRetried);
        Self { entry: Rc::clone(entry), service: service.to_owned(), met, is_served: false }
    }

    /// It is held.
    pub const fn on_held(&mut self) {
        self.met = Some(StallHandling::Held);
    }

    /// Its answer was whole.
    pub const fn on_served(&mut self) {
        self.is_served = true;
    }
}

impl<D: Dialect> Drop for TryEnd<D> {
    fn drop(&mut self) {
        let Some(met) = self.met else { return };
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().queue(&self.service).stall_outcomes.record(met, self.is_served, now_ms);
    }
}
