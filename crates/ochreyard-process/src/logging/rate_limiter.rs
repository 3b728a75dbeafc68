//! The rate limit of log lines for each event.

use std::collections::HashMap;

/// Length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Maximum number of events that are counted separately; further ones share one count. The programs have a few dozen.
const MAX_EVENTS: usize = 256;

/// Counts of the lines of one event.
#[derive(Debug, Clone, Copy, Default)]
struct LineCounts {
    window: u64,
    written: u64,
    suppressed: u64,
}

/// Limits the log lines of each event per second, and counts the lines that are suppressed.
#[derive(Debug, Clone, Default)]
pub struct LogRateLimiter {
    lines_per_s: u64,
    by_event: HashMap<String, LineCounts>,
}

impl LogRateLimiter {
    /// Creates a limiter that admits at most `lines_per_s` lines of each event per second.
    #[must_use]
    pub fn new(lines_per_s: u64) -> Self {
        Self { lines_per_s, by_event: HashMap::new() }
    }

    /// Returns `None` if a line of `event` must be suppressed now. Otherwise returns how many lines of the event were
    /// suppressed since the last admitted one.
    pub fn admit(&mut self, event: &str, now_ms: u64) -> Option<u64> {
        let limit = self.lines_per_s;
        let window = now_ms / WINDOW_MS;
        let counts = self.counts_mut(event);
        if counts.window != window {
            counts.window = window;
            counts.written = 0;
        }
        if counts.written >= limit {
            counts.suppressed += 1;
            return None;
        }
        counts.written += 1;
        Some(std::mem::take(&mut counts.suppressed))
    }

    /// Counts an admitted line that could not be written as suppressed, together with the `suppressed` ones before it.
    pub fn count_unwritten(&mut self, event: &str, suppressed: u64) {
        self.counts_mut(event).suppressed += suppressed + 1;
    }

    fn counts_mut(&mut self, event: &str) -> &mut LineCounts {
        let is_known = self.by_event.contains_key(event);
        let key = if is_known || self.by_event.len() < MAX_EVENTS { event } else { "" };
        if !self.by_event.contains_key(key) {
            self.by_event.insert(key.to_owned(), LineCounts::default());
        }
        self.by_event.get_mut(key).expect("inserted above")
    }
}

/// Returns the event name of a log line, or an empty string if the line has none.
#[must_use]
pub fn event_name(line: &str) -> &str {
    let after = line.split_once("event=").map_or("", |(_, after)| after);
    after.split([' ', '\n']).next().unwrap_or_default()
}
