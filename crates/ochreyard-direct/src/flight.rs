//! An attempt under way, as it counts at its endpoint.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::direct::{Outcome, Pick};

use crate::dialect::Dialect;
use crate::entry::Entry;

/// Counts an attempt at its endpoint for as long as it lives.
pub struct Flight<D: Dialect> {
    entry: Rc<Entry<D>>,
    pick: Pick,
    outcome: Cell<Outcome>,
    is_answered: Cell<bool>,
}

impl<D: Dialect> Flight<D> {
    /// An attempt at the picked endpoint begins.
    pub fn start(entry: &Rc<Entry<D>>, pick: &Pick) -> Self {
        entry.state.borrow_mut().pool.on_start(pick);
        let outcome = Cell::new(Outcome::Unknown);
        Self { entry: Rc::clone(entry), pick: pick.clone(), outcome, is_answered: Cell::new(false) }
    }

    /// Sets how the attempt ended.
    pub fn set(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Notes that the endpoint was heard.
    pub fn on_heard(&self) {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_heard(&self.pick.id, now_ms);
        self.note_answered();
    }

    /// Notes once that the endpoint has answered, or will not.
    fn note_answered(&self) {
        if !self.is_answered.replace(true) {
            self.entry.state.borrow_mut().pool.on_answered(&self.pick);
        }
    }

    /// Whether the endpoint has said nothing to anybody here for so long.
    pub fn is_silent(&self, for_ms: u64) -> bool {
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow().pool.is_silent(&self.pick.id, for_ms, now_ms)
    }
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        self.note_answered();
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_end(&self.pick, self.outcome.get(), now_ms);
    }
}
