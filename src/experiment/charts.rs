//! Charts that compare trials, and charts of a single trial.

use {
    super::{ExperimentReport, TrialReport},
    crate::load::{COLOURS, ChartLine, DrawError, LineChart, SvgArea, draw_svg, label_style},
    plotters::{
        prelude::{ChartBuilder, Rectangle, Text},
        style::Color,
    },
};

const BARS_WIDTH_PX: u32 = 880;
const BAR_HEIGHT_PX: u32 = 22;
const BARS_BORDER_PX: u32 = 80;
const LABEL_PX: i32 = 12;
/// Share of the chart width that the names of the bars use.
const NAMES_SHARE: f64 = 0.45;

/// Returns a bar chart of the requests within targets per accelerator of each trial, as SVG.
pub fn attainment_svg(report: &ExperimentReport) -> String {
    let rows = report.trials.len() as u32;
    let size_px = (BARS_WIDTH_PX, BARS_BORDER_PX + BAR_HEIGHT_PX * rows);
    draw_svg(size_px, |area| draw_bars(area, report))
}

fn draw_bars(area: &SvgArea<'_>, report: &ExperimentReport) -> Result<(), DrawError> {
    let values = report.trials.iter();
    let values = values.map(|trial| trial.load.attainment_per_accelerator);
    let most = values.fold(1.0, f64::max) * 1.15;
    let names_at = -most * NAMES_SHARE;
    let rows = report.trials.len() as f64;
    let mut plane = ChartBuilder::on(area)
        .caption(
            "Requests within targets per accelerator",
            ("sans-serif", 15),
        )
        .margin(8)
        .x_label_area_size(30)
        .build_cartesian_2d(names_at..most, rows..0.0)?;
    let mut mesh = plane.configure_mesh();
    mesh.disable_y_mesh().disable_y_axis().max_light_lines(0);
    mesh.x_label_formatter(&|value| match *value < 0.0 {
        true => String::new(),
        false => format!("{value:.0}"),
    });
    mesh.draw()?;
    for (index, trial) in report.trials.iter().enumerate() {
        let value = trial.load.attainment_per_accelerator;
        let colour = COLOURS[setting_index(report, trial) % COLOURS.len()];
        let top = index as f64;
        let bar = [(0.0, top + 0.15), (value, top + 0.85)];
        let name = format!("{}, seed {}", trial.setting, trial.seed);
        let text = |text: String, at_x| Text::new(text, (at_x, top + 0.3), label_style(LABEL_PX));
        plane.draw_series([Rectangle::new(bar, colour.filled())])?;
        plane.draw_series([text(name, names_at), text(format!(" {value:.1}"), value)])?;
    }
    Ok(())
}

/// Returns a chart of the moves of all trials over time, as SVG.
pub fn moves_svg(report: &ExperimentReport) -> String {
    let lines = report.trials.iter().map(|trial| ChartLine {
        name: format!("{}, seed {}", trial.setting, trial.seed),
        points: trial
            .moves
            .iter()
            .map(|sample| (sample.at_s, sample.moves.total() as f64))
            .collect(),
    });
    let chart = LineChart {
        title: "Moves since the start of the load".to_owned(),
        unit: "moves".to_owned(),
        end_s: end_s(report.trials.iter()),
        lines: lines.collect(),
        marks_s: Vec::new(),
    };
    chart.to_svg()
}

/// Returns a chart of the latency to the first token of each class over time, as SVG.
pub fn latency_svg(trial: &TrialReport) -> String {
    let lines = trial.load.classes.iter().flat_map(|class| {
        let line = |name: &str, value: fn(&crate::load::ClassSecond) -> f64| ChartLine {
            name: format!("{}, {name}", class.name),
            points: class
                .over_time
                .iter()
                .map(|second| (second.at_s as f64, value(second)))
                .collect(),
        };
        [
            line("median", |second| second.p50_ms),
            line("95th percentile", |second| second.p95_ms),
        ]
    });
    let chart = LineChart {
        title: "First token, by second in which the request was due".to_owned(),
        unit: "ms".to_owned(),
        end_s: trial.load.duration_s,
        lines: lines.collect(),
        marks_s: marks_s(trial),
    };
    chart.to_svg()
}

/// Returns when the disruptions of a trial were applied.
pub(super) fn marks_s(trial: &TrialReport) -> Vec<f64> {
    trial.steps.iter().map(|step| step.done_s).collect()
}

fn end_s<'a>(trials: impl Iterator<Item = &'a TrialReport>) -> f64 {
    let ends = trials.flat_map(|trial| trial.moves.last());
    ends.map(|sample| sample.at_s).fold(1.0, f64::max)
}

fn setting_index(report: &ExperimentReport, trial: &TrialReport) -> usize {
    let mut names: Vec<&str> = Vec::new();
    for trial in &report.trials {
        if !names.contains(&trial.setting.as_str()) {
            names.push(&trial.setting);
        }
    }
    let is_own = |name: &&str| *name == trial.setting;
    names.iter().position(is_own).unwrap_or_default()
}
