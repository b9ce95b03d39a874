//! Entry point of `ggt-load experiment`: runs all trials and writes the report.

use {
    super::{
        ExperimentArgs, ExperimentError, ExperimentPlan, ExperimentReport, render_page,
        trial::Trial,
    },
    crate::{
        settings::build_runtime,
        telemetry::{LogFormat, LogLevel, init_logs},
    },
    std::{fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// File name of the JSON report.
pub const REPORT_JSON: &str = "report.json";
/// File name of the HTML report.
pub const REPORT_PAGE: &str = "report.html";

const WORKER_THREADS: usize = 2;

/// Runs the trials of an experiment and writes the report.
///
/// # Errors
///
/// Fails before anything is started if the file is invalid. Also fails if a trial cannot be
/// completed, if a signal interrupts the experiment, or if a trial had faults; the report then has
/// the trials completed so far.
pub fn run_experiment(args: &ExperimentArgs) -> Result<(), ExperimentError> {
    init_logs(LogLevel::Info, LogFormat::Text);
    let plan = ExperimentPlan::read(&args.file)?;
    if args.check_only {
        println!("ggt-load: the experiment is right");
        return Ok(());
    }
    let runtime = build_runtime(WORKER_THREADS).map_err(ExperimentError::file(&args.file))?;
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
    let result = tokio::select! {
        result = run_trials(plan, args, &mut report) => result,
        _ = terminate.recv() => Err(ExperimentError::Stopped),
        _ = interrupt.recv() => Err(ExperimentError::Stopped),
    };
    write_report(args, &report)?;
    result?;
    let faults: Vec<String> = report.faults().collect();
    if !faults.is_empty() {
        return Err(ExperimentError::TrialFaults(faults.join("; ")));
    }
    Ok(())
}

async fn run_trials(
    plan: &ExperimentPlan,
    args: &ExperimentArgs,
    report: &mut ExperimentReport,
) -> Result<(), ExperimentError> {
    let programs = find_programs()?;
    for (index, setting) in plan.resolved_settings.iter().enumerate() {
        for seed in &plan.settings.seeds {
            let trial = Trial {
                plan,
                setting,
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

/// Returns the directory of the running program, where the programs of the same build are.
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
    fs::write(&page, render_page(report)).map_err(ExperimentError::file(&page))?;
    println!("report: {}", page.display());
    Ok(())
}
