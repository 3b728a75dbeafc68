//! Reads the lines of a log file in bounded memory.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Longest line that is kept. Lines of our processes have a few hundred bytes; a damaged log may have no line ends.
const MAX_LINE_BYTES: usize = 64 << 10;

/// The result of reading a line.
pub enum LineRead<'a> {
    /// A line, without its line end.
    Line(&'a [u8]),
    /// A line longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The end of the log.
    End,
}

/// Reads the lines of a log file one by one.
pub struct LineReader {
    file: BufReader<File>,
    line: Vec<u8>,
}

impl LineReader {
    /// Opens a log file.
    pub fn open(log: &Path) -> io::Result<Self> {
        Ok(Self { file: BufReader::new(File::open(log)?), line: Vec::new() })
    }

    /// Reads the next line.
    pub fn next(&mut self) -> io::Result<LineRead<'_>> {
        self.line.clear();
        let mut length = 0;
        loop {
            let bytes = self.file.fill_buf()?;
            if bytes.is_empty() && length == 0 {
                return Ok(LineRead::End);
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            length += part.len() + usize::from(end.is_some());
            if self.line.len() + part.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(part);
            }
            let (is_line_over, consumed) = (end.is_some() || bytes.is_empty(), part.len() + usize::from(end.is_some()));
            self.file.consume(consumed);
            if is_line_over {
                let is_complete = self.line.len() + usize::from(end.is_some()) == length;
                return Ok(if is_complete { LineRead::Line(&self.line) } else { LineRead::TooLong });
            }
        }
    }
}
