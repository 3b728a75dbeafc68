//! Three entries of one zone; two of them are parted from the store, and the third one reaches it all the time. The
//! operator takes a key away meanwhile.
//!
//! The rule is broken if the entry that is in touch has a request with that key run although the request was sent more
//! than `config_apply_ms` after the store confirmed the change.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::record;
use crate::gate::Gate;
use crate::http;
use crate::process::{free_addr, Entry, Folder, Process};
use crate::store::Store;
use crate::Outcome;

/// `config_apply_ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the site: for how long the entry has been in touch before the cut, at least.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long the cut lasts; that of a `node_cut` of the site lasts 12 s.
const CUT: Duration = Duration::from_secs(11);
/// When the operator takes the key away, from the start of the cut.
const CHANGE_AT: Duration = Duration::from_millis(1_500);
/// How long requests are sent after the cut.
const AFTER_CUT: Duration = Duration::from_secs(3);
/// Pause between two requests to one entry.
const PAUSE: Duration = Duration::from_millis(200);
const ENGINE: &str = "i-1";

/// Runs the case and writes the record.
pub fn run(record_file: &str, with_trouble: bool) -> Outcome {
    let folder = Folder::create();
    let store = Store::start();
    store.put("keyed.op", "config", &config(7, &["key-1", "key-2"]));
    let engine_addr = free_addr();
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let exe = std::env::current_exe().unwrap();
    let engine_log = folder.0.join("engine.log");
    let mut command = Command::new(exe);
    let log = std::fs::File::create(&engine_log).unwrap();
    command
        .args(["engine", ENGINE, &engine_addr.to_string(), "chunks"])
        .arg(folder.0.join("still"))
        .stdout(log)
        .stderr(Stdio::null());
    let _engine = Process::start(&mut command);
    store.put("keyed.servers", ENGINE, &record("map-core", &engine_addr.to_string(), "ready", 1, born_ms));

    let gates: Vec<Gate> = (0..3).map(|_| Gate::start(store.addr)).collect();
    let peer_port = free_addr().port();
    let peers = [11, 12, 13].map(|host| SocketAddr::from(([127, 0, 0, host], peer_port)));
    let entries: Vec<Entry> = (0..3)
        .map(|at| Entry::start(&folder.0, gates[at].addr, &format!("edge-wuling-hall-{}", at + 1), peers[at], &peers))
        .collect();
    if !entries.iter().all(|entry| entry.wait_until_ready(1)) {
        return Outcome::CouldNotRun;
    }
    // Two entries read the store for all. The one that asks it least is left in touch with it.
    std::thread::sleep(CONTACT);
    let before = [0, 1, 2].map(|at| gates[at].asked_bytes());
    std::thread::sleep(CONTACT);
    let asked = [0, 1, 2].map(|at| gates[at].asked_bytes() - before[at]);
    let in_touch = (0..3).min_by_key(|at| asked[*at]).unwrap_or(0);

    let started = Instant::now();
    let mut text = format!("trouble: {}\n", u8::from(with_trouble));
    let note =
        |text: &mut String, line: &str| writeln!(text, "{:>6} ms: {line}", started.elapsed().as_millis()).unwrap();
    note(&mut text, &format!("bytes that the entries sent to the store in {} ms: {asked:?}", CONTACT.as_millis()));
    if with_trouble {
        gates.iter().enumerate().filter(|(at, _)| *at != in_touch).for_each(|(_, gate)| gate.set_shut(true));
        note(&mut text, &format!("all entries but {} are parted from the store", entries[in_touch].name));
    }
    let asked_before_cut = gates[in_touch].asked_bytes();
    let mut changed_at = None;
    let mut is_cut = with_trouble;
    let mut broken = 0;
    let mut applied_ms = [None; 3];
    while started.elapsed() < CUT + AFTER_CUT {
        if changed_at.is_none() && started.elapsed() >= CHANGE_AT {
            store.put("keyed.op", "config", &config(9, &["key-1"]));
            changed_at = Some(Instant::now());
            note(&mut text, "the store has confirmed version 9, without key-2");
        }
        if is_cut && started.elapsed() >= CUT {
            gates.iter().for_each(|gate| gate.set_shut(false));
            is_cut = false;
            let asked = gates[in_touch].asked_bytes() - asked_before_cut;
            note(
                &mut text,
                &format!("the cut is over; {} sent {asked} bytes to the store in it", entries[in_touch].name),
            );
        }
        for (at, entry) in entries.iter().enumerate() {
            let id = format!("r{at}-{:05}", started.elapsed().as_millis());
            let since_change = changed_at.map(|changed_at| changed_at.elapsed());
            let status = send(entry.callers, &id);
            // Measured before the request is sent, so that a late answer does not count.
            let is_late = since_change.is_some_and(|since| since > CONFIG_APPLY);
            let has_run = std::fs::read_to_string(&engine_log).unwrap_or_default().contains(&format!("run {id} "));
            let is_broken = at == in_touch && is_late && has_run;
            broken += usize::from(is_broken);
            if since_change.is_some() && status == 401 && applied_ms[at].is_none() {
                applied_ms[at] = since_change.map(|since| since.as_millis());
            }
            let since = since_change
                .map_or("before the change".to_owned(), |since| format!("{} ms after the change", since.as_millis()));
            let mark = if is_broken { "BROKEN " } else { "" };
            note(
                &mut text,
                &format!("{mark}{} answers {status} to {id} with key-2, {since}; run: {has_run}", entry.name),
            );
        }
        std::thread::sleep(PAUSE);
    }
    for (at, entry) in entries.iter().enumerate() {
        let lines = [entry.log_lines("event=config_in_force"), entry.log_lines("event=log_reachability")].concat();
        let first = applied_ms[at].map_or("never".to_owned(), |applied_ms| format!("{applied_ms} ms after the change"));
        writeln!(text, "\n{} refused key-2 first: {first}; its log:\n{}", entry.name, lines.join("\n")).unwrap();
    }
    writeln!(text, "\nrequests with the key that was taken away, run by the entry in touch after the bound: {broken}")
        .unwrap();
    std::fs::write(record_file, &text).unwrap();
    println!("run too late: {broken}; refused first after (ms): {applied_ms:?}");
    if changed_at.is_none() {
        return Outcome::CouldNotRun;
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn send(addr: SocketAddr, id: &str) -> u16 {
    let head = format!(
        "POST /tiles/{id} HTTP/1.1\r\nhost: trails.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         api-key: key-2\r\nconnection: close\r\n"
    );
    let answer = http::call(addr, &head, b"a tile", Duration::from_millis(4_000)).ok().flatten();
    answer.map_or(0, |answer| answer.status())
}

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"map-tile","host":"trails.example","path_prefix":"/tiles/",
        "route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"map-core",
        "max_attempts":1}}],
        "services":[{{"name":"map-core","health_path":"/healthz","max_connections":110}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"resort","api_keys":[{}]}}]}}"#,
        keys.join(",")
    )
}
