//! The player on the paused clock, what is gathered in a trial, and the report.

use {
    futures::future::{BoxFuture, FutureExt},
    greengagetrail::{
        engine::{EngineLoad, EngineRole, EngineStatus, ModelResident},
        experiment::{
            Change, ExperimentError, ExperimentReport, MovesMeter, MovesSample, PlayedStep,
            ResidencyLog, Stage, Step, TrialReport, attainment_svg, copies_svg, latency_svg,
            make_page, moves_svg, play,
        },
        load::{
            ClassReport, ClassSecond, LoadReport, MoveCounts, Percentiles, ReasonCounts, Second,
            plot_svg,
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

/// Notes when each change came; one kind of change fails.
struct NotingStage {
    start: Instant,
    seen: Vec<(u128, String, Change)>,
    takes: Duration,
    refuses: Option<Change>,
}

impl Stage for NotingStage {
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: Change,
    ) -> BoxFuture<'a, Result<(), ExperimentError>> {
        async move {
            if self.refuses == Some(change) {
                return Err(ExperimentError::Disruption {
                    target: target.to_owned(),
                    reason: "refused".to_owned(),
                });
            }
            let at_ms = self.start.elapsed().as_millis();
            self.seen.push((at_ms, target.to_owned(), change));
            sleep(self.takes).await;
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
        step(500, "a", Change::Kill),
        step(600, "b", Change::Cut),
        step(3_600_000, "a", Change::Start),
    ]
}

#[tokio::test(start_paused = true)]
async fn steps_are_played_when_they_are_due() {
    let start = Instant::now();
    let mut stage = NotingStage {
        start,
        seen: Vec::new(),
        takes: Duration::from_millis(300),
        refuses: None,
    };
    let played = play(&steps(), start, &mut stage).await.unwrap();
    // The second one waits for the end of the first one.
    let seen = [
        (500, "a".to_owned(), Change::Kill),
        (800, "b".to_owned(), Change::Cut),
        (3_600_000, "a".to_owned(), Change::Start),
    ];
    assert_eq!(stage.seen, seen);
    let times: Vec<(f64, f64)> = played
        .iter()
        .map(|step| (step.due_s, step.done_s))
        .collect();
    assert_eq!(times, [(0.5, 0.8), (0.6, 1.1), (3_600.0, 3_600.3)]);
}

#[tokio::test(start_paused = true)]
async fn a_step_that_fails_ends_the_play() {
    let start = Instant::now();
    let mut stage = NotingStage {
        start,
        seen: Vec::new(),
        takes: Duration::ZERO,
        refuses: Some(Change::Cut),
    };
    let error = play(&steps(), start, &mut stage).await.unwrap_err();
    assert_eq!(error.to_string(), "b: refused");
    assert_eq!(stage.seen.len(), 1);
}

#[test]
fn moves_go_on_over_a_new_start() {
    let record = |model_loads| EngineRecord {
        model_loads,
        adapter_loads: 1,
        ..EngineRecord::default()
    };
    let mut meter = MovesMeter::default();
    for loads in [2, 3, 3, 1, 2] {
        meter.take(&record(loads));
    }
    assert_eq!(meter.total().model_loads, 5);
    assert_eq!(meter.total().adapter_loads, 2);
}

#[tokio::test(start_paused = true)]
async fn a_slowed_engine_takes_longer_and_a_later_start_has_its_number() {
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
fn copies_have_the_times_at_which_they_were_seen() {
    let mut log = ResidencyLog::default();
    log.take(0.0, "r1", Some(&status(&[("a", true), ("b", false)])));
    log.take(0.0, "r2", Some(&status(&[("a", true)])));
    log.take(1.0, "r1", Some(&status(&[("a", true), ("b", true)])));
    log.take(1.0, "r2", None);
    log.take(2.0, "r1", Some(&status(&[("b", true)])));
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
        seconds: vec![Second::default(); 3],
    };
    let mut log = ResidencyLog::default();
    for at_s in [0.0, 1.0, 2.0] {
        log.take(at_s, name, Some(&status(&[("a", at_s > 0.5), ("b", true)])));
    }
    TrialReport {
        setting: name.to_owned(),
        seed: 1,
        settle_s: 1.0,
        goodput_per_s: 2.7,
        load,
        steps: vec![PlayedStep {
            due_s: 1.0,
            done_s: 1.1,
            target: name.to_owned(),
            change: Change::Kill,
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
    let page = make_page(&report);
    let svg = page.matches("<svg ").count();
    assert_eq!(svg, 2 + 3 * report.trials.len());
    assert_eq!(elements(&page, "table"), 1 + report.trials.len());
    assert!(page.contains("ended by itself"));
    assert!(!page.contains("http-equiv") && !page.contains("<script"));
}
