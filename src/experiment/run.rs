//! Runs an experiment and writes its report.

use {
    super::{
        ExperimentArgs, ExperimentError, ExperimentPlan, ExperimentReport, make_page, trial::Trial,
    },
    crate::{
        settings::build_runtime,
        telemetry::{LogFormat, LogLevel, init_logs},
    },
    std::{fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// The report as JSON.
pub const REPORT_JSON: &str = "report.json";
/// The report as a page.
pub const REPORT_PAGE: &str = "report.html";

const THREADS: usize = 2;

/// Runs an experiment and writes its report.
///
/// # Errors
///
/// Fails before anything is started when the file is wrong; fails when a trial does not go
/// through, or when something happened in a trial that should not have. The report then has the
/// trials until there.
pub fn run_experiment(args: &ExperimentArgs) -> Result<(), ExperimentError> {
    init_logs(LogLevel::Info, LogFormat::Text);
    let plan = ExperimentPlan::read(&args.file)?;
    if args.check_only {
        println!("ggt-load: the experiment is right");
        return Ok(());
    }
    let runtime = build_runtime(THREADS).map_err(ExperimentError::file(&args.file))?;
    runtime.block_on(run_until_stopped(&plan, args))
}

async fn run_until_stopped(
    plan: &ExperimentPlan,
    args: &ExperimentArgs,
) -> Result<(), ExperimentError> {
    let listen = |kind| signal(kind).map_err(ExperimentError::file(&args.file));
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut report = ExperimentReport {
        file: args.file.display().to_string(),
        duration_s: plan.settings.duration_s,
        accelerators: plan.deployment.accelerators(),
        trials: Vec::new(),
    };
    let ended = tokio::select! {
        ended = run_trials(plan, args, &mut report) => ended,
        _ = terminate.recv() => Err(ExperimentError::Stopped),
        _ = interrupt.recv() => Err(ExperimentError::Stopped),
    };
    write_report(args, &report)?;
    ended?;
    let faults: Vec<String> = report.faults().collect();
    if !faults.is_empty() {
        return Err(ExperimentError::Faults(faults.join("; ")));
    }
    Ok(())
}

async fn run_trials(
    plan: &ExperimentPlan,
    args: &ExperimentArgs,
    report: &mut ExperimentReport,
) -> Result<(), ExperimentError> {
    let programs = find_programs()?;
    for (index, case) in plan.cases.iter().enumerate() {
        for seed in &plan.settings.seeds {
            let trial = Trial {
                plan,
                case,
                seed: *seed,
                programs: programs.clone(),
                directory: args.report.join(format!("trial-{}-{seed}", index + 1)),
            };
            let trial = trial.run().await?;
            println!("{trial}");
            report.trials.push(trial);
        }
    }
    Ok(())
}

/// Returns the directory of the programs that were built with this one.
fn find_programs() -> Result<PathBuf, ExperimentError> {
    let own = std::env::current_exe();
    let own = own.map_err(ExperimentError::file("ggt-load".as_ref()))?;
    Ok(own.parent().map(PathBuf::from).unwrap_or_default())
}

fn write_report(args: &ExperimentArgs, report: &ExperimentReport) -> Result<(), ExperimentError> {
    fs::create_dir_all(&args.report).map_err(ExperimentError::file(&args.report))?;
    let file = args.report.join(REPORT_JSON);
    let json = serde_json::to_vec_pretty(report).unwrap_or_default();
    fs::write(&file, json).map_err(ExperimentError::file(&file))?;
    let page = args.report.join(REPORT_PAGE);
    fs::write(&page, make_page(report)).map_err(ExperimentError::file(&page))?;
    println!("report: {}", page.display());
    Ok(())
}
