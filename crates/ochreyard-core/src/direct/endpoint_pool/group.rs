//! What this box knows of a group of endpoints whose ranks run every step together.

use super::NEWS_LIFE_MS;
use crate::direct::group_update::{GroupUpdate, RankUpdate, ReporterRole};

/// How long a group is passed over after one of its ranks told that another one
/// is at fault, in milliseconds; its leader knows more by then.
const FAULT_PAUSE_MS: u64 = 600;

/// How long a group is passed over after one of its ranks crashed, in milliseconds: its leader tells 0.55 to 0.8 s after
/// that it stands, and the rank needs seconds to start again. Requests that were sent there meanwhile stood for
/// 1.5 s at their ranks and were then rejected.
const CRASH_PAUSE_MS: u64 = 1_000;

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
    /// The number of the event by which it last began to stand.
    stood: u64,
    /// The names of its ranks, in the order in which their loads are told.
    roster: Vec<String>,
    /// Ranks of which loads came last whose names are not known here.
    unnamed: usize,
}

impl Group {
    /// A group of which nobody has told anything yet.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            is_serving: true,
            step_ms: 0,
            told_ms: now_ms,
            fault_until_ms: 0,
            led_ms: None,
            observed_ms: None,
            stood: 0,
            roster: Vec::new(),
            unnamed: 0,
        }
    }

    /// Takes what was told of it. Says whether that counts: an observer knows less than a leader.
    pub fn on_news(&mut self, news: &GroupUpdate, event: u64, now_ms: u64) -> bool {
        match news.reporter_role {
            ReporterRole::Leads => self.led_ms = Some(now_ms),
            ReporterRole::Observes if self.is_led(now_ms) => return false,
            ReporterRole::Observes => self.observed_ms = Some(now_ms),
            ReporterRole::StoodDown => {
                self.led_ms = None;
                return false;
            }
        }
        if !news.is_serving {
            self.note_stand(event, now_ms);
        }
        self.is_serving = news.is_serving;
        self.step_ms = news.step_ms;
        self.told_ms = now_ms;
        true
    }

    /// The ranks that news tell of, with their names.
    pub fn ranks_of(&mut self, news: &GroupUpdate) -> Vec<RankUpdate> {
        let Some(loads) = &news.loads else {
            self.roster = news.ranks.iter().map(|rank| rank.endpoint.clone()).collect();
            self.unnamed = 0;
            return news.ranks.clone();
        };
        let named = loads.named(&self.roster);
        self.unnamed = if named.is_none() { loads.len() } else { 0 };
        named.unwrap_or_default()
    }

    /// Ranks whose leader is heard, and has not told this box their names yet.
    pub const fn unnamed(&self, now_ms: u64) -> usize {
        if self.is_silent(now_ms) { 0 } else { self.unnamed }
    }

    /// How many ranks it has, as far as known; none where nobody has told of them.
    pub fn size(&self) -> usize {
        self.roster.len().max(self.unnamed)
    }

    /// Notes by which event it began to stand, if it went on until then.
    const fn note_stand(&mut self, event: u64, now_ms: u64) {
        if self.is_serving(now_ms) {
            self.stood = event;
        }
    }

    /// The number of the event by which it last began to stand.
    pub const fn stood(&self) -> u64 {
        self.stood
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
    pub fn on_fault(&mut self, event: u64, now_ms: u64) {
        self.note_stand(event, now_ms);
        self.fault_until_ms = self.fault_until_ms.max(now_ms + FAULT_PAUSE_MS);
    }

    /// One of its ranks crashed at `at_ms`.
    pub fn on_crash(&mut self, event: u64, at_ms: u64) {
        self.note_stand(event, at_ms);
        self.fault_until_ms = self.fault_until_ms.max(at_ms + CRASH_PAUSE_MS);
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
