//! The trial of requests with prompt parts that are suspected of crashing endpoints.

use std::cell::Cell;
use std::rc::Rc;

use ochreyard_core::direct::{QuarantineUpdate, TrialClaim};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;
use crate::peers::broadcast;

/// A request's claim on the trial of its service, across all boxes. Dropping it lets another request claim the trial.
pub struct PartTrial<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    /// Identifier of the request, for logs.
    request_id: String,
    /// Distinguishes this claim from those of other requests.
    claimant: u64,
    /// When the claim was made, and whether the request was sent since.
    claimed_ms: Cell<Option<u64>>,
    is_sent: Cell<bool>,
}

/// Whether a request with a suspected part may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialTurn {
    /// It may be sent, as the trial.
    Now,
    /// Another request may still turn out to have claimed the trial first.
    Soon,
    /// Another request runs the trial.
    AfterOther {
        /// Longest remaining time of that trial, in milliseconds.
        left_ms: u64,
    },
}

impl<D: Dialect> PartTrial<D> {
    /// Prepares a claim on the trial of a service.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, request_id: &str) -> Self {
        Self {
            entry: Rc::clone(entry),
            service: service.to_owned(),
            request_id: request_id.to_owned(),
            claimant: entry.next_random(),
            claimed_ms: Cell::new(None),
            is_sent: Cell::new(false),
        }
    }

    /// Makes or renews the claim, and returns whether the request may be sent.
    pub fn claim(&self) -> TrialTurn {
        let now_ms = self.entry.clock.now_ms();
        let claim = self.entry.state.borrow_mut().quarantine.claim_trial(&self.service, self.claimant, now_ms);
        match claim {
            TrialClaim::Granted => TrialTurn::Now,
            TrialClaim::Pending => TrialTurn::Soon,
            TrialClaim::Taken { left_ms } => TrialTurn::AfterOther { left_ms },
            TrialClaim::Announced(update) => {
                if self.claimed_ms.get().is_none() {
                    self.claimed_ms.set(Some(now_ms));
                }
                broadcast(&self.entry, &update);
                TrialTurn::Soon
            }
        }
    }

    /// Records that the request is sent as the trial.
    pub fn begin(&self) {
        log::info!("event=suspect_tried request={} service={}", self.request_id, self.service);
        self.is_sent.set(true);
        meters::on_trial();
    }
}

impl<D: Dialect> Drop for PartTrial<D> {
    fn drop(&mut self) {
        let released: Option<QuarantineUpdate> =
            self.entry.state.borrow_mut().quarantine.release_claim(&self.service, self.claimant);
        if let Some(update) = released {
            let held_ms = self.claimed_ms.get().map_or(0, |claimed_ms| self.entry.clock.now_ms() - claimed_ms);
            log::info!(
                "event=trial_released request={} service={} sent={} held_ms={held_ms}",
                self.request_id,
                self.service,
                self.is_sent.get()
            );
            broadcast(&self.entry, &update);
        }
    }
}
