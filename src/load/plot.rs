//! Plots of the experiments as SVG files, for the operators' documentation.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use strum::IntoEnumIterator;

use crate::load::overload::{OverloadReport, Scenario};
use crate::load::places::{PlacePolicy, PlacesReport, PlacesRow};
use crate::load::share::ShareReport;
use crate::load::teams::{LateSeries, TeamsReport};
use crate::load::world::SchedulingPolicy;

/// Size of a plot in pixels.
const SIZE_PX: (u32, u32) = (900, 420);

/// Height of one line of the legend in pixels.
const LEGEND_LINE_PX: i32 = 18;

/// Greatest mean completion time in the plot of waits for racks, in milliseconds.
const PLACES_MAX_MS: u64 = 5_000;

/// A named series of points.
struct Series {
    name: String,
    colour: RGBColor,
    width_px: u32,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn of_policy(policy: SchedulingPolicy, points: Vec<(f64, f64)>) -> Self {
        Self {
            name: policy.to_string(),
            colour: colour_of(policy),
            width_px: 2,
            points,
        }
    }
}

/// Draws the misplaced capacity of each second, one line for each scheduling policy.
pub fn plot_share(report: &ShareReport, file: &Path) -> Result<(), String> {
    let series: Vec<Series> = report
        .rows
        .iter()
        .map(|row| {
            let seconds = row.misplaced_by_s.iter().enumerate();
            let points = seconds.map(|(second, permille)| (second as f64, *permille));
            Series::of_policy(row.policy, points.collect())
        })
        .collect();
    let title = "Capacity given to the wrong team (permille of full pools) over time (s)";
    draw(file, title, &series).map_err(|error| error.to_string())
}

/// Draws the goodput over the offered load, one line for each scheduling policy.
pub fn plot_overload(report: &OverloadReport, file: &Path) -> Result<(), String> {
    let policies = [SchedulingPolicy::Fifo, SchedulingPolicy::Divided];
    let series = policies.map(|policy| {
        let rows = report.rows.iter();
        let rows = rows.filter(|row| row.scenario == Scenario::Constant && row.policy == policy);
        let points = rows.map(|row| (row.load, row.goodput_permille));
        Series::of_policy(policy, points.collect())
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
            width_px: 2,
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

/// Draws the mean completion time over the load, one line for each policy and factor; lines of
/// larger factors are wider.
pub fn plot_places(report: &PlacesReport, file: &Path) -> Result<(), String> {
    let mut series = Vec::new();
    for (factor_permille, width_px) in report.config.factors_permille.iter().zip(1..) {
        for policy in PlacePolicy::iter() {
            let is_of_line =
                |row: &&PlacesRow| row.factor_permille == *factor_permille && row.policy == policy;
            let rows = report.rows.iter().filter(is_of_line);
            let points = rows.map(|row| {
                let mean_ms = row.mean_ms.min(PLACES_MAX_MS);
                (row.load_permille as f64 / 1_000.0, mean_ms as f64)
            });
            series.push(Series {
                name: format!("{policy}, {}", *factor_permille as f64 / 1_000.0),
                colour: place_colour_of(policy),
                width_px,
                points: points.collect(),
            });
        }
    }
    let title = "Mean completion time (ms, cut at 5,000) over load, by policy and factor";
    draw(file, title, &series).map_err(|error| error.to_string())
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
        let style = one.colour.stroke_width(one.width_px);
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
        let style = one.colour.stroke_width(one.width_px + 1);
        let line = vec![(left_px, top_px + 6), (left_px + 24, top_px + 6)];
        area.draw(&PathElement::new(line, style))?;
        let place = (left_px + 32, top_px);
        area.draw(&Text::new(one.name.as_str(), place, ("sans-serif", 14)))?;
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

fn place_colour_of(policy: PlacePolicy) -> RGBColor {
    match policy {
        PlacePolicy::Never => RGBColor(170, 60, 60),
        PlacePolicy::Always => RGBColor(200, 150, 30),
        PlacePolicy::Expected => RGBColor(30, 90, 180),
    }
}
