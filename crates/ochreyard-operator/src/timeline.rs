//! What happened to one request, in order of time, from the logs of all processes.
//!
//! The logs are read twice: first for the lines that name the request, then for those that explain its outcome: other
//! attempts of the same request (by its fingerprint), checks of the endpoints that received it, and groups that were
//! stalled at the time.

mod line;
mod reader;

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use self::line::LogLine;
use self::reader::{LineRead, LineReader};

/// How long before the first line of a request, and after its last one, events of its endpoints and of groups are
/// included, in milliseconds. A crash is reported within a second, and a group needs a few seconds to form again.
const CONTEXT_MS: u64 = 3_000;
/// Most lines that are kept, far more than any one request produces. Further lines are only counted.
const MAX_LINES: usize = 2_000;
/// Events of a single endpoint. They are included for the endpoints that received the request.
const ENDPOINT_EVENTS: [&str; 6] = [
    "endpoint_checked",
    "endpoint_known",
    "endpoint_gone",
    "endpoint_unreachable",
    "endpoint_backoff",
    "endpoint_leaves",
];
/// Events of whole groups, of limits that may have affected a request without an endpoint, or of the box itself. They
/// are included for every request.
const CONTEXT_EVENTS: [&str; 7] = [
    "group_state",
    "endpoint_limit",
    "data_centres_evacuated",
    "log_reachability",
    "log_came_back",
    "suspended",
    "runtime_late",
];

/// One line of a timeline.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TimelineLine {
    at_ms: u64,
    process: String,
    text: String,
}

/// Lines of one log file that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableLines {
    /// The log file.
    pub log: PathBuf,
    /// The number of unreadable lines.
    pub count: u64,
    /// The line number of the first one, counted from 1.
    pub first_line: u64,
}

/// The log lines about one request, in order of time.
#[derive(Debug, Clone, Default)]
pub struct RequestTimeline {
    request: String,
    fingerprints: BTreeSet<String>,
    endpoints: BTreeSet<String>,
    first_ms: Option<u64>,
    last_ms: u64,
    lines: Vec<TimelineLine>,
    omitted_lines: u64,
    unreadable: Vec<UnreadableLines>,
}

impl RequestTimeline {
    /// Reads the timeline of `request` from the files `logs`.
    ///
    /// # Errors
    ///
    /// Returns an error if a log cannot be opened or read. Truncated or damaged lines are skipped and counted.
    pub fn read(request: &str, logs: &[PathBuf]) -> io::Result<Self> {
        let mut timeline = Self { request: request.to_owned(), ..Self::default() };
        for log in logs {
            let unreadable = each_line(log, |line| timeline.collect_request_line(log, line))?;
            timeline.unreadable.extend(unreadable);
        }
        for log in logs {
            each_line(log, |line| timeline.collect_related_line(log, line))?;
        }
        timeline.lines.sort();
        Ok(timeline)
    }

    /// Returns whether no line names the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.first_ms.is_none()
    }

    /// Returns how many lines could not be read, for each log that has any.
    #[must_use]
    pub fn unreadable(&self) -> &[UnreadableLines] {
        &self.unreadable
    }

    /// Collects a line if it names the request, with the fingerprint and the endpoint by which related lines are found.
    fn collect_request_line(&mut self, log: &Path, line: &LogLine<'_>) {
        if line.field("request") != Some(&self.request) {
            return;
        }
        self.first_ms = Some(self.first_ms.map_or(line.at_ms, |first_ms| first_ms.min(line.at_ms)));
        self.last_ms = self.last_ms.max(line.at_ms);
        self.fingerprints.extend(line.field("fingerprint").map(str::to_owned));
        self.endpoints.extend(line.field("endpoint").map(str::to_owned));
        self.push_line(log, line);
    }

    /// Collects a line that does not name the request, but may explain what happened to it.
    fn collect_related_line(&mut self, log: &Path, line: &LogLine<'_>) {
        let is_named = line.field("request") == Some(&self.request);
        if !is_named && (self.has_same_fingerprint(line) || self.is_context(line)) {
            self.push_line(log, line);
        }
    }

    fn has_same_fingerprint(&self, line: &LogLine<'_>) -> bool {
        line.field("fingerprint").is_some_and(|fingerprint| self.fingerprints.contains(fingerprint))
    }

    fn is_context(&self, line: &LogLine<'_>) -> bool {
        let Some(first_ms) = self.first_ms else { return false };
        let is_in_time = line.at_ms + CONTEXT_MS >= first_ms && line.at_ms <= self.last_ms + CONTEXT_MS;
        let event = line.field("event").unwrap_or_default();
        let is_of_endpoint = ENDPOINT_EVENTS.contains(&event)
            && line.field("endpoint").is_some_and(|endpoint| self.endpoints.contains(endpoint));
        is_in_time && (is_of_endpoint || CONTEXT_EVENTS.contains(&event))
    }

    fn push_line(&mut self, log: &Path, line: &LogLine<'_>) {
        if self.lines.len() == MAX_LINES {
            self.omitted_lines += 1;
            return;
        }
        let name = log.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        self.lines.push(TimelineLine { at_ms: line.at_ms, process: name, text: line.message.to_owned() });
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first_ms) = self.first_ms else {
            return writeln!(f, "no line names request {}", self.request);
        };
        for line in &self.lines {
            let offset_s = (line.at_ms as f64 - first_ms as f64) / 1_000.0;
            writeln!(f, "{offset_s:+9.3} s  {}  {}", line.process, line.text)?;
        }
        if self.omitted_lines > 0 {
            writeln!(f, "{} more lines are left out", self.omitted_lines)?;
        }
        Ok(())
    }
}

/// Calls `handle` for each readable line of a log. Returns the unreadable lines, if there are any.
fn each_line(log: &Path, mut handle: impl FnMut(&LogLine<'_>)) -> io::Result<Option<UnreadableLines>> {
    let mut reader = LineReader::open(log)?;
    let mut unreadable: Option<UnreadableLines> = None;
    let mut number = 0;
    loop {
        number += 1;
        let parsed = match reader.next()? {
            LineRead::End => return Ok(unreadable),
            LineRead::Line(bytes) => std::str::from_utf8(bytes).ok().and_then(LogLine::parse),
            LineRead::TooLong => None,
        };
        match parsed {
            Some(line) => handle(&line),
            None => {
                let none_yet = UnreadableLines { log: log.to_owned(), count: 0, first_line: number };
                unreadable.get_or_insert(none_yet).count += 1;
            }
        }
    }
}
