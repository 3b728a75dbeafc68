//! A stand-in for the platform's store: the keyed topics of a log, in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

/// The store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    log: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self { addr: listener.local_addr().unwrap(), log: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.log.0.lock().unwrap().entry(topic.to_owned()).or_default().push((key.to_owned(), value.into()));
        self.log.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (_, target) = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or("");
            let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
            let (status, body) = match path {
                "/log-newest" => ("200 OK", self.newest(topic)),
                "/log-read" => self.read(topic, number("from") as usize, number("wait_ms")),
                "/log-append" => ("200 OK", self.append(topic, &request.body)),
                _ => ("404 Not Found", Vec::new()),
            };
            if http::respond(&mut writer, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.log.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let by_key: BTreeMap<&str, (usize, &[u8])> = records
            .iter()
            .enumerate()
            .map(|(offset, (key, value))| (key.as_str(), (offset, value.as_slice())))
            .collect();
        let items: Vec<String> = by_key
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value)))
            .collect();
        format!(r#"{{"items":[{}],"more":false,"end":{}}}"#, items.join(","), records.len()).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.log.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return ("410 Gone", br#"{"first":0}"#.to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return ("200 OK", body);
            }
            topics = self.log.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, mut rest: &[u8]) -> Vec<u8> {
        let mut topics = self.log.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let first = records.len();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let end = records.len();
        self.log.1.notify_all();
        format!(r#"{{"offset":{first},"end":{end}}}"#).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * at)) as usize & 63] as char;
            text.push(if at <= chunk.len() { sign } else { '=' });
        }
    }
    text
}
