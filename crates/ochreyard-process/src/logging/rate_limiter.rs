//! How many lines of each event are written.

use std::collections::HashMap;

/// Length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Events that are told apart; further ones share one count. The programs have a few dozen.
const MAX_EVENTS: usize = 256;

/// The lines of one event.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    window: u64,
    written: u64,
    left_out: u64,
}

/// Bounds the lines of each event in every second, and counts what is left out.
#[derive(Debug, Clone, Default)]
pub struct LogRateLimiter {
    lines_per_s: u64,
    by_event: HashMap<String, Counted>,
}

impl LogRateLimiter {
    /// At most `lines_per_s` lines of each event in every second.
    #[must_use]
    pub fn new(lines_per_s: u64) -> Self {
        Self { lines_per_s, by_event: HashMap::new() }
    }

    /// Whether a line of `event` may be written now; then, how many were left out since the last one.
    pub fn admit(&mut self, event: &str, now_ms: u64) -> Option<u64> {
        let limit = self.lines_per_s;
        let window = now_ms / WINDOW_MS;
        let counted = self.counted(event);
        if counted.window != window {
            counted.window = window;
            counted.written = 0;
        }
        if counted.written >= limit {
            counted.left_out += 1;
            return None;
        }
        counted.written += 1;
        Some(std::mem::take(&mut counted.left_out))
    }

    /// A line that was admitted after `left_out` others could not be written.
    pub fn count_unwritten(&mut self, event: &str, left_out: u64) {
        self.counted(event).left_out += left_out + 1;
    }

    fn counted(&mut self, event: &str) -> &mut Counted {
        let is_known = self.by_event.contains_key(event);
        let key = if is_known || self.by_event.len() < MAX_EVENTS { event } else { "" };
        if !self.by_event.contains_key(key) {
            self.by_event.insert(key.to_owned(), Counted::default());
        }
        self.by_event.get_mut(key).expect("inserted above")
    }
}

/// The name of the event that a line tells of; empty where it names none.
#[must_use]
pub fn event_name(line: &str) -> &str {
    let after = line.split_once("event=").map_or("", |(_, after)| after);
    after.split([' ', '\n']).next().unwrap_or_default()
}
