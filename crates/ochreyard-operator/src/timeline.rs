//! One request's story, in order over the logs of all processes.
//!
//! The logs are read twice: first for the lines that name the request, then for those that tell why it came to that:
//! other attempts of the same request (its fingerprint), looks at the endpoints that had it, groups that stood meanwhile.

mod line;
mod reader;

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use self::line::LogLine;
use self::reader::{LineReader, Read};

/// How long before its first line, and after its last one, what happened to its endpoints and their groups is told, in
/// milliseconds: a crash is told of within a second, and a group needs a few to form anew.
const AROUND_MS: u64 = 3_000;
/// Lines that are kept: far more than any one request leaves. What comes after them is counted.
const MAX_LINES: usize = 2_000;
/// Events that tell of endpoints.
const ENDPOINT_EVENTS: [&str; 6] = [
    "endpoint_checked",
    "endpoint_known",
    "endpoint_gone",
    "endpoint_unreachable",
    "endpoint_backoff",
    "endpoint_leaves",
];
/// Events that tell of whole groups, of limits that a request without an endpoint may have met, or of this box.
const SURROUNDING_EVENTS: [&str; 6] =
    ["group_state", "endpoint_limit", "data_centres_evacuated", "log_reachability", "log_came_back", "suspended"];

/// One line of a story.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Told {
    at_ms: u64,
    process: String,
    text: String,
}

/// Lines of one log that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableLines {
    /// The log.
    pub log: PathBuf,
    /// How many.
    pub lines: u64,
    /// The number of the first one.
    pub first: u64,
}

/// One request's story.
#[derive(Debug, Clone, Default)]
pub struct RequestTimeline {
    request: String,
    fingerprints: BTreeSet<String>,
    endpoints: BTreeSet<String>,
    from_ms: Option<u64>,
    until_ms: u64,
    told: Vec<Told>,
    left_out: u64,
    unreadable: Vec<UnreadableLines>,
}

impl RequestTimeline {
    /// Reads the story of `request` out of `logs`.
    ///
    /// # Errors
    ///
    /// When a log cannot be opened or read. Lines that are cut or damaged are passed over and counted.
    pub fn read(request: &str, logs: &[PathBuf]) -> io::Result<Self> {
        let mut story = Self { request: request.to_owned(), ..Self::default() };
        for log in logs {
            let unreadable = each_line(log, |line| story.note_request(log, line))?;
            story.unreadable.extend(unreadable);
        }
        for log in logs {
            each_line(log, |line| story.note_cause(log, line))?;
        }
        story.told.sort();
        Ok(story)
    }

    /// Whether no line names the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.from_ms.is_none()
    }

    /// Lines that could not be read, by log.
    #[must_use]
    pub fn unreadable(&self) -> &[UnreadableLines] {
        &self.unreadable
    }

    /// Takes a line that names the request, and what it says of others to look for.
    fn note_request(&mut self, log: &Path, line: &LogLine<'_>) {
        if line.field("request") != Some(&self.request) {
            return;
        }
        self.from_ms = Some(self.from_ms.map_or(line.at_ms, |from_ms| from_ms.min(line.at_ms)));
        self.until_ms = self.until_ms.max(line.at_ms);
        self.fingerprints.extend(line.field("fingerprint").map(str::to_owned));
        self.endpoints.extend(line.field("endpoint").map(str::to_owned));
        self.tell(log, line);
    }

    /// Takes a line that tells why something happened to the request.
    fn note_cause(&mut self, log: &Path, line: &LogLine<'_>) {
        let is_named = line.field("request") == Some(&self.request);
        if !is_named && (self.is_of_same_request(line) || self.is_of_surroundings(line)) {
            self.tell(log, line);
        }
    }

    fn is_of_same_request(&self, line: &LogLine<'_>) -> bool {
        line.field("fingerprint").is_some_and(|fingerprint| self.fingerprints.contains(fingerprint))
    }

    fn is_of_surroundings(&self, line: &LogLine<'_>) -> bool {
        let Some(from_ms) = self.from_ms else { return false };
        let is_near = line.at_ms + AROUND_MS >= from_ms && line.at_ms <= self.until_ms + AROUND_MS;
        let event = line.field("event").unwrap_or_default();
        let is_of_endpoint = ENDPOINT_EVENTS.contains(&event)
            && line.field("endpoint").is_some_and(|endpoint| self.endpoints.contains(endpoint));
        is_near && (is_of_endpoint || SURROUNDING_EVENTS.contains(&event))
    }

    fn tell(&mut self, log: &Path, line: &LogLine<'_>) {
        if self.told.len() == MAX_LINES {
            self.left_out += 1;
            return;
        }
        let name = log.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        self.told.push(Told { at_ms: line.at_ms, process: name, text: line.message.to_owned() });
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(from_ms) = self.from_ms else {
            return writeln!(f, "no line names request {}", self.request);
        };
        for told in &self.told {
            let offset_s = (told.at_ms as f64 - from_ms as f64) / 1_000.0;
            writeln!(f, "{offset_s:+9.3} s  {}  {}", told.process, told.text)?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} more lines are left out", self.left_out)?;
        }
        Ok(())
    }
}

/// Hands each line of a log that can be read to `take`. Gives those that cannot, if there are any.
fn each_line(log: &Path, mut take: impl FnMut(&LogLine<'_>)) -> io::Result<Option<UnreadableLines>> {
    let mut reader = LineReader::open(log)?;
    let mut unreadable: Option<UnreadableLines> = None;
    let mut number = 0;
    loop {
        number += 1;
        let parsed = match reader.next()? {
            Read::End => return Ok(unreadable),
            Read::Line(bytes) => std::str::from_utf8(bytes).ok().and_then(LogLine::parse),
            Read::TooLong => None,
        };
        match parsed {
            Some(line) => take(&line),
            None => {
                let first = UnreadableLines { log: log.to_owned(), lines: 0, first: number };
                unreadable.get_or_insert(first).lines += 1;
            }
        }
    }
}
