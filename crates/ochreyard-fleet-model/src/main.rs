//! The experiment tool: plays the model at several sizes and prints a table.

mod flags;

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use ochreyard_fleet_model::{Sample, Trouble, draw_plot};
use rayon::prelude::*;

use crate::flags::FleetModel;

/// Sizes that are played where none is named.
const SIZES: &str = "30,100,300,1000,2000";
/// Fewer boxes than this have none that is only told.
const FEWEST_BOXES: usize = 6;
/// Addresses of the model end there.
const MOST_BOXES: usize = 60_000;

fn main() -> Result<()> {
    let flags = FleetModel::from_env().unwrap_or_else(|error| error.exit());
    let sizes = sizes(flags.boxes.as_deref().unwrap_or(SIZES))?;
    let troubles = troubles(flags.troubles.as_deref())?;
    let seeds = flags.seeds.unwrap_or(1).max(1);
    let samples = play_all(&sizes, &troubles, seeds);
    print_table(&samples);
    if let Some(path) = &flags.json {
        write_json(&samples, path)?;
    }
    if let Some(path) = &flags.plot {
        draw_plot(&samples, path).into_diagnostic()?;
    }
    Ok(())
}

fn sizes(list: &str) -> Result<Vec<usize>> {
    list.split(',').map(size).collect()
}

fn size(word: &str) -> Result<usize> {
    let boxes = word.trim().parse().ok().filter(|boxes| (FEWEST_BOXES..=MOST_BOXES).contains(boxes));
    boxes.ok_or_else(|| {
        miette!(
            "--boxes: `{word}` is no number of boxes; name numbers from {FEWEST_BOXES} to {MOST_BOXES}, with commas"
        )
    })
}

fn troubles(list: Option<&str>) -> Result<Vec<Trouble>> {
    let Some(list) = list else { return Ok(Trouble::ALL.to_vec()) };
    let words = list.split(',').map(str::trim);
    words.map(|word| word.parse().map_err(|error| miette!("--troubles: {error}"))).collect()
}

fn play_all(sizes: &[usize], troubles: &[Trouble], seeds: u64) -> Vec<Sample> {
    let runs: Vec<(usize, Trouble, u64)> = sizes
        .iter()
        .flat_map(|boxes| troubles.iter().map(move |trouble| (*boxes, *trouble)))
        .flat_map(|(boxes, trouble)| (0..seeds).map(move |seed| (boxes, trouble, seed)))
        .collect();
    let (count, done) = (runs.len(), AtomicUsize::new(0));
    let play = |(boxes, trouble, seed): (usize, Trouble, u64)| {
        let sample = Sample::play(boxes, trouble, seed);
        let number = done.fetch_add(1, Ordering::Relaxed) + 1;
        eprintln!("run {number} of {count}: boxes={boxes} trouble={} seed={seed}", trouble.name());
        sample
    };
    runs.into_par_iter().map(play).collect()
}

fn print_table(samples: &[Sample]) {
    print_rows(
        &["calls at the start", "calls in all", "of readers", "of relays", "of told", "read again", "lists, writes"],
        samples,
        |sample| {
            let whole = &sample.whole;
            let calls = [sample.start.calls(), whole.calls(), whole.reads_of_readers, whole.reads_of_relays];
            let others = [whole.reads_of_told, whole.reads_again, whole.lists + whole.writes];
            calls.iter().chain(&others).map(u64::to_string).collect()
        },
    );
    println!();
    print_rows(
        &["known after, middle ms", "p99", "last", "questions, busiest", "kB a second, middle", "busiest"],
        samples,
        |sample| {
            let known = &sample.known_after;
            let counts = [known.middle_ms, known.p99_ms, known.last_ms, sample.most_questions];
            let bytes_a_second = [sample.middle_bytes_a_second(), sample.most_bytes_a_second()];
            let kilobytes = bytes_a_second.iter().map(|bytes| format!("{:.1}", bytes / 1_000.0));
            counts.iter().map(u64::to_string).chain(kilobytes).collect()
        },
    );
}

fn print_rows(heads: &[&str], samples: &[Sample], cells: impl Fn(&Sample) -> Vec<String>) {
    println!("| boxes | trouble | seed | {} |", heads.join(" | "));
    println!("|{}", "---|".repeat(heads.len() + 3));
    for sample in samples {
        let run = format!("{} | {} | {}", sample.boxes, sample.trouble.name(), sample.seed);
        println!("| {run} | {} |", cells(sample).join(" | "));
    }
}

fn write_json(samples: &[Sample], path: &Path) -> Result<()> {
    let json = serde_json::to_string_pretty(samples).into_diagnostic()?;
    std::fs::write(path, json)
        .into_diagnostic()
        .wrap_err_with(|| format!("--json: {} cannot be written", path.display()))
}
