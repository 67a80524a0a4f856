//! Plot of the latency distribution up to the 99.99% quantile, for the entries and the baseline.

use hdrhistogram::Histogram;
use plotters::prelude::*;

use super::report::Report;

const SIZE_PX: (u32, u32) = (900, 520);
/// Number of points of each curve.
const POINTS_COUNT: u32 = 200;
/// End of the curves: the latency that one request in this many exceeds.
const TAIL_MAX: f64 = 10_000.0;

/// Returns the plot as SVG.
///
/// # Errors
///
/// The text of the drawing library's error.
pub fn svg(report: &Report) -> Result<String, String> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|error| error.to_string())?;
    Ok(text)
}

fn draw(report: &Report, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let mut curves = vec![("through the entries", BLUE, &report.entries.latency)];
    if let Some(direct) = &report.direct {
        curves.push(("straight to the workers", RED, &direct.latency));
    }
    let longest = curves.iter().filter_map(|(_, _, curve)| curve.as_ref());
    let longest_us = longest.map(Histogram::max).max().unwrap_or(1);
    let longest_ms = (longest_us as f64 / 1e3).max(1.0);
    let area = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Latency from the planned sending", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((1.0..TAIL_MAX).log_scale(), (0.1..longest_ms).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("latency, ms")
        .x_label_formatter(&|tail| format!("{:.2}%", 100.0 - 100.0 / tail))
        .draw()?;
    for (name, color, curve) in curves {
        let Some(curve) = curve else { continue };
        chart
            .draw_series(LineSeries::new(points(curve), &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}

/// Returns the points (x, y) of a curve: one request in `x` took at least `y` milliseconds.
fn points(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let step = TAIL_MAX.ln() / f64::from(POINTS_COUNT);
    (0..=POINTS_COUNT)
        .map(|index| {
            let tail = (step * f64::from(index)).exp();
            let us = histogram.value_at_quantile(1.0 - 1.0 / tail);
            (tail, us as f64 / 1e3)
        })
        .collect()
}
