//! Prints the cost of recording that another box answered.
//!
//! `cargo run --release -p ochreyard-core --example heard_cost`

use std::net::SocketAddr;
use std::time::Instant;

use ochreyard_core::direct::{BoxList, BoxRecord};

const BOXES: [u32; 3] = [99, 432, 2_000];
/// Number of times that each box is heard.
const ROUNDS: u32 = 100;

fn main() {
    println!("| boxes | microseconds an answer |");
    println!("|---|---|");
    for boxes in BOXES {
        println!("| {boxes} | {:.2} |", heard_us(boxes));
    }
}

fn heard_us(boxes: u32) -> f64 {
    let mut list = BoxList::default();
    for number in 0..boxes {
        let record = BoxRecord { addr: addr(number), data_centre: "a".to_owned(), cores_permille: 240, link_mbps: 40 };
        list.insert(&format!("box-{number}"), record);
    }
    let started = Instant::now();
    for round in 0..ROUNDS {
        (0..boxes).for_each(|number| list.on_heard(addr(number), u64::from(round)));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(boxes * ROUNDS)
}

fn addr(number: u32) -> SocketAddr {
    let [_, high, middle, low] = number.to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 9_000))
}
