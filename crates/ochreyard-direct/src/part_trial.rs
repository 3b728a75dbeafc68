//! The trial of requests with prompt parts that are suspected of crashing endpoints.
//!
//! A request first claims the trials of its suspected parts ([`TrialClaim`]), and is then sent as their trial
//! ([`RunningTrial`]). Dropping either lets another request claim them.

use std::rc::Rc;

use ochreyard_core::direct::{Fingerprint, PromptPart, TrialClaim as ClaimState};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::meters;
use crate::peers::broadcast;

/// A request's claim on the trials of its suspected parts, across all boxes.
pub struct TrialClaim<D: Dialect> {
    claims: Claims<D>,
}

/// A trial that an endpoint may run.
pub struct RunningTrial<D: Dialect> {
    claims: Claims<D>,
}

/// Whether a request with a suspected part may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialTurn {
    /// It may be sent, as the trial.
    Now,
    /// Another request may still turn out to have claimed a trial first.
    Soon,
    /// Another request runs a trial.
    AfterOther {
        /// Longest remaining time of that trial, in milliseconds.
        left_ms: u64,
    },
}

impl<D: Dialect> TrialClaim<D> {
    /// Prepares a claim for a request whose prompt has these parts.
    pub fn new(entry: &Rc<Entry<D>>, service: &str, request_id: &str, prompt_parts: &[PromptPart]) -> Self {
        let random = entry.next_random();
        let claims = Claims {
            entry: Rc::clone(entry),
            service: service.to_owned(),
            request_id: request_id.to_owned(),
            claimant: entry.state.borrow().quarantine.claimant(prompt_parts, random),
            parts: Vec::new(),
            claimed_ms: None,
            is_sent: false,
        };
        Self { claims }
    }

    /// Makes or renews the claim on the trials of these parts, and returns whether the request may be sent.
    pub fn claim(&mut self, suspected: Vec<Fingerprint>) -> TrialTurn {
        let Claims { entry, service, claimant, parts, claimed_ms, .. } = &mut self.claims;
        *parts = suspected;
        let now_ms = entry.clock.now_ms();
        let claim = entry.state.borrow_mut().quarantine.claim_trials(service, parts, *claimant, now_ms);
        match claim {
            ClaimState::Granted => TrialTurn::Now,
            ClaimState::Pending => TrialTurn::Soon,
            ClaimState::Taken { left_ms } => {
                self.claims.release();
                TrialTurn::AfterOther { left_ms }
            }
            ClaimState::Announced(update) => {
                claimed_ms.get_or_insert(now_ms);
                broadcast(entry, &update);
                TrialTurn::Soon
            }
        }
    }

    /// Records that the request is sent as the trial.
    pub fn begin(mut self) -> RunningTrial<D> {
        log::info!("event=suspect_tried request={} service={}", self.claims.request_id, self.claims.service);
        meters::on_trial();
        self.claims.is_sent = true;
        RunningTrial { claims: self.claims }
    }
}

impl<D: Dialect> RunningTrial<D> {
    /// The parts that are tried.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.claims.parts
    }

    /// Lets another request claim the trials, while this one goes on as a trial.
    pub fn admit_next(&mut self) {
        self.claims.release();
    }

    /// Returns to the claim, since no endpoint has run the request.
    pub fn into_claim(self) -> TrialClaim<D> {
        TrialClaim { claims: self.claims }
    }
}

/// Claims of one request, which end when this is dropped.
struct Claims<D: Dialect> {
    entry: Rc<Entry<D>>,
    service: String,
    /// Identifier of the request, for logs.
    request_id: String,
    /// Distinguishes these claims from those of other requests.
    claimant: u64,
    parts: Vec<Fingerprint>,
    /// When the first claim was made.
    claimed_ms: Option<u64>,
    /// Whether the request was sent since.
    is_sent: bool,
}

impl<D: Dialect> Claims<D> {
    fn release(&mut self) {
        let released = self.entry.state.borrow_mut().quarantine.release_claims(self.claimant);
        let Some(update) = released else { return };
        let held_ms = self.claimed_ms.take().map_or(0, |claimed_ms| self.entry.clock.now_ms() - claimed_ms);
        log::info!(
            "event=trial_released request={} service={} sent={} held_ms={held_ms}",
            self.request_id,
            self.service,
            self.is_sent
        );
        broadcast(&self.entry, &update);
    }
}

impl<D: Dialect> Drop for Claims<D> {
    fn drop(&mut self) {
        self.release();
    }
}
