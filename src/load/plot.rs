//! Plot of the request counts of an open-loop run by second.

use super::{ChartLine, LineChart, LoadReport, SecondCounts};

/// A plotted line: the name of the count and its value for a second.
type PlottedCount = (&'static str, fn(&SecondCounts) -> u64);

const PLOTTED_COUNTS: [PlottedCount; 4] = [
    ("sent", |second| second.sent),
    ("failed", |second| second.failed),
    ("within targets", |second| second.attained),
    ("refused", |second| second.refused),
];

/// Returns the plot of a report as SVG.
pub fn plot_svg(report: &LoadReport) -> String {
    plot_seconds(report, &[])
}

/// Returns the plot of a report as SVG, with vertical lines at the given times.
pub fn plot_seconds(report: &LoadReport, marks_s: &[f64]) -> String {
    let lines = PLOTTED_COUNTS.map(|(name, value)| ChartLine {
        name: name.to_owned(),
        points: (0..)
            .zip(&report.seconds)
            .map(|(at_s, second)| (f64::from(at_s), value(second) as f64))
            .collect(),
    });
    let chart = LineChart {
        title: format!("Requests by second, seed {}", report.seed),
        unit: "requests/s".to_owned(),
        end_s: report.duration_s,
        lines: lines.into(),
        marks_s: marks_s.to_vec(),
    };
    chart.to_svg()
}
