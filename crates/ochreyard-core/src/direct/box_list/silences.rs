//! Boxes that answer no questions.

use std::collections::BTreeMap;

/// Questions in a row without an answer after which a box counts as silent.
const UNANSWERED: u32 = 3;
/// How long a box counts as silent for each question of this box that it left unanswered, in milliseconds, and the longest:
/// one that is gone for good is asked ever less often.
const SILENT_MS: u64 = 20_000;
const MAX_SILENT_MS: u64 = 600_000;
/// The same where another box says so.
const TOLD_SILENT_MS: u64 = 20_000;
/// A box that was heard so short a time ago is not silent, whoever says so, in milliseconds.
const HEARD_MS: u64 = 5_000;

/// Which boxes are silent, as far as known. They stay boxes of the fleet: one that is cut off keeps its part of what all
/// boxes share. But nobody relies on them.
#[derive(Debug, Clone, Default)]
pub struct Silences {
    unanswered: BTreeMap<String, u32>,
    heard_ms: BTreeMap<String, u64>,
    silent: BTreeMap<String, Silence>,
}

#[derive(Debug, Clone, Copy)]
struct Silence {
    until_ms: u64,
    /// Whether questions of this box went unanswered.
    is_own: bool,
}

impl Silences {
    /// A question to a box got no answer.
    pub fn on_unanswered(&mut self, name: &str, now_ms: u64) {
        let count = self.unanswered.entry(name.to_owned()).or_default();
        *count = count.saturating_add(1);
        if *count >= UNANSWERED {
            let silent_ms = (SILENT_MS * u64::from(*count)).min(MAX_SILENT_MS);
            let silence = Silence { until_ms: now_ms + silent_ms, is_own: true };
            self.silent.insert(name.to_owned(), silence);
        }
    }

    /// A box answered, or asked.
    pub fn on_heard(&mut self, name: &str, now_ms: u64) {
        self.unanswered.remove(name);
        self.silent.remove(name);
        self.heard_ms.insert(name.to_owned(), now_ms);
    }

    /// Another box says that this one is silent.
    pub fn take_told(&mut self, name: &str, now_ms: u64) {
        let is_heard = self.heard_ms.get(name).is_some_and(|heard_ms| now_ms < heard_ms + HEARD_MS);
        if !is_heard && !self.is_silent(name, now_ms) {
            let silence = Silence { until_ms: now_ms + TOLD_SILENT_MS, is_own: false };
            self.silent.insert(name.to_owned(), silence);
        }
    }

    /// Whether a box counts as silent.
    pub fn is_silent(&self, name: &str, now_ms: u64) -> bool {
        self.silent.get(name).is_some_and(|silence| now_ms < silence.until_ms)
    }

    /// The boxes that left questions of this box unanswered.
    pub fn own(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let is_told = move |silence: &Silence| silence.is_own && now_ms < silence.until_ms;
        self.silent.iter().filter(move |(_, silence)| is_told(silence)).map(|(name, _)| name.as_str())
    }
}
