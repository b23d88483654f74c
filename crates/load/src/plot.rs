//! The report as an SVG plot: goodput by organisation, lowest first.

use {
    crate::{Error, Report, Result},
    plotters::prelude::*,
    std::path::Path,
};

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 480);
/// Maximum number of organisations in the plot.
const MAX_BARS: usize = 64;
/// Space on each side of a bar, as a fraction of the distance between bars.
const GAP: f64 = 0.1;

/// Writes the plot of a report to the file `path`.
///
/// # Errors
///
/// [`Error::Plot`] if the file cannot be written.
pub fn write(report: &Report, path: &Path) -> Result<()> {
    draw(report, path)
        .map_err(|e| Error::Plot { path: path.display().to_string(), cause: e.to_string() })
}

fn draw(report: &Report, path: &Path) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let rows: Vec<_> = report.organisations.iter().take(MAX_BARS).collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..rows.len().max(1) as f64, 0.0..100.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .x_desc("organisations, worst-served first")
        .y_desc("whole answers in time, %")
        .draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(i, r)| {
        let left = i as f64 + GAP;
        let right = i as f64 + 1.0 - GAP;
        Rectangle::new([(left, 0.0), (right, r.goodput * 100.0)], BLUE.mix(0.6).filled())
    }))?;
    root.present()?;
    Ok(())
}
