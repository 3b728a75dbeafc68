//! Schemes by which boxes may divide a limit.

use std::collections::HashMap;

use ochreyard_core::direct::{Quota, RequestRate, SharingBoxes};

/// A scheme by which boxes divide a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheme {
    /// Each box uses the whole limit.
    Alone,
    /// Each box sends at even intervals, at its fraction of the rate.
    EvenPace,
    /// Boxes send in turns, counted from the first report of the limit.
    Turns,
    /// Boxes get shares of whole requests per window. This is the scheme in use.
    Quota,
}

pub const SCHEMES: [Scheme; 4] = [Scheme::Alone, Scheme::EvenPace, Scheme::Turns, Scheme::Quota];

/// The state of a limit at one box, under a scheme that is not in use.
#[derive(Debug, Clone, Copy)]
struct LimitState {
    rate: RequestRate,
    first_reported_ms: u64,
    last_sent_ms: Option<u64>,
    last_turn: Option<u64>,
}

/// Enforces limits at one box by a scheme that is not in use.
pub struct Limiter {
    scheme: Scheme,
    boxes: u64,
    sharing_boxes: SharingBoxes,
    known: HashMap<String, LimitState>,
}

impl Limiter {
    pub fn new(scheme: Scheme, boxes: u64, sharing_boxes: SharingBoxes) -> Self {
        Self { scheme, boxes, sharing_boxes, known: HashMap::new() }
    }

    pub fn on_limit(&mut self, endpoint: &str, rate: RequestRate, now_ms: u64) {
        let fresh = LimitState { rate, first_reported_ms: now_ms, last_sent_ms: None, last_turn: None };
        self.known.entry(endpoint.to_owned()).or_insert(fresh).rate = rate;
    }

    /// Returns the endpoints to which this box may not send now.
    pub fn blocked(&self, now_ms: u64) -> Vec<String> {
        let is_blocked = |(id, known): &(&String, &LimitState)| !self.admits(id, known, now_ms);
        self.known.iter().filter(is_blocked).map(|(id, _)| id.clone()).collect()
    }

    fn admits(&self, id: &str, known: &LimitState, now_ms: u64) -> bool {
        match self.scheme {
            Scheme::EvenPace => known.last_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + self.interval_ms(known)),
            Scheme::Turns => {
                let turn = self.turn(known, now_ms);
                turn % self.boxes == self.sharing_boxes.share_rank(id).rank && known.last_turn != Some(turn)
            }
            Scheme::Alone | Scheme::Quota => true,
        }
    }

    fn interval_ms(&self, known: &LimitState) -> u64 {
        1_000_000 * self.boxes / known.rate.milli_per_s().max(1)
    }

    /// Returns the number of the current turn since the first report of the limit.
    fn turn(&self, known: &LimitState, now_ms: u64) -> u64 {
        let quota = Quota::from_rate(known.rate);
        (now_ms - known.first_reported_ms) * quota.count / quota.window_ms
    }

    pub fn on_sent(&mut self, endpoint: &str, now_ms: u64) {
        let Some(known) = self.known.get(endpoint).copied() else { return };
        let turn = self.turn(&known, now_ms);
        let sent = LimitState { last_sent_ms: Some(now_ms), last_turn: Some(turn), ..known };
        self.known.insert(endpoint.to_owned(), sent);
    }
}
