//! Boxes that do not answer polls.

use std::collections::BTreeMap;

/// Number of unanswered polls in a row after which a box counts as silent.
const UNANSWERED_POLLS: u32 = 3;
/// How long a box counts as silent per unanswered poll of this box, in milliseconds, so that a box that is gone for
/// good is polled less and less often.
const SILENT_PER_POLL_MS: u64 = 20_000;
/// Longest time for which a box counts as silent, in milliseconds.
const MAX_SILENT_MS: u64 = 600_000;
/// How long a box counts as silent after the report of another box, in milliseconds.
const REPORTED_SILENT_MS: u64 = 20_000;
/// Reports that a box is silent are ignored for this long after it was heard, in milliseconds.
const RECENTLY_HEARD_MS: u64 = 5_000;

/// The boxes that count as silent. They stay members of the fleet: a box that is cut off keeps its share of the budgets
/// that all boxes share. But a silent box has no read role, and is no preferred source of another one.
#[derive(Debug, Clone, Default)]
pub struct Silences {
    unanswered: BTreeMap<String, u32>,
    heard_ms: BTreeMap<String, u64>,
    silent: BTreeMap<String, Silence>,
}

#[derive(Debug, Clone, Copy)]
struct Silence {
    until_ms: u64,
    /// Whether polls of this box went unanswered, as opposed to a report of another box.
    is_own: bool,
}

impl Silences {
    /// A poll of a box got no answer.
    pub fn on_unanswered(&mut self, name: &str, now_ms: u64) {
        let count = self.unanswered.entry(name.to_owned()).or_default();
        *count = count.saturating_add(1);
        if *count >= UNANSWERED_POLLS {
            let silent_ms = (SILENT_PER_POLL_MS * u64::from(*count)).min(MAX_SILENT_MS);
            let silence = Silence { until_ms: now_ms + silent_ms, is_own: true };
            self.silent.insert(name.to_owned(), silence);
        }
    }

    /// A box answered a poll, or polled this box.
    pub fn on_heard(&mut self, name: &str, now_ms: u64) {
        self.unanswered.remove(name);
        self.silent.remove(name);
        self.heard_ms.insert(name.to_owned(), now_ms);
    }

    /// Another box reported that a box is silent.
    pub fn apply_report(&mut self, name: &str, now_ms: u64) {
        let is_heard = self.heard_ms.get(name).is_some_and(|heard_ms| now_ms < heard_ms + RECENTLY_HEARD_MS);
        if !is_heard && !self.is_silent(name, now_ms) {
            let silence = Silence { until_ms: now_ms + REPORTED_SILENT_MS, is_own: false };
            self.silent.insert(name.to_owned(), silence);
        }
    }

    /// Returns whether a box counts as silent.
    pub fn is_silent(&self, name: &str, now_ms: u64) -> bool {
        self.silent.get(name).is_some_and(|silence| now_ms < silence.until_ms)
    }

    /// Returns the boxes that are silent because they left polls of this box unanswered.
    pub fn own(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let is_active_own = move |silence: &Silence| silence.is_own && now_ms < silence.until_ms;
        self.silent.iter().filter(move |(_, silence)| is_active_own(silence)).map(|(name, _)| name.as_str())
    }
}
