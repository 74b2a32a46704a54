//! Plots as SVG.

use std::path::Path;

use plotters::prelude::*;

use super::Summary;
use crate::error::LoadError;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws offered, useful and refused requests by second, with the capacity.
///
/// # Errors
/// When the file can't be written.
pub fn plot(summary: &Summary, file: &Path) -> Result<(), LoadError> {
    draw(summary, file).map_err(|e| LoadError::Plot {
        file: file.display().to_string().into(),
        message: e.to_string().into(),
    })
}

fn draw(summary: &Summary, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = &summary.seconds;
    let highest = seconds
        .iter()
        .map(|s| s.offered as f64)
        .fold(summary.capacity, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..highest * 1.1)?;
    // SVG text needs no font files only without labels; numbers stand in the JSON file.
    chart
        .configure_mesh()
        .disable_mesh()
        .x_labels(0)
        .y_labels(0)
        .draw()?;
    let line = |value: &dyn Fn(&super::Second) -> u64| {
        let points = seconds.iter().enumerate();
        let points = points.map(|(at, second)| (at as f64 + 0.5, value(second) as f64));
        points.collect::<Vec<_>>()
    };
    let lines: [(Vec<(f64, f64)>, RGBColor); 3] = [
        (line(&|second| second.offered), BLUE),
        (line(&|second| second.useful), GREEN),
        (line(&|second| second.not_run), RED),
    ];
    for (points, colour) in lines {
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    let level = [
        (0.0, summary.capacity),
        (seconds.len() as f64, summary.capacity),
    ];
    chart.draw_series(LineSeries::new(level, BLACK.mix(0.4)))?;
    root.present()?;
    Ok(())
}
