//! Prints the table of error kinds in the format of docs/errors.md.
//!
//! `cargo run -p ochreyard-core --example error_table`

use ochreyard_core::error_kind::ErrorKind;

fn main() {
    println!("| kind | HTTP status | `Ochreyard-Run` | the entry may retry | `Retry-After` ms | what to do |");
    println!("|---|---|---|---|---|---|");
    for kind in ErrorKind::ALL {
        let rule = kind.rule();
        let (status, run, after_ms) = (rule.status, rule.run, rule.retry_after_ms);
        println!("| `{kind}` | {status} | {run} | {:?} | {after_ms} | {} |", rule.retry, rule.advice);
    }
}
