//! A stand-in for the platform's store: topics of keyed records in memory, with the calls that an entry makes.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};

type Record = (Vec<u8>, Vec<u8>);

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Vec<Record>>>, Condvar)>,
    pub addr: String,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let store = Self { addr, ..Self::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a record; an empty value deletes its key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.push(topic, key.as_bytes().to_vec(), value.as_bytes().to_vec());
    }

    fn push(&self, topic: &str, key: Vec<u8>, value: Vec<u8>) -> usize {
        let mut topics = self.topics.0.lock().expect("the store's lock");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key, value));
        let end = records.len();
        self.topics.1.notify_all();
        end
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let body = match request.path() {
                "/log-newest" => self.newest(&request),
                "/log-read" => self.read(&request),
                "/log-append" => self.append(&request),
                _ => None,
            };
            let (status, body) = body.map_or(("404 Not Found", Vec::new()), |body| ("200 OK", body));
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            if !connection.write(&[head.as_bytes(), &body].concat()) {
                return;
            }
        }
    }

    fn newest(&self, request: &Request) -> Option<Vec<u8>> {
        let topics = self.topics.0.lock().expect("the store's lock");
        let records = topics.get(request.query("topic")?).cloned().unwrap_or_default();
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let item = |(key, (offset, value)): (&&[u8], &(usize, &[u8]))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = newest.iter().filter(|(_, (_, value))| !value.is_empty()).map(item).collect();
        Some(format!("{{\"items\":[{}],\"more\":false,\"end\":{}}}", items.join(","), records.len()).into_bytes())
    }

    fn read(&self, request: &Request) -> Option<Vec<u8>> {
        let topic = request.query("topic")?;
        let from: usize = request.query("from")?.parse().ok()?;
        let wait_ms = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.0.lock().expect("the store's lock");
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return Some(body);
            }
            topics = self.topics.1.wait_timeout(topics, left).expect("the store's lock").0;
        }
    }

    fn append(&self, request: &Request) -> Option<Vec<u8>> {
        let topic = request.query("topic")?;
        let mut rest = &request.body[..];
        let mut end = 0;
        while rest.len() > 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
            let (record, after) = after.split_at_checked(length)?;
            let (key, value) = record[1..].split_at_checked(usize::from(record[0]))?;
            end = self.push(topic, key.to_vec(), value.to_vec());
            rest = after;
        }
        Some(format!("{{\"offset\":{},\"end\":{end}}}", end.saturating_sub(1)).into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |number, at| number << 8 | u32::from(group.get(at).copied().unwrap_or(0)));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= group.len() { digit } else { '=' });
        }
    }
    text
}
