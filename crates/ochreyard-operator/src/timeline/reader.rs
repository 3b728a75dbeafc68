//! Reads the lines of a log in bounded memory.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Longest line that is kept. Ours have a few hundred bytes; a damaged log may have no line ends at all.
const MAX_LINE_BYTES: usize = 64 << 10;

/// One reading.
pub enum Read<'a> {
    /// A line, without its end.
    Line(&'a [u8]),
    /// A line that is too long to be one of ours.
    TooLong,
    /// The log has ended.
    End,
}

/// Reads the lines of a log one by one.
pub struct LineReader {
    file: BufReader<File>,
    line: Vec<u8>,
}

impl LineReader {
    /// Opens a log.
    pub fn open(log: &Path) -> io::Result<Self> {
        Ok(Self { file: BufReader::new(File::open(log)?), line: Vec::new() })
    }

    /// The next line.
    pub fn next(&mut self) -> io::Result<Read<'_>> {
        self.line.clear();
        let mut length = 0;
        loop {
            let bytes = self.file.fill_buf()?;
            if bytes.is_empty() && length == 0 {
                return Ok(Read::End);
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            length += part.len() + usize::from(end.is_some());
            if self.line.len() + part.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(part);
            }
            let (is_over, used) = (end.is_some() || bytes.is_empty(), part.len() + usize::from(end.is_some()));
            self.file.consume(used);
            if is_over {
                let is_whole = self.line.len() + usize::from(end.is_some()) == length;
                return Ok(if is_whole { Read::Line(&self.line) } else { Read::TooLong });
            }
        }
    }
}
