//! One log line, as a view of its text.

/// One log line: when it was written, and its pairs of key and value.
#[derive(Debug, Clone, Copy)]
pub struct LogLine<'a> {
    /// When it was written, by the clock of its box, in milliseconds since 1970.
    pub at_ms: u64,
    /// What follows the level and the place in the code.
    pub message: &'a str,
}

impl<'a> LogLine<'a> {
    /// Reads a line; `None` where it holds no time or no event. What stands before the time is passed over: whoever
    /// gathers logs may put the name of the box there.
    pub fn parse(line: &'a str) -> Option<Self> {
        let line = &line[line.find("ts_ms=")?..];
        let at_ms = line["ts_ms=".len()..].split(' ').next()?.parse().ok()?;
        let message = line[line.find("event=")?..].trim_end();
        Some(Self { at_ms, message })
    }

    /// The value of a key, without its quotes.
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

/// The first pair, and what follows it. A value in quotes may hold blanks.
fn split_pair(text: &str) -> (&str, &str) {
    let mut is_quoted = false;
    for (at, sign) in text.char_indices() {
        match sign {
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => return (&text[..at], &text[at + 1..]),
            _ => {}
        }
    }
    (text, "")
}
