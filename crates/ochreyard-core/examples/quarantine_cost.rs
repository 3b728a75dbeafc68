//! Measures the cost of the quarantine of requests: the time per request and the size of the update messages.
//!
//! `cargo run --release -p ochreyard-core --example quarantine_cost`

use std::hint::black_box;
use std::time::Instant;

use ochreyard_core::direct::{CrashReport, Fingerprint, LostRequest, Quarantine, QuarantineUpdate};

/// Number of requests that an endpoint is running when it crashes.
const LOST_REQUESTS: usize = 12;
/// Size of the HTTP heads of the request and the answer that carry one update between boxes, and of four TCP segment
/// headers.
const HEAD_BYTES: usize = 400;

fn request(number: u64) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

fn mean_us(times: u32, mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..times).for_each(|_| run());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

fn with_crashes(crashes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for crash in 0..crashes {
        for index in 0..64 {
            let lost = LostRequest { fingerprint: request(crash * 64 + index), ran_ms: Some(700), parts: Vec::new() };
            quarantine.on_crash(&format!("i-{crash:010}"), "service", lost, 1_000 * crash, 1_000 * crash);
        }
    }
    quarantine
}

fn update_bytes(lost_requests: usize) -> usize {
    let lost = (0..lost_requests)
        .map(|index| LostRequest { fingerprint: request(index as u64), ran_ms: Some(1_234), parts: Vec::new() })
        .collect();
    let crash = CrashReport { endpoint: "i-0123456789".into(), service: "service".into(), age_ms: 7, lost };
    serde_json::to_vec(&QuarantineUpdate { crashes: vec![crash], ..QuarantineUpdate::default() })
        .unwrap_or_default()
        .len()
}

fn main() {
    for bytes in [1 << 10, 64 << 10, 4 << 20] {
        let body = vec![7_u8; bytes];
        let us = mean_us(if bytes > 1 << 20 { 20 } else { 2_000 }, || {
            black_box(Fingerprint::of(&[b"workspace", b"host.example", b"POST", b"/path", black_box(&body)]));
        });
        println!("fingerprint of a body of {bytes} bytes: {us:.1} us");
    }
    for crashes in [1, 20, 128] {
        let quarantine = with_crashes(crashes);
        let us = mean_us(100_000, || {
            black_box(quarantine.decision(black_box(request(5)), 1_000));
        });
        let mut crashing = quarantine.clone();
        let mut number = 0;
        let crash_us = mean_us(50, || {
            number += 1;
            let lost = LostRequest { fingerprint: request(u64::MAX - number), ran_ms: None, parts: Vec::new() };
            crashing.on_crash("one-more", "service", lost, 1_000 * crashes + 9, 1_000 * crashes + 9);
        });
        println!(
            "{crashes} crashes with 64 requests each: decision {us:.2} us, one more lost request {crash_us:.0} us"
        );
    }
    for entries in [8_usize, 38, 99, 370] {
        let senders = entries.min(LOST_REQUESTS);
        let message_bytes = update_bytes(LOST_REQUESTS.div_ceil(senders)) + HEAD_BYTES;
        let messages = senders * (entries - 1);
        println!(
            "{entries} entries, a crash with {LOST_REQUESTS} requests: {messages} messages, {} bytes received per entry, {} in all",
            senders * message_bytes,
            messages * message_bytes
        );
    }
}
