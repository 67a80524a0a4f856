//! Plots of the experiments as SVG files, for the operators' documentation.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::load::overload::{OverloadReport, Scenario};
use crate::load::share::ShareReport;
use crate::load::teams::{LateSeries, TeamsReport};
use crate::load::world::SchedulingPolicy;

/// Size of a plot in pixels.
const SIZE_PX: (u32, u32) = (900, 420);

/// Height of one line of the legend in pixels.
const LEGEND_LINE_PX: i32 = 18;

/// A named series of points.
struct Series {
    name: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws the misplaced capacity of each second, one line for each scheduling policy.
pub fn plot_share(report: &ShareReport, file: &Path) -> Result<(), String> {
    let series: Vec<Series> = report
        .rows
        .iter()
        .map(|row| Series {
            name: row.policy.to_string(),
            colour: colour_of(row.policy),
            points: row
                .misplaced_by_s
                .iter()
                .enumerate()
                .map(|(second, permille)| (second as f64, *permille))
                .collect(),
        })
        .collect();
    let title = "Capacity given to the wrong team (permille of full pools) over time (s)";
    draw(file, title, &series).map_err(|error| error.to_string())
}

/// Draws the goodput over the offered load, one line for each scheduling policy.
pub fn plot_overload(report: &OverloadReport, file: &Path) -> Result<(), String> {
    let policies = [SchedulingPolicy::Fifo, SchedulingPolicy::Divided];
    let series = policies.map(|policy| Series {
        name: policy.to_string(),
        colour: colour_of(policy),
        points: report
            .rows
            .iter()
            .filter(|row| row.scenario == Scenario::Constant && row.policy == policy)
            .map(|row| (row.load, row.goodput_permille))
            .collect(),
    });
    let title = "Goodput (permille of capacity) over offered load (multiples of capacity)";
    draw(file, title, &series).map_err(|error| error.to_string())
}

/// Draws the share of late jobs by the second of their arrival, for the busy team and for all
/// others, with and without rates.
pub fn plot_teams(report: &TeamsReport, file: &Path) -> Result<(), String> {
    let series = report.series.iter().map(|one| {
        let seconds = one.late_permille_by_s.iter().enumerate();
        Series {
            name: late_series_name(one),
            colour: late_series_colour(one),
            points: seconds
                .map(|(second, permille)| (second as f64, *permille))
                .collect(),
        }
    });
    let series: Vec<Series> = series.collect();
    let title = "Late jobs (permille of accepted jobs) over time of arrival (s)";
    draw(file, title, &series).map_err(|error| error.to_string())
}

fn late_series_name(series: &LateSeries) -> String {
    let team = if series.is_busy { "busy" } else { "others" };
    let rates = if series.has_rates { "rates" } else { "none" };
    format!("{team}, {rates}")
}

fn late_series_colour(series: &LateSeries) -> RGBColor {
    match (series.has_rates, series.is_busy) {
        (false, true) => RGBColor(200, 150, 30),
        (false, false) => RGBColor(170, 60, 60),
        (true, true) => RGBColor(30, 90, 180),
        (true, false) => RGBColor(60, 140, 70),
    }
}

type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(file: &'a Path, title: &str, series: &[Series]) -> Result<(), DrawError<'a>> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || series.iter().flat_map(|one| one.points.iter());
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    let y_max = points().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(title, ("sans-serif", 16))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.05)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for one in series {
        let style = one.colour.stroke_width(2);
        chart.draw_series(LineSeries::new(one.points.iter().copied(), style))?;
    }
    draw_legend(&area, series)?;
    area.present()
}

/// Draws the names of the series in the upper right corner.
fn draw_legend<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    series: &[Series],
) -> Result<(), DrawError<'a>> {
    let left_px = SIZE_PX.0 as i32 - 130;
    for (index, one) in series.iter().enumerate() {
        let top_px = 48 + index as i32 * LEGEND_LINE_PX;
        let style = one.colour.stroke_width(3);
        let line = vec![(left_px, top_px + 6), (left_px + 24, top_px + 6)];
        area.draw(&PathElement::new(line, style))?;
        let place = (left_px + 32, top_px);
        area.draw(&Text::new(one.name.clone(), place, ("sans-serif", 14)))?;
    }
    Ok(())
}

fn colour_of(policy: SchedulingPolicy) -> RGBColor {
    match policy {
        SchedulingPolicy::Fifo => RGBColor(170, 60, 60),
        SchedulingPolicy::Levels => RGBColor(200, 150, 30),
        SchedulingPolicy::Divided => RGBColor(30, 90, 180),
        SchedulingPolicy::Owner => RGBColor(60, 140, 70),
    }
}
