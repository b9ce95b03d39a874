//! Step runner on the paused clock, sampling of a trial, and the report.

use {
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::{
        engine::{EngineLoad, EngineRole, EngineStatus, ModelResident},
        experiment::{
            CompletedStep, DisruptionTarget, ExperimentError, ExperimentReport, MoveCounter,
            MovesSample, ProcessChange, ResidencyLog, Step, TrialReport, attainment_svg,
            copies_svg, latency_svg, moves_svg, render_page, run_steps,
        },
        load::{
            ClassReport, ClassSecond, LoadReport, MoveCounts, Percentiles, ReasonCounts,
            SecondCounts, plot_svg,
        },
        standin::{
            engine::{EngineFaults, EngineRecord, EngineSettings, GenerateRequest, StandinEngine},
            weights::{WeightLimits, WeightSource, WeightStore},
        },
        units::{Incarnation, RequestId},
    },
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Records when each change is applied; one kind of change fails.
struct RecordingTarget {
    start: Instant,
    seen: Vec<(u128, String, ProcessChange)>,
    step_duration: Duration,
    failing_change: Option<ProcessChange>,
}

impl DisruptionTarget for RecordingTarget {
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: ProcessChange,
    ) -> BoxFuture<'a, Result<(), ExperimentError>> {
        async move {
            if self.failing_change == Some(change) {
                return Err(ExperimentError::Disruption {
                    target: target.to_owned(),
                    reason: "refused".to_owned(),
                });
            }
            let at_ms = self.start.elapsed().as_millis();
            self.seen.push((at_ms, target.to_owned(), change));
            sleep(self.step_duration).await;
            Ok(())
        }
        .boxed()
    }
}

fn steps() -> Vec<Step> {
    let step = |at_ms, target: &str, change| Step {
        at: Duration::from_millis(at_ms),
        target: target.to_owned(),
        change,
    };
    vec![
        step(500, "a", ProcessChange::Kill),
        step(600, "b", ProcessChange::Cut),
        step(3_600_000, "a", ProcessChange::Start),
    ]
}

#[tokio::test(start_paused = true)]
async fn steps_run_when_they_are_due() {
    let start = Instant::now();
    let mut target = RecordingTarget {
        start,
        seen: Vec::new(),
        step_duration: Duration::from_millis(300),
        failing_change: None,
    };
    let completed = run_steps(&steps(), start, &mut target).await.unwrap();
    // The second step is late because it waits for the first one to complete.
    let seen = [
        (500, "a".to_owned(), ProcessChange::Kill),
        (800, "b".to_owned(), ProcessChange::Cut),
        (3_600_000, "a".to_owned(), ProcessChange::Start),
    ];
    assert_eq!(target.seen, seen);
    let times: Vec<(f64, f64)> = completed
        .iter()
        .map(|step| (step.due_s, step.done_s))
        .collect();
    assert_eq!(times, [(0.5, 0.8), (0.6, 1.1), (3_600.0, 3_600.3)]);
}

#[tokio::test(start_paused = true)]
async fn a_failed_step_ends_the_schedule() {
    let start = Instant::now();
    let mut target = RecordingTarget {
        start,
        seen: Vec::new(),
        step_duration: Duration::ZERO,
        failing_change: Some(ProcessChange::Cut),
    };
    let error = run_steps(&steps(), start, &mut target).await.unwrap_err();
    assert_eq!(error.to_string(), "b: refused");
    assert_eq!(target.seen.len(), 1);
}

#[test]
fn moves_are_counted_across_restarts() {
    let record = |model_loads| EngineRecord {
        model_loads,
        adapter_loads: 1,
        ..EngineRecord::default()
    };
    let mut counter = MoveCounter::default();
    for loads in [2, 3, 3, 1, 2] {
        counter.add_record(&record(loads));
    }
    assert_eq!(counter.total().model_loads, 5);
    assert_eq!(counter.total().adapter_loads, 2);
}

#[tokio::test(start_paused = true)]
async fn a_slowed_engine_takes_longer_and_keeps_its_configured_incarnation() {
    let weights = WeightSource::Local(Arc::new(WeightStore::new(WeightLimits::default())));
    let settings = EngineSettings {
        incarnation: Incarnation(3),
        ..EngineSettings::default()
    };
    let engine = StandinEngine::new(settings, weights);
    let order = json!({
        "id": format!("{:032x}", 1), "epoch": 1, "incarnation": 3,
        "action": {"action": "load_model", "model": "a", "version": "1", "memory_mib": 1}
    });
    engine.apply(serde_json::from_value(order).unwrap());
    sleep(Duration::from_secs(10)).await;
    let time_of = async |slow_percent| {
        engine.set_faults(EngineFaults {
            slow_percent,
            ..EngineFaults::default()
        });
        let start = Instant::now();
        let request = GenerateRequest {
            id: RequestId::random(),
            name: "a".to_owned(),
            prompt: String::new(),
            tokens: 10,
            skip: 0,
            priority: 0,
        };
        let mut generation = engine.generate(request).unwrap();
        while generation.next().await.unwrap().is_some() {}
        start.elapsed().as_millis()
    };
    assert_eq!((time_of(0).await, time_of(200).await), (100, 300));
}

