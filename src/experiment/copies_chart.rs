//! Chart of the model copies on each runner over time.

use {
    super::{CopyInterval, TrialReport, charts::marks_s},
    crate::load::{COLOURS, DrawError, SvgArea, draw_marks, draw_svg, label_style},
    plotters::{
        prelude::{ChartBuilder, Rectangle, Text},
        style::Color,
    },
};

const WIDTH_PX: u32 = 880;
const LANE_PX: u32 = 12;
const BORDER_PX: u32 = 80;
const LABEL_PX: i32 = 10;
/// Share of the chart width that the names of the lanes use.
const NAMES_SHARE: f64 = 0.35;
/// Opacity of a copy that is loading or unloading.
const UNREADY_OPACITY: f64 = 0.35;

/// Returns a chart with a lane for each pair of runner and model, as SVG.
///
/// A copy is drawn pale while it is loading or unloading.
pub fn copies_svg(trial: &TrialReport) -> String {
    let lanes = lanes(&trial.copies);
    let size_px = (WIDTH_PX, BORDER_PX + LANE_PX * lanes.len() as u32);
    draw_svg(size_px, |area| draw_lanes(area, trial, &lanes))
}

fn draw_lanes(
    area: &SvgArea<'_>,
    trial: &TrialReport,
    lanes: &[(&str, &str)],
) -> Result<(), DrawError> {
    let ends = trial.copies.iter().map(|copy| copy.to_s);
    let end_s = ends.fold(1.0, f64::max);
    let names_at = -end_s * NAMES_SHARE;
    let bottom = lanes.len().max(1) as f64;
    let mut plane = ChartBuilder::on(area)
        .caption("Copies by runner", ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(36)
        .build_cartesian_2d(names_at..end_s, bottom..0.0)?;
    let mut mesh = plane.configure_mesh();
    mesh.disable_y_mesh().disable_y_axis().max_light_lines(0);
    mesh.x_label_formatter(&|time_s| match *time_s < 0.0 {
        true => String::new(),
        false => format!("{time_s:.0}"),
    });
    mesh.x_desc("s").draw()?;
    let models = models(&trial.copies);
    for (lane, (runner, model)) in lanes.iter().enumerate() {
        let top = lane as f64;
        let name = Text::new(
            format!("{runner} {model}"),
            (names_at, top + 0.1),
            label_style(LABEL_PX),
        );
        plane.draw_series([name])?;
        let colour = COLOURS[models.binary_search(model).unwrap_or(0) % COLOURS.len()];
        let own = |copy: &&CopyInterval| copy.runner == *runner && copy.model == *model;
        let bars = trial.copies.iter().filter(own).map(|copy| {
            let opacity = if copy.ready { 1.0 } else { UNREADY_OPACITY };
            let corners = [(copy.from_s, top + 0.1), (copy.to_s, top + 0.9)];
            Rectangle::new(corners, colour.mix(opacity).filled())
        });
        plane.draw_series(bars)?;
    }
    draw_marks(&mut plane, &marks_s(trial), bottom)
}

/// Returns the distinct pairs of runner and model, in the order of the copies.
fn lanes(copies: &[CopyInterval]) -> Vec<(&str, &str)> {
    let pairs = copies.iter();
    let mut lanes: Vec<_> = pairs
        .map(|copy| (copy.runner.as_str(), copy.model.as_str()))
        .collect();
    lanes.dedup();
    lanes
}

/// Returns the distinct models, sorted.
fn models(copies: &[CopyInterval]) -> Vec<&str> {
    let mut models: Vec<&str> = copies.iter().map(|copy| copy.model.as_str()).collect();
    models.sort_unstable();
    models.dedup();
    models
}
