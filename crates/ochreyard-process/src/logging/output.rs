//! Writes log lines without ever waiting for whoever reads them.

use std::io::Write;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::rate_limiter::{LogRateLimiter, event_name};

/// Longest line, in bytes. A pipe that can be written to takes this many at once (`PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4_096;

/// A stream that log lines go to.
pub struct LogOutput<W> {
    state: Mutex<(LogRateLimiter, W)>,
}

impl<W: Write + AsFd> LogOutput<W> {
    /// Writes to `stream`, and at most `lines_per_s` lines of each event a second.
    pub fn new(stream: W, lines_per_s: u64) -> Self {
        Self { state: Mutex::new((LogRateLimiter::new(lines_per_s), stream)) }
    }

    /// Writes a line, unless too many of its event came, or nobody reads the stream.
    pub fn write(&self, line: &str) {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let Ok(mut state) = self.state.lock() else { return };
        let (budget, stream) = &mut *state;
        let event = event_name(line);
        let Some(left_out) = budget.admit(event, u64::try_from(now_ms).unwrap_or(u64::MAX)) else { return };
        let line = if left_out == 0 { format!("{line}\n") } else { format!("{line} left_out={left_out}\n") };
        let is_written = takes_a_line(stream) && stream.write_all(cut(line).as_bytes()).is_ok();
        if !is_written {
            budget.count_unwritten(event, left_out);
        }
    }
}

/// Whether a line can be written at once.
fn takes_a_line(stream: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&at_once)).is_ok_and(|ready| ready > 0) && polled[0].revents().contains(PollFlags::OUT)
}

/// A line of at most [`MAX_LINE_BYTES`].
fn cut(mut line: String) -> String {
    if line.len() > MAX_LINE_BYTES {
        let end = (0..MAX_LINE_BYTES).rev().find(|at| line.is_char_boundary(*at)).unwrap_or(0);
        line.truncate(end);
        line.push('\n');
    }
    line
}
