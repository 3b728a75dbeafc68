//! Log lines are bounded, and nobody waits for their reader.

use std::fs::File;
use std::io::Read;

use ochreyard_process::{LogOutput, LogRateLimiter, event_name};
use rstest::rstest;

#[test]
fn lines_beyond_the_bound_are_left_out_and_counted_in_the_next_one() {
    let mut budget = LogRateLimiter::new(2);
    assert_eq!([budget.admit("a", 0), budget.admit("a", 900), budget.admit("a", 999)], [Some(0), Some(0), None]);
    assert_eq!(budget.admit("b", 999), Some(0), "each event has a bound of its own");
    assert_eq!(budget.admit("a", 1_000), Some(1));
    budget.count_unwritten("a", 1);
    assert_eq!(budget.admit("a", 1_001), Some(2), "one that could not be written, and the one before");
}

#[test]
fn events_without_number_take_no_memory_without_bound() {
    let mut budget = LogRateLimiter::new(1);
    let admitted = (0..10_000).filter(|event| budget.admit(&event.to_string(), 0).is_some()).count();
    assert!(admitted < 300, "{admitted}");
}

#[rstest]
#[case::in_the_middle("ts_ms=1 level=info event=box_known box=a", "box_known")]
#[case::at_the_end("event=stopped", "stopped")]
#[case::none("panicked at", "")]
fn the_event_of_a_line_is_found(#[case] line: &str, #[case] event: &str) {
    assert_eq!(event_name(line), event);
}

#[test]
fn a_pipe_that_nobody_reads_holds_nobody_up() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let output = LogOutput::new(File::from(writer), u64::MAX);
    // Many times what a pipe holds: a writer that waits would never come to the end.
    (0..5_000).for_each(|number| output.write(&format!("event=x number={number} {}", "-".repeat(200))));
    let mut read = vec![0; 1 << 20];
    let length = File::from(reader.try_clone().unwrap()).read(&mut read).unwrap();
    assert!(length > 4_096, "what fits was written: {length}");
    output.write("event=x late");
    let length = File::from(reader).read(&mut read).unwrap();
    let text = String::from_utf8_lossy(&read[..length]).into_owned();
    assert!(text.contains("event=x late left_out="), "{}", &text[text.len().saturating_sub(200)..]);
}

#[test]
fn a_long_line_is_cut() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let output = LogOutput::new(File::from(writer), 9);
    output.write(&format!("event=x {}", "é".repeat(9_000)));
    drop(output);
    let mut text = String::new();
    File::from(reader).read_to_string(&mut text).unwrap();
    assert!(text.len() <= 4_096 && text.ends_with('\n'), "{}", text.len());
}
