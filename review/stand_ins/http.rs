//! A small part of HTTP/1.1: request heads, response heads and bodies over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel ends before it.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body; `None` if the channel ends.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    message.is_whole = true;
    Ok(Some(message))
}

/// Reads a response with its body, whole or broken off.
fn read_response(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = message.header("content-length").and_then(|length| length.parse().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok(Some(message));
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(Some(message)) };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            if size == 0 {
                message.is_whole = true;
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = length {
        message.body = vec![0; length];
        message.is_whole = reader.read_exact(&mut message.body).is_ok();
    } else {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    }
    Ok(Some(message))
}

/// Sends a request on a new channel and reads its answer; `None` if the channel ends without a head.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
    request.extend_from_slice(body);
    stream.write_all(&request)?;
    read_response(&mut BufReader::new(stream))
}

/// Writes a response with a length.
pub fn respond(stream: &mut impl Write, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut response = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len()).into_bytes();
    response.extend_from_slice(body);
    stream.write_all(&response)?;
    stream.flush()
}
