//! The command-line tool: runs the simulation at several fleet sizes and prints tables.

mod flags;

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use ochreyard_fleet_model::{Fault, Sample, draw_plot};
use rayon::prelude::*;

use crate::flags::FleetModel;

/// Fleet sizes that are simulated if the command line names none.
const DEFAULT_SIZES: &str = "30,100,300,1000,2000";
/// Smallest fleet; with fewer boxes, no box would be a follower.
const MIN_BOXES: usize = 6;
/// Largest fleet for which the simulation has addresses.
const MAX_BOXES: usize = 60_000;

fn main() -> Result<()> {
    let flags = FleetModel::from_env().unwrap_or_else(|error| error.exit());
    let sizes = parse_sizes(flags.boxes.as_deref().unwrap_or(DEFAULT_SIZES))?;
    let faults = parse_faults(flags.troubles.as_deref())?;
    let seeds = flags.seeds.unwrap_or(1).max(1);
    let samples = run_all(&sizes, &faults, seeds);
    print_table(&samples);
    if let Some(path) = &flags.json {
        write_json(&samples, path)?;
    }
    if let Some(path) = &flags.plot {
        draw_plot(&samples, path).into_diagnostic()?;
    }
    Ok(())
}

fn parse_sizes(list: &str) -> Result<Vec<usize>> {
    list.split(',').map(parse_size).collect()
}

fn parse_size(word: &str) -> Result<usize> {
    let boxes = word.trim().parse().ok().filter(|boxes| (MIN_BOXES..=MAX_BOXES).contains(boxes));
    boxes.ok_or_else(|| {
        miette!(
            "--boxes: `{word}` is not a number of boxes; give numbers from {MIN_BOXES} to {MAX_BOXES}, separated by commas"
        )
    })
}

fn parse_faults(list: Option<&str>) -> Result<Vec<Fault>> {
    let Some(list) = list else { return Ok(Fault::ALL.to_vec()) };
    let words = list.split(',').map(str::trim);
    words.map(|word| word.parse().map_err(|error| miette!("--troubles: {error}"))).collect()
}

fn run_all(sizes: &[usize], faults: &[Fault], seeds: u64) -> Vec<Sample> {
    let runs: Vec<(usize, Fault, u64)> = sizes
        .iter()
        .flat_map(|boxes| faults.iter().map(move |fault| (*boxes, *fault)))
        .flat_map(|(boxes, fault)| (0..seeds).map(move |seed| (boxes, fault, seed)))
        .collect();
    let (run_count, finished_runs) = (runs.len(), AtomicUsize::new(0));
    let run = |(boxes, fault, seed): (usize, Fault, u64)| {
        let sample = Sample::run(boxes, fault, seed);
        let number = finished_runs.fetch_add(1, Ordering::Relaxed) + 1;
        eprintln!("run {number} of {run_count}: boxes={boxes} trouble={} seed={seed}", fault.name());
        sample
    };
    runs.into_par_iter().map(run).collect()
}

fn print_table(samples: &[Sample]) {
    print_rows(
        &["calls at the start", "calls in all", "of readers", "of relays", "of told", "read again", "lists, writes"],
        samples,
        |sample| {
            let total = &sample.total;
            let calls = [sample.startup.calls(), total.calls(), total.reads_by_readers, total.reads_by_relays];
            let other_calls = [total.reads_by_followers, total.rereads, total.lists + total.writes];
            calls.iter().chain(&other_calls).map(u64::to_string).collect()
        },
    );
    println!();
    print_rows(
        &["known after, middle ms", "p99", "last", "questions, busiest", "kB a second, middle", "busiest"],
        samples,
        |sample| {
            let times = &sample.propagation_times;
            let counts = [times.median_ms, times.p99_ms, times.last_ms, sample.max_answered_polls];
            let bytes_per_second = [sample.median_bytes_per_second(), sample.max_bytes_per_second()];
            let kilobytes = bytes_per_second.iter().map(|bytes| format!("{:.1}", bytes / 1_000.0));
            counts.iter().map(u64::to_string).chain(kilobytes).collect()
        },
    );
}

fn print_rows(column_titles: &[&str], samples: &[Sample], cells: impl Fn(&Sample) -> Vec<String>) {
    println!("| boxes | trouble | seed | {} |", column_titles.join(" | "));
    println!("|{}", "---|".repeat(column_titles.len() + 3));
    for sample in samples {
        let run_columns = format!("{} | {} | {}", sample.boxes, sample.fault.name(), sample.seed);
        println!("| {run_columns} | {} |", cells(sample).join(" | "));
    }
}

fn write_json(samples: &[Sample], path: &Path) -> Result<()> {
    let json = serde_json::to_string_pretty(samples).into_diagnostic()?;
    std::fs::write(path, json)
        .into_diagnostic()
        .wrap_err_with(|| format!("--json: {} cannot be written", path.display()))
}
