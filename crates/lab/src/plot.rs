//! Line plots as SVG files.

use {
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

/// Line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` into the SVG file `path`; `axes` are the labels of x and y. Fails if the file
/// cannot be written.
pub fn lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
) -> Result<(), Box<dyn Error>> {
    let points = || lines.iter().flat_map(|l| &l.points);
    let right = points().map(|p| p.0).fold(0.0, f64::max);
    let top = points().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (i, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour);
        chart.draw_series(series)?.label(&line.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
