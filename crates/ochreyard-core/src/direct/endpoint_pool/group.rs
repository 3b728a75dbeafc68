//! What this box knows of a group of endpoints whose ranks run every step together.

use super::NEWS_LIFE_MS;
use crate::direct::group_news::{GroupNews, TellerRole};

/// How long a group is passed over after one of its ranks told that another one
/// is at fault, in milliseconds; its leader knows more by then.
const FAULT_PAUSE_MS: u64 = 600;

/// Without a word of a leader for this long, a group counts as led by nobody, in
/// milliseconds: three times the pause between its words, and more than a lease.
const LED_SILENCE_MS: u64 = 900;

/// One group, as its leader and its ranks told of it.
#[derive(Debug, Clone)]
pub struct Group {
    is_serving: bool,
    step_ms: u64,
    told_ms: u64,
    fault_until_ms: u64,
    led_ms: Option<u64>,
    observed_ms: Option<u64>,
}

impl Group {
    /// A group of which nobody has told anything yet.
    pub const fn new(now_ms: u64) -> Self {
        Self { is_serving: true, step_ms: 0, told_ms: now_ms, fault_until_ms: 0, led_ms: None, observed_ms: None }
    }

    /// Takes what was told of it. Says whether that counts: an observer knows less than a leader.
    pub fn on_news(&mut self, news: &GroupNews, now_ms: u64) -> bool {
        match news.teller {
            TellerRole::Leads => self.led_ms = Some(now_ms),
            TellerRole::Observes if self.is_led(now_ms) => return false,
            TellerRole::Observes => self.observed_ms = Some(now_ms),
            TellerRole::StoodDown => {
                self.led_ms = None;
                return false;
            }
        }
        self.is_serving = news.is_serving;
        self.step_ms = news.step_ms;
        self.told_ms = now_ms;
        true
    }

    fn is_led(&self, now_ms: u64) -> bool {
        self.led_ms.is_some_and(|led_ms| now_ms < led_ms + LED_SILENCE_MS)
    }

    /// Whether nobody leads it, as far as known, and nobody watches whether it may be led.
    pub fn is_unled(&self, now_ms: u64) -> bool {
        let is_observed = self.observed_ms.is_some_and(|observed_ms| now_ms < observed_ms + LED_SILENCE_MS);
        !self.is_led(now_ms) && !is_observed
    }

    /// One of its ranks told that another one is at fault.
    pub const fn on_fault(&mut self, now_ms: u64) {
        self.fault_until_ms = now_ms + FAULT_PAUSE_MS;
    }

    /// How long its steps take of late, in milliseconds, as far as known.
    pub fn step_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.step_ms).filter(|step_ms| *step_ms > 0 && !self.is_silent(now_ms))
    }

    /// Whether its leader has told nothing for too long.
    pub const fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.told_ms + NEWS_LIFE_MS
    }

    /// Whether its steps go on, as far as known.
    pub const fn is_serving(&self, now_ms: u64) -> bool {
        now_ms >= self.fault_until_ms && (self.is_serving || self.is_silent(now_ms))
    }
}
