//! Entry point of `ggt-load`: runs a load and writes its report.

use {
    super::{
        LoadMode, LoadReport, LoadSettings, plot_svg, read_moves, run_compare, run_open_loop,
        run_saturate,
    },
    crate::{settings::build_runtime, telemetry::init_logs},
    serde::Serialize,
    std::{fmt::Display, fs, io, sync::Arc},
};

/// Runs a load in the configured mode and writes its report.
///
/// # Errors
///
/// Fails if a file cannot be written or if an open-loop run got an invalid response.
pub fn run(settings: LoadSettings) -> io::Result<()> {
    init_logs(settings.log_level, settings.log_format);
    build_runtime(settings.threads)?.block_on(run_mode(Arc::new(settings)))
}

async fn run_mode(settings: Arc<LoadSettings>) -> io::Result<()> {
    match (settings.mode, settings.direct_address) {
        (LoadMode::Compare, Some(direct)) => {
            let comparison = run_compare(&settings, direct).await;
            write_report(&settings, &comparison)
        }
        (LoadMode::Saturate, _) => {
            let throughput = run_saturate(settings.clone()).await;
            write_report(&settings, &throughput)
        }
        _ => write_open_loop(&settings).await,
    }
}

async fn write_open_loop(settings: &Arc<LoadSettings>) -> io::Result<()> {
    let before = read_moves(&settings.engine_control_addresses).await;
    let tally = run_open_loop(settings.clone()).await;
    let after = read_moves(&settings.engine_control_addresses).await;
    let report = LoadReport::new(settings, tally, after - before);
    write_report(settings, &report)?;
    if let Some(path) = &settings.plot_file {
        fs::write(path, plot_svg(&report))?;
    }
    if report.wrong.total() > 0 {
        return Err(io::Error::other("an answer was wrong"));
    }
    Ok(())
}

fn write_report(settings: &LoadSettings, report: &(impl Serialize + Display)) -> io::Result<()> {
    print!("{report}");
    if let Some(path) = &settings.report_file {
        fs::write(path, serde_json::to_vec_pretty(report)?)?;
    }
    Ok(())
}
