//! A parsed log line that borrows its text.

/// A log line: its time, and a message of `key=value` pairs.
#[derive(Debug, Clone, Copy)]
pub struct LogLine<'a> {
    /// When the line was written, by the clock of its box, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text after the level and the target, from the key `event` on.
    pub message: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses a line; `None` if it has no time or no event. Text before the time is ignored, since a log collector may
    /// put the name of the box there.
    pub fn parse(line: &'a str) -> Option<Self> {
        let line = &line[line.find("ts_ms=")?..];
        let at_ms = line["ts_ms=".len()..].split(' ').next()?.parse().ok()?;
        let message = line[line.find("event=")?..].trim_end();
        Some(Self { at_ms, message })
    }

    /// Returns the value of a key, without its quotes.
    pub fn field(&self, key: &str) -> Option<&'a str> {
        let mut rest = self.message;
        while !rest.is_empty() {
            let (pair, after) = split_pair(rest);
            rest = after;
            if let Some((found, value)) = pair.split_once('=')
                && found == key
            {
                return Some(value.trim_matches('"'));
            }
        }
        None
    }
}

/// Splits off the first pair. A quoted value may contain spaces.
fn split_pair(text: &str) -> (&str, &str) {
    let mut is_quoted = false;
    for (index, character) in text.char_indices() {
        match character {
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => return (&text[..index], &text[index + 1..]),
            _ => {}
        }
    }
    (text, "")
}
