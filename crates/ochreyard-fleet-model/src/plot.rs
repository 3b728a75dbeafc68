//! A plot of the calls to the log by the size of the fleet.

use std::path::Path;

use plotters::prelude::*;

use crate::fault::Fault;
use crate::sample::Sample;

const SIZE_PIXELS: (u32, u32) = (900, 560);

/// The error of a plot that could not be written.
#[derive(Debug, thiserror::Error)]
#[error("the plot cannot be written to {path}: {problem}")]
pub struct PlotError {
    path: String,
    problem: String,
}

/// Draws the calls of whole runs by the number of boxes into an SVG file, with one line for each fault.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_plot(samples: &[Sample], path: &Path) -> Result<(), PlotError> {
    draw(samples, path).map_err(|error| PlotError { path: path.display().to_string(), problem: error.to_string() })
}

fn draw<'p>(samples: &[Sample], path: &'p Path) -> Result<(), Box<dyn std::error::Error + 'p>> {
    let max_boxes = samples.iter().map(|sample| sample.boxes).max().unwrap_or(1) as f64;
    let max_calls = samples.iter().map(|sample| sample.total.calls()).max().unwrap_or(1) as f64;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Calls to the log in 30 s", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((10.0..max_boxes * 1.2).log_scale(), (1.0..max_calls * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("boxes").y_desc("calls").draw()?;
    for (number, fault) in Fault::ALL.into_iter().enumerate() {
        let fault_samples = samples.iter().filter(|sample| sample.fault == fault);
        let mut points: Vec<(f64, f64)> =
            fault_samples.map(|sample| (sample.boxes as f64, sample.total.calls().max(1) as f64)).collect();
        if points.is_empty() {
            continue;
        }
        points.sort_by(|left, right| left.0.total_cmp(&right.0));
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(fault.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
