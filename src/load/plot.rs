//! The plot of an open loop: what happened to the requests of each second.

use super::{LoadReport, Second};

const WIDTH_PX: f64 = 800.0;
const HEIGHT_PX: f64 = 300.0;
const MARGIN_PX: f64 = 40.0;

/// A line of the plot.
struct Line {
    name: &'static str,
    colour: &'static str,
    value: fn(&Second) -> u64,
}

const LINES: [Line; 4] = [
    Line {
        name: "sent",
        colour: "#777777",
        value: |second| second.sent,
    },
    Line {
        name: "within targets",
        colour: "#2a7f3f",
        value: |second| second.attained,
    },
    Line {
        name: "refused",
        colour: "#c08000",
        value: |second| second.refused,
    },
    Line {
        name: "failed",
        colour: "#b02020",
        value: |second| second.failed,
    },
];

/// Returns the plot as SVG.
pub fn plot_svg(report: &LoadReport) -> String {
    let width = WIDTH_PX + 2.0 * MARGIN_PX;
    let height = HEIGHT_PX + 2.0 * MARGIN_PX;
    let most = report.seconds.iter().map(|second| second.sent).max();
    let most = most.unwrap_or(1).max(1);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <rect x=\"{MARGIN_PX}\" y=\"{MARGIN_PX}\" width=\"{WIDTH_PX}\" height=\"{HEIGHT_PX}\" \
         fill=\"none\" stroke=\"#cccccc\"/>\n"
    );
    for (index, line) in LINES.iter().enumerate() {
        let Line {
            name,
            colour,
            value,
        } = line;
        let points = points(&report.seconds, most, *value);
        let x = MARGIN_PX + 120.0 * index as f64;
        svg += &format!(
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" \
             points=\"{points}\"/>\n\
             <text x=\"{x}\" y=\"25\" fill=\"{colour}\">{name}</text>\n"
        );
    }
    let bottom = HEIGHT_PX + MARGIN_PX + 20.0;
    svg += &format!(
        "<text x=\"5\" y=\"{MARGIN_PX}\">{most}/s</text>\n\
         <text x=\"{MARGIN_PX}\" y=\"{bottom}\">0 to {} s, seed {}</text>\n</svg>\n",
        report.seconds.len(),
        report.seed
    );
    svg
}

fn points(seconds: &[Second], most: u64, value: fn(&Second) -> u64) -> String {
    let step = WIDTH_PX / seconds.len().saturating_sub(1).max(1) as f64;
    let point = |(index, second): (usize, &Second)| {
        let x = MARGIN_PX + step * index as f64;
        let y = MARGIN_PX + HEIGHT_PX * (1.0 - value(second) as f64 / most as f64);
        format!("{x:.1},{y:.1}")
    };
    let points: Vec<String> = seconds.iter().enumerate().map(point).collect();
    points.join(" ")
}
