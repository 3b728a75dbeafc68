//! How one try of a caller ends, for those that come after it.

use std::rc::Rc;

use ochreyard_core::direct::Met;

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Notes how a try ended that met a service which stood: when it goes away, whichever way that comes about.
pub struct StallOutcome<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    met: Option<Met>,
    is_served: bool,
}

impl<D: Dialect> StallOutcome<D> {
    /// A try that has met nothing yet; one whose caller has come back was sent back before.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, has_come_back: bool) -> Self {
        let met = has_come_back.then_some(Met::SentBack);
        Self { entry: Rc::clone(entry), service: service.to_owned(), met, is_served: false }
    }

    /// It is held.
    pub const fn on_held(&mut self) {
        self.met = Some(Met::Held);
    }

    /// Its answer was whole.
    pub const fn on_served(&mut self) {
        self.is_served = true;
    }
}

impl<D: Dialect> Drop for StallOutcome<D> {
    fn drop(&mut self) {
        let Some(met) = self.met else { return };
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().queue(&self.service).endings.note(met, self.is_served, now_ms);
    }
}
