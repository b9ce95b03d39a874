//! A trial: one run of the schedule with one setting and one seed.

use {
    super::{
        ExperimentError, ExperimentPlan, MovesSample, ResolvedSetting, TrialReport, build_steps,
        process_spec::{Layout, ProcessKind},
        processes::{Processes, Programs},
        run_steps,
        sampler::{SampledRunner, Sampler},
    },
    crate::load::{
        Arrival, ClassSpec, LoadReport, LoadSettings, RequestOutcome, call, new_client,
        run_open_loop,
    },
    crate::settings::{Settings, SettingsError},
    futures::{StreamExt, TryStreamExt, stream},
    serde_json::json,
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        process::Command,
        time::{Instant, sleep},
    },
};

/// Maximum number of names probed in parallel before the load starts.
const PARALLEL_PROBES_MAX: usize = 16;
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// A run of the schedule with one setting and one seed.
#[derive(Debug)]
pub(super) struct Trial<'a> {
    /// The plan of the experiment.
    pub(super) plan: &'a ExperimentPlan,
    /// The setting of this trial.
    pub(super) setting: &'a ResolvedSetting,
    /// The seed of the load.
    pub(super) seed: u64,
    /// The directory of the programs of this build.
    pub(super) programs: PathBuf,
    /// The directory for settings files and logs.
    pub(super) directory: PathBuf,
}

