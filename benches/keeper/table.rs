//! Prints what was measured, and straight lines fitted to it.

use std::time::Duration;

/// What one keeper spent under one load.
#[derive(Debug, Clone)]
pub struct Row {
    pub nodes: usize,
    pub runners: usize,
    pub models: usize,
    pub planner: bool,
    pub load: &'static str,
    pub cpu_percent: f64,
    pub resident_mib: f64,
    pub bytes_per_s: f64,
    pub store_calls_per_s: f64,
}

/// A straight line and the largest distance of a point from it.
struct Fit {
    slope: f64,
    intercept: f64,
    error_max: f64,
}

pub fn print_rows(rows: &[Row]) {
    println!("| nodes | runners | models | role | load | core | memory | network | store calls |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        let role = if row.planner { "planner" } else { "member" };
        println!(
            "| {} | {} | {} | {role} | {} | {:.2}% | {:.1} MiB | {:.2} KB/s | {:.2}/s |",
            row.nodes,
            row.runners,
            row.models,
            row.load,
            row.cpu_percent,
            row.resident_mib,
            row.bytes_per_s / 1000.0,
            row.store_calls_per_s
        );
    }
}

pub fn print_fits(rows: &[Row], records_per_s: u32, revisions: u32, window: Duration) {
    println!(
        "\n| of a planner, against nodes | slope per 100 nodes | at 0 nodes | largest error |"
    );
    println!("|---|---|---|---|");
    let quiet = of_planner(rows, "quiet");
    print_fit("core, quiet (%)", &quiet, |row| row.cpu_percent);
    print_fit("memory (MiB)", &quiet, |row| row.resident_mib);
    print_fit("network, quiet (KB/s)", &quiet, |row| {
        row.bytes_per_s / 1000.0
    });
    println!("\n| nodes | one record write costs | one revision costs |");
    println!("|---|---|---|");
    let records = of_planner(rows, "records");
    let published = of_planner(rows, "revisions");
    let revisions_per_s = f64::from(revisions) / window.as_secs_f64();
    for ((quiet, records), published) in quiet.iter().zip(&records).zip(&published) {
        println!(
            "| {} | {} | {} |",
            quiet.nodes,
            difference(quiet, records, f64::from(records_per_s)),
            difference(quiet, published, revisions_per_s)
        );
    }
}

fn of_planner<'a>(rows: &'a [Row], load: &str) -> Vec<&'a Row> {
    rows.iter()
        .filter(|row| row.planner && row.load == load)
        .collect()
}

fn difference(quiet: &Row, loaded: &Row, per_second: f64) -> String {
    let cpu_ms = (loaded.cpu_percent - quiet.cpu_percent) * 10.0 / per_second;
    let bytes = (loaded.bytes_per_s - quiet.bytes_per_s) / per_second;
    format!("{cpu_ms:.2} ms of a core, {bytes:.0} bytes")
}

fn print_fit(name: &str, rows: &[&Row], value: impl Fn(&Row) -> f64) {
    let points: Vec<(f64, f64)> = rows
        .iter()
        .map(|row| (row.nodes as f64, value(row)))
        .collect();
    let fit = fit_line(&points);
    let slope = fit.slope * 100.0;
    println!(
        "| {name} | {slope:.3} | {:.3} | {:.3} |",
        fit.intercept, fit.error_max
    );
}

fn fit_line(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let products = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let squares = points.iter().map(|point| (point.0 - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let errors = points
        .iter()
        .map(|point| (point.1 - intercept - slope * point.0).abs());
    let error_max = errors.fold(0.0, f64::max);
    Fit {
        slope,
        intercept,
        error_max,
    }
}
