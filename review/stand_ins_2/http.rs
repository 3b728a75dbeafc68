//! Minimal HTTP/1.1 over blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request that was read completely.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    fn fill(&mut self) -> Option<usize> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer).ok()?;
        self.unread.extend_from_slice(&buffer[..count]);
        Some(count)
    }

    /// Reads up to and including the empty line that ends a head.
    fn read_head(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.unread.drain(..at + 4).collect();
                return String::from_utf8(head).ok();
            }
            if self.fill()? == 0 {
                return None;
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return None;
            }
        }
        Some(self.unread.drain(..count).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..at + 2).collect();
                return String::from_utf8(line).ok().map(|line| line.trim().to_owned());
            }
            if self.fill()? == 0 {
                return None;
            }
        }
    }

    /// Reads a body in chunks; `None` if it ends before its last chunk.
    fn read_chunks(&mut self, mut on_chunk: impl FnMut(&[u8])) -> Option<()> {
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            let chunk = self.read_exact(length)?;
            self.read_line()?;
            if length == 0 {
                return Some(());
            }
            on_chunk(&chunk);
        }
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> Option<Request> {
        let head = self.read_head()?;
        let mut lines = head.lines();
        let mut first = lines.next()?.split(' ');
        let target = first.nth(1)?.to_owned();
        let headers = parse_headers(lines);
        let mut body = Vec::new();
        if let Some(length) = header(&headers, "content-length").and_then(|length| length.parse().ok()) {
            body = self.read_exact(length)?;
        } else if header(&headers, "transfer-encoding").is_some() {
            self.read_chunks(|chunk| body.extend_from_slice(chunk))?;
        }
        Some(Request { target, headers, body })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let split = lines.filter_map(|line| line.split_once(':'));
    split.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the channel ended without a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the answer has arrived, by its length or its last chunk.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request over a new connection and reads the answer to its end.
pub fn call(addr: &str, request: &str, timeout: std::time::Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(stream) = TcpStream::connect(addr) else { return answer };
    let _ = stream.set_read_timeout(Some(timeout));
    let mut connection = Connection::new(stream);
    if connection.write(request.as_bytes()) {
        let _ = read_answer(&mut connection, &mut answer);
    }
    answer
}

/// Reads an answer to its end; `None` if it breaks off.
pub fn read_answer(connection: &mut Connection, answer: &mut Answer) -> Option<()> {
    let head = connection.read_head()?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    answer.headers = parse_headers(lines);
    answer.status = status;
    if let Some(length) = answer.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        let body = connection.read_exact(length)?;
        answer.body = body;
    } else if answer.header("transfer-encoding").is_some() {
        connection.read_chunks(|chunk| answer.body.extend_from_slice(chunk))?;
    } else {
        while connection.fill()? > 0 {}
        answer.body = std::mem::take(&mut connection.unread);
    }
    answer.is_whole = true;
    Some(())
}