impl Trial<'_> {
    /// Runs the trial and stops all processes that it started.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start, the configuration cannot be published, a name is not served
    /// in time, or a disruption cannot be applied.
    pub(super) async fn run(&self) -> Result<TrialReport, ExperimentError> {
        make_directory(&self.directory)?;
        let programs = Programs {
            stand_ins: self.programs.clone(),
            system: self
                .setting
                .programs
                .clone()
                .unwrap_or(self.programs.clone()),
        };
        let layout = Layout::new(self.plan, self.setting)?;
        let settings = Arc::new(self.load_settings(&layout)?);
        let mut processes =
            Processes::start(layout.specs.clone(), programs.clone(), &self.directory).await?;
        let published = Instant::now();
        self.publish(&layout, &programs).await?;
        self.wait_until_served(&settings).await?;
        let settle_s = published.elapsed().as_secs_f64();
        let mut report = self.measure(&settings, &layout, &mut processes).await?;
        report.settle_s = settle_s;
        for name in processes.find_ended() {
            report.faults.push(format!("{name} ended by itself"));
        }
        for name in processes.stop().await {
            report.faults.push(format!("{name} did not stop well"));
        }
        Ok(report)
    }

    fn load_settings(&self, layout: &Layout) -> Result<LoadSettings, ExperimentError> {
        let entries = layout.of_kind(ProcessKind::Entry);
        let entries: Vec<_> = entries.map(|entry| entry.address).collect();
        let mut load = self.setting.load.clone();
        load.insert("entries".to_owned(), json!(entries));
        load.insert("seed".to_owned(), json!(self.seed));
        load.insert(
            "duration_s".to_owned(),
            json!(self.plan.settings.duration_s),
        );
        let accelerators = self.plan.deployment.accelerators();
        load.insert("accelerators".to_owned(), json!(accelerators));
        LoadSettings::from_object(&load).map_err(|faults| SettingsError::Faults(faults).into())
    }

    async fn publish(&self, layout: &Layout, programs: &Programs) -> Result<(), ExperimentError> {
        let objects = self.directory.join("objects");
        make_directory(&objects)?;
        let file = objects.join("objects.json");
        fs::write(&file, json!(layout.objects).to_string())
            .map_err(ExperimentError::file(&file))?;
        let key = self.directory.join("operator.key");
        fs::write(&key, &layout.operator_key).map_err(ExperimentError::file(&key))?;
        let program = programs.system.join("ggt");
        let mut command = Command::new(&program);
        command.arg("publish").arg(&objects);
        command.args(["--author", "experiment", "--message", "experiment"]);
        command.args(["--keeper", &layout.operator_address.to_string()]);
        command.arg("--key-file").arg(&key).kill_on_drop(true);
        let output = command.output().await;
        let output = output.map_err(|cause| ExperimentError::Start { program, cause })?;
        if !output.status.success() {
            let reason = String::from_utf8_lossy(&output.stderr).trim().to_owned();
            return Err(ExperimentError::Publish { reason });
        }
        Ok(())
    }

    /// Waits until the first entry serves every model and adapter.
    async fn wait_until_served(&self, settings: &LoadSettings) -> Result<(), ExperimentError> {
        let timeout_s = self.plan.settings.settle_max_s;
        let deadline = Instant::now() + Duration::from_secs(timeout_s);
        let is_models = |class: &&ClassSpec| class.service.is_some();
        let models = settings.classes.iter().find(is_models);
        let class = models.unwrap_or(&settings.classes[0]);
        let client = new_client();
        let probes = settings.names.iter().map(|name| {
            let client = &client;
            async move {
                let arrival = Arrival {
                    at: Duration::ZERO,
                    class: 0,
                    kind: class.kind,
                    name: name.clone(),
                    prompt: "settle".to_owned(),
                    tokens: 1,
                };
                let entry = settings.entries[0];
                loop {
                    let probe = call(
                        client,
                        entry,
                        &arrival,
                        class,
                        Instant::now(),
                        PROBE_TIMEOUT,
                    );
                    if matches!(probe.await, RequestOutcome::Answered(_)) {
                        return Ok(());
                    }
                    if Instant::now() > deadline {
                        return Err(ExperimentError::Timeout {
                            operation: format!("the first answer of {name}"),
                            timeout_s,
                            logs: self.directory.clone(),
                        });
                    }
                    sleep(PROBE_INTERVAL).await;
                }
            }
        });
        let probes = stream::iter(probes).buffer_unordered(PARALLEL_PROBES_MAX);
        probes.try_collect::<()>().await
    }

    /// Sends the load while the disruptions are applied and the runners are sampled.
    async fn measure(
        &self,
        settings: &Arc<LoadSettings>,
        layout: &Layout,
        processes: &mut Processes,
    ) -> Result<TrialReport, ExperimentError> {
        let runners = layout
            .of_kind(ProcessKind::Runner)
            .map(|spec| SampledRunner {
                name: spec.name.clone(),
                address: spec.address,
                control: spec.control,
            });
        let end = Duration::from_secs_f64(self.plan.settings.duration_s);
        let mut steps = build_steps(&self.plan.disruptions);
        steps.retain(|step| step.at < end);
        let start = Instant::now();
        let mut sampler = Sampler::new(runners.collect(), start).await;
        let every = Duration::from_millis(self.plan.settings.sample_interval_ms);
        let load_and_schedule = async {
            let load = async { Ok(run_open_loop(settings.clone()).await) };
            futures::try_join!(load, run_steps(&steps, start, processes))
        };
        let (tally, steps) = tokio::select! {
            both = load_and_schedule => both?,
            () = sampler.run(every) => unreachable!("samples are taken for ever"),
        };
        sampler.take_sample().await;
        let (copies, moves) = sampler.finish();
        let total = moves.last().map(|sample: &MovesSample| sample.moves);
        let load = LoadReport::new(settings, tally, total.unwrap_or_default());
        Ok(TrialReport {
            setting: self.setting.name.clone(),
            seed: self.seed,
            settle_s: 0.0,
            goodput_per_s: load.attained as f64 / load.duration_s,
            steps,
            moves,
            copies,
            faults: find_faults(&load),
            load,
        })
    }
}

fn find_faults(load: &LoadReport) -> Vec<String> {
    let mut faults = Vec::new();
    if load.wrong.total() > 0 {
        faults.push(format!("{} answers were wrong", load.wrong.total()));
    }
    if load.moves.overcommits > 0 {
        faults.push("a runner held more than its memory".to_owned());
    }
    faults
}

fn make_directory(path: &Path) -> Result<(), ExperimentError> {
    fs::create_dir_all(path).map_err(ExperimentError::file(path))
}
