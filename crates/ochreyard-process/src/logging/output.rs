//! Writes log lines without blocking on a reader.

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::rate_limiter::{LogRateLimiter, event_name};

/// Maximum length of a line, in bytes. A writable pipe accepts this many at once (`PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4_096;

/// A rate-limited stream of log lines whose writes never block.
pub struct LogOutput<W> {
    state: Mutex<(LogRateLimiter, W)>,
}

impl<W: Write + AsFd> LogOutput<W> {
    /// Creates an output that writes at most `lines_per_s` lines of each event per second to `stream`.
    pub fn new(stream: W, lines_per_s: u64) -> Self {
        Self { state: Mutex::new((LogRateLimiter::new(lines_per_s), stream)) }
    }

    /// Writes a line. It is suppressed if its event exceeds the rate limit, or if the write would block.
    pub fn write(&self, line: &str) {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let Ok(mut state) = self.state.lock() else { return };
        let (limiter, stream) = &mut *state;
        let event = event_name(line);
        let Some(suppressed) = limiter.admit(event, u64::try_from(now_ms).unwrap_or(u64::MAX)) else { return };
        let line = if suppressed == 0 { format!("{line}\n") } else { format!("{line} left_out={suppressed}\n") };
        let is_written = is_writable(stream) && stream.write_all(truncate(line).as_bytes()).is_ok();
        if !is_written {
            limiter.count_unwritten(event, suppressed);
        }
    }
}

/// Returns whether a line can be written to the stream without blocking.
fn is_writable(stream: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&no_wait)).is_ok_and(|ready| ready > 0) && polled[0].revents().contains(PollFlags::OUT)
}

/// Truncates a line to at most [`MAX_LINE_BYTES`].
fn truncate(mut line: String) -> String {
    if line.len() > MAX_LINE_BYTES {
        let end = (0..MAX_LINE_BYTES).rev().find(|at| line.is_char_boundary(*at)).unwrap_or(0);
        line.truncate(end);
        line.push('\n');
    }
    line
}
