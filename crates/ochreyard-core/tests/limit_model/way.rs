//! Ways in which boxes may keep to a limit together.

use std::collections::HashMap;

use ochreyard_core::direct::{Quota, RequestRate, SharingBoxes};

/// A way to divide a limit over boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each box takes the whole limit for itself.
    Alone,
    /// Each box sends at an even pace, at its part of the rate.
    EvenPace,
    /// Boxes send in turns, counted from when the limit was first heard.
    Turns,
    /// Whole requests in a window are dealt to the boxes: what the product does.
    Quota,
}

pub const WAYS: [Way; 4] = [Way::Alone, Way::EvenPace, Way::Turns, Way::Quota];

/// What one box knows of a limit, in a way that the product does not have.
#[derive(Debug, Clone, Copy)]
struct Known {
    rate: RequestRate,
    heard_ms: u64,
    last_sent_ms: Option<u64>,
    last_turn: Option<u64>,
}

/// Keeps to limits at one box, by a way that the product does not have.
pub struct Gate {
    way: Way,
    boxes: u64,
    sharers: SharingBoxes,
    known: HashMap<String, Known>,
}

impl Gate {
    pub fn new(way: Way, boxes: u64, sharers: SharingBoxes) -> Self {
        Self { way, boxes, sharers, known: HashMap::new() }
    }

    pub fn on_word(&mut self, endpoint: &str, rate: RequestRate, now_ms: u64) {
        let fresh = Known { rate, heard_ms: now_ms, last_sent_ms: None, last_turn: None };
        self.known.entry(endpoint.to_owned()).or_insert(fresh).rate = rate;
    }

    /// Endpoints that this box may not send to now.
    pub fn blocked(&self, now_ms: u64) -> Vec<String> {
        let is_blocked = |(id, known): &(&String, &Known)| !self.admits(id, known, now_ms);
        self.known.iter().filter(is_blocked).map(|(id, _)| id.clone()).collect()
    }

    fn admits(&self, id: &str, known: &Known, now_ms: u64) -> bool {
        match self.way {
            Way::EvenPace => known.last_sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + self.pace_ms(known)),
            Way::Turns => {
                let turn = self.turn(known, now_ms);
                turn % self.boxes == self.sharers.share_rank(id).rank && known.last_turn != Some(turn)
            }
            Way::Alone | Way::Quota => true,
        }
    }

    fn pace_ms(&self, known: &Known) -> u64 {
        1_000_000 * self.boxes / known.rate.milli_per_s().max(1)
    }

    /// The number of the present turn, since the limit was first heard.
    fn turn(&self, known: &Known, now_ms: u64) -> u64 {
        let quota = Quota::from_rate(known.rate);
        (now_ms - known.heard_ms) * quota.count / quota.window_ms
    }

    pub fn on_sent(&mut self, endpoint: &str, now_ms: u64) {
        let Some(known) = self.known.get(endpoint).copied() else { return };
        let turn = self.turn(&known, now_ms);
        let sent = Known { last_sent_ms: Some(now_ms), last_turn: Some(turn), ..known };
        self.known.insert(endpoint.to_owned(), sent);
    }
}
