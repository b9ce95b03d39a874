//! Report as one HTML page with embedded charts.

use {
    super::{
        CompletedStep, ExperimentReport, TrialReport, attainment_svg, charts::marks_s, copies_svg,
        latency_svg, moves_svg,
    },
    crate::load::plot_seconds,
};

const PAGE_HEAD: &str = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/>\
    <title>Experiment</title><style>body{font-family:sans-serif;max-width:920px;margin:auto}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}\
    td:first-child,th:first-child{text-align:left}</style></head><body>\n";

/// Returns the report as a self-contained HTML page.
pub fn render_page(report: &ExperimentReport) -> String {
    let mut page = String::from(PAGE_HEAD);
    page += &format!(
        "<h1>{}</h1>\n<p>{} s of load in each trial, {} accelerators. Grey lines mark \
         disruptions; pale bars are models that load or unload.</p>\n",
        escape(&report.file),
        report.duration_s,
        report.accelerators
    );
    page += &table(report);
    for fault in report.faults() {
        page += &format!("<p><b>{}</b></p>\n", escape(&fault));
    }
    page += &attainment_svg(report);
    page += &moves_svg(report);
    for trial in &report.trials {
        page += &section(trial);
    }
    page + "</body></html>\n"
}

fn table(report: &ExperimentReport) -> String {
    let titles = [
        "setting",
        "seed",
        "sent",
        "answered",
        "within targets",
        "goodput /s",
        "per accelerator",
        "refused",
        "failed",
        "wrong",
        "moves",
        "adapter loads",
    ];
    let mut table = String::from("<table>\n");
    table += &row("th", &titles.map(str::to_owned));
    for trial in &report.trials {
        let load = &trial.load;
        let cells = [
            escape(&trial.setting),
            trial.seed.to_string(),
            load.sent.to_string(),
            load.answered.to_string(),
            load.attained.to_string(),
            format!("{:.1}", trial.goodput_per_s),
            format!("{:.1}", load.attainment_per_accelerator),
            load.refusals.total().to_string(),
            load.failures.total().to_string(),
            load.wrong.total().to_string(),
            load.moves.total().to_string(),
            load.moves.adapter_loads.to_string(),
        ];
        table += &row("td", &cells);
    }
    table + "</table>\n"
}

fn section(trial: &TrialReport) -> String {
    let mut section = format!("<h2>{}, seed {}</h2>\n", escape(&trial.setting), trial.seed);
    section += &classes(trial);
    if !trial.steps.is_empty() {
        let step = |step: &CompletedStep| {
            let text = format!("{:.1} s: {} {}", step.done_s, step.change, step.target);
            format!("<li>{}</li>\n", escape(&text))
        };
        let steps: String = trial.steps.iter().map(step).collect();
        section += &format!("<ul>\n{steps}</ul>\n");
    }
    section += &plot_seconds(&trial.load, &marks_s(trial));
    section += &latency_svg(trial);
    section + &copies_svg(trial)
}

fn classes(trial: &TrialReport) -> String {
    let titles = [
        "class",
        "sent",
        "answered",
        "within targets",
        "first token 50th, ms",
        "95th, ms",
        "99th, ms",
    ];
    let mut table = String::from("<table>\n");
    table += &row("th", &titles.map(str::to_owned));
    for class in &trial.load.classes {
        let cells = [
            escape(&class.name),
            class.sent.to_string(),
            class.answered.to_string(),
            class.attained.to_string(),
            format!("{:.1}", class.first_token.p50_ms),
            format!("{:.1}", class.first_token.p95_ms),
            format!("{:.1}", class.first_token.p99_ms),
        ];
        table += &row("td", &cells);
    }
    table + "</table>\n"
}

fn row(tag: &str, cells: &[String]) -> String {
    let cell = |cell: &String| format!("<{tag}>{cell}</{tag}>");
    let cells: String = cells.iter().map(cell).collect();
    format!("<tr>{cells}</tr>\n")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