fn status(models: &[(&str, bool)]) -> EngineStatus {
    let resident = |(model, ready): &(&str, bool)| ModelResident {
        model: model.parse().unwrap(),
        version: "1".to_owned(),
        ready: *ready,
    };
    EngineStatus {
        incarnation: Incarnation(1),
        leaving: false,
        role: EngineRole::Both,
        models: models.iter().map(resident).collect(),
        adapters: Vec::new(),
        finished: Vec::new(),
        load: EngineLoad::default(),
    }
}

#[test]
fn copies_have_the_times_of_the_samples_that_show_them() {
    let mut log = ResidencyLog::default();
    log.record_status(0.0, "r1", Some(&status(&[("a", true), ("b", false)])));
    log.record_status(0.0, "r2", Some(&status(&[("a", true)])));
    log.record_status(1.0, "r1", Some(&status(&[("a", true), ("b", true)])));
    log.record_status(1.0, "r2", None);
    log.record_status(2.0, "r1", Some(&status(&[("b", true)])));
    let copies = log.finish();
    let seen: Vec<(&str, &str, bool, f64, f64)> = copies
        .iter()
        .map(|copy| {
            (
                &*copy.runner,
                &*copy.model,
                copy.ready,
                copy.from_s,
                copy.to_s,
            )
        })
        .collect();
    let expected = [
        ("r1", "a", true, 0.0, 2.0),
        ("r1", "b", false, 0.0, 1.0),
        ("r1", "b", true, 1.0, 2.0),
        ("r2", "a", true, 0.0, 1.0),
    ];
    assert_eq!(seen, expected);
}

fn trial(name: &str) -> TrialReport {
    let second = |at_s| ClassSecond {
        at_s,
        answered: 3,
        p50_ms: 10.0,
        p95_ms: 20.0 + at_s as f64,
    };
    let load = LoadReport {
        seed: 1,
        duration_s: 3.0,
        accelerators: 2,
        sent: 9,
        answered: 9,
        attained: 8,
        attainment_per_accelerator: 4.0,
        moves: MoveCounts::default(),
        refusals: ReasonCounts::default(),
        failures: ReasonCounts::default(),
        wrong: ReasonCounts::default(),
        classes: vec![ClassReport {
            name: name.to_owned(),
            sent: 9,
            answered: 9,
            attained: 8,
            tokens: 90,
            first_token: Percentiles::default(),
            between_tokens: Percentiles::default(),
            over_time: (0..3).map(second).collect(),
        }],
        seconds: vec![SecondCounts::default(); 3],
    };
    let mut log = ResidencyLog::default();
    for at_s in [0.0, 1.0, 2.0] {
        log.record_status(at_s, name, Some(&status(&[("a", at_s > 0.5), ("b", true)])));
    }
    TrialReport {
        setting: name.to_owned(),
        seed: 1,
        settle_s: 1.0,
        goodput_per_s: 2.7,
        load,
        steps: vec![CompletedStep {
            due_s: 1.0,
            done_s: 1.1,
            target: name.to_owned(),
            change: ProcessChange::Kill,
        }],
        moves: vec![MovesSample {
            at_s: 2.0,
            moves: MoveCounts::default(),
        }],
        copies: log.finish(),
        faults: vec![format!("{name} ended by itself")],
    }
}

/// Returns the elements of a document, or fails when it is not well-formed.
fn elements(text: &str, name: &str) -> usize {
    let options = roxmltree::ParsingOptions {
        allow_dtd: true,
        ..roxmltree::ParsingOptions::default()
    };
    let document = roxmltree::Document::parse_with_options(text, options).unwrap();
    document
        .descendants()
        .filter(|node| node.has_tag_name(name))
        .count()
}

#[test]
fn plots_and_page_are_well_formed_whatever_the_names() {
    let names = ["as it is", "<b> & \"more\" </svg>"];
    let report = ExperimentReport {
        file: names[1].to_owned(),
        duration_s: 3.0,
        accelerators: 2,
        trials: names.map(trial).into(),
    };
    let empty = ExperimentReport {
        trials: Vec::new(),
        ..report.clone()
    };
    let mut plots = vec![
        attainment_svg(&report),
        attainment_svg(&empty),
        moves_svg(&empty),
    ];
    plots.push(moves_svg(&report));
    for trial in &report.trials {
        plots.extend([latency_svg(trial), copies_svg(trial), plot_svg(&trial.load)]);
    }
    for plot in &plots {
        let root = roxmltree::Document::parse(plot).unwrap();
        assert_eq!(root.root_element().tag_name().name(), "svg");
        assert!(!plot.contains("NaN") && !plot.contains("inf"));
    }
    let page = render_page(&report);
    let svg = page.matches("<svg ").count();
    assert_eq!(svg, 2 + 3 * report.trials.len());
    assert_eq!(elements(&page, "table"), 1 + report.trials.len());
    assert!(page.contains("ended by itself"));
    assert!(!page.contains("http-equiv") && !page.contains("<script"));
}
