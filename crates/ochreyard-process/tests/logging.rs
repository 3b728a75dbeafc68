//! Log lines are rate-limited, and writing them never blocks.

use std::fs::File;
use std::io::Read;

use ochreyard_process::{LogOutput, LogRateLimiter, event_name};
use rstest::rstest;

#[test]
fn lines_above_the_limit_are_suppressed_and_counted_in_the_next_line() {
    let mut limiter = LogRateLimiter::new(2);
    assert_eq!([limiter.admit("a", 0), limiter.admit("a", 900), limiter.admit("a", 999)], [Some(0), Some(0), None]);
    assert_eq!(limiter.admit("b", 999), Some(0), "each event has its own limit");
    assert_eq!(limiter.admit("a", 1_000), Some(1));
    limiter.count_unwritten("a", 1);
    assert_eq!(
        limiter.admit("a", 1_001),
        Some(2),
        "the line that could not be written and the one suppressed before it"
    );
}

#[test]
fn any_number_of_events_uses_bounded_memory() {
    let mut limiter = LogRateLimiter::new(1);
    let admitted = (0..10_000).filter(|event| limiter.admit(&event.to_string(), 0).is_some()).count();
    assert!(admitted < 300, "{admitted}");
}

#[rstest]
#[case::in_the_middle("ts_ms=1 level=info event=box_known box=a", "box_known")]
#[case::at_the_end("event=stopped", "stopped")]
#[case::none("panicked at", "")]
fn the_event_name_of_a_line_is_found(#[case] line: &str, #[case] event: &str) {
    assert_eq!(event_name(line), event);
}

#[test]
fn a_full_pipe_does_not_block_the_writer() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let output = LogOutput::new(File::from(writer), u64::MAX);
    // Many times the capacity of a pipe: a blocking writer would never finish.
    (0..5_000).for_each(|number| output.write(&format!("event=x number={number} {}", "-".repeat(200))));
    let mut read = vec![0; 1 << 20];
    let length = File::from(reader.try_clone().unwrap()).read(&mut read).unwrap();
    assert!(length > 4_096, "the lines that fit were written: {length}");
    output.write("event=x late");
    let length = File::from(reader).read(&mut read).unwrap();
    let text = String::from_utf8_lossy(&read[..length]).into_owned();
    assert!(text.contains("event=x late left_out="), "{}", &text[text.len().saturating_sub(200)..]);
}

#[test]
fn a_long_line_is_truncated() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let output = LogOutput::new(File::from(writer), 9);
    output.write(&format!("event=x {}", "é".repeat(9_000)));
    drop(output);
    let mut text = String::new();
    File::from(reader).read_to_string(&mut text).unwrap();
    assert!(text.len() <= 4_096 && text.ends_with('\n'), "{}", text.len());
}
