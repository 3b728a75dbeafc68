//! An attempt under way, as it counts at its endpoint.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::direct::{Outcome, Pick};

use crate::dialect::Dialect;
use crate::entry::Entry;

/// How far an attempt has come on its way to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It was picked for the endpoint, which has a place for it.
    Picked,
    /// It was written, as far as known, and counts as an arrival at the endpoint.
    Sent {
        /// When, by the clock of this process.
        at_ms: u64,
    },
    /// The endpoint never gets it.
    Withheld,
}

impl Stage {
    const fn sent_ms(self) -> Option<u64> {
        if let Self::Sent { at_ms } = self { Some(at_ms) } else { None }
    }
}

/// Counts an attempt at its endpoint for as long as it lives.
pub struct InFlightAttempt<D: Dialect> {
    entry: Rc<Entry<D>>,
    pick: Pick,
    stage: Cell<Stage>,
    outcome: Cell<Outcome>,
    is_answered: Cell<bool>,
}

impl<D: Dialect> InFlightAttempt<D> {
    /// An attempt at the picked endpoint begins.
    pub fn start(entry: &Rc<Entry<D>>, pick: &Pick) -> Self {
        entry.state.borrow_mut().pool.on_start(pick);
        let outcome = Cell::new(Outcome::Unknown);
        Self {
            entry: Rc::clone(entry),
            pick: pick.clone(),
            stage: Cell::new(Stage::Picked),
            outcome,
            is_answered: Cell::new(false),
        }
    }

    /// Sets how the attempt ended.
    pub fn set(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Whether the request may be written now; it then counts as sent. Asked again where the connection turned out to be
    /// closed before a byte was written.
    pub fn try_send(&self) -> bool {
        if self.stage.get() == Stage::Withheld {
            return false;
        }
        let now_ms = self.entry.clock.now_ms();
        let may_send = self.entry.state.borrow_mut().pool.try_send(&self.pick, self.sent_ms(), now_ms);
        self.stage.set(if may_send { Stage::Sent { at_ms: now_ms } } else { Stage::Withheld });
        may_send
    }

    /// When the request was written.
    pub fn sent_ms(&self) -> Option<u64> {
        self.stage.get().sent_ms()
    }

    /// Notes that the endpoint never gets the request.
    pub fn withhold(&self) {
        let before = self.stage.replace(Stage::Withheld);
        if before != Stage::Withheld {
            self.entry.state.borrow_mut().pool.on_unsent(&self.pick, before.sent_ms());
        }
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

impl<D: Dialect> Drop for InFlightAttempt<D> {
    fn drop(&mut self) {
        if self.stage.get() == Stage::Picked {
            self.withhold();
        }
        self.note_answered();
        let now_ms = self.entry.clock.now_ms();
        self.entry.state.borrow_mut().pool.on_end(&self.pick, self.outcome.get(), now_ms);
    }
}
