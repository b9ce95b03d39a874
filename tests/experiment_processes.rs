//! An experiment with real processes: disruptions are applied, no process is left running, and an
//! invalid file starts nothing.

mod common {
    pub mod process;
}

use {
    common::process::TempDir,
    greengagetrail::experiment::{ExperimentReport, REPORT_JSON, REPORT_PAGE},
    serde_json::{Value, json},
    std::{
        fs,
        net::{SocketAddr, TcpStream},
        path::Path,
        process::{Command, Output},
    },
};

fn run(dir: &Path, changes: Value) -> Output {
    let mut experiment = json!({
        "configuration": concat!(env!("CARGO_MANIFEST_DIR"), "/examples/demo"),
        "vms": ["north"],
        "engine": {"token_us": 2000}, "weights": {"model_loads_per_s": 50.0, "model_load_ms": 20},
        "keeper": {"status_interval_ms": 100, "planning_interval_ms": 200},
        "load": {"rate_per_s": 30.0, "names": ["summary", "contract"], "classes": [{
            "name": "phone", "share": 1.0, "kind": "stream", "service": "phone",
            "first_token_target_ms": 2000, "tokens_min": 2, "tokens_max": 4}]},
        "disruptions": [
            {"at_s": 0.3, "target": "runner-1", "action": "kill", "for_s": 0.5},
            {"at_s": 0.5, "target": "keeper-1", "action": "freeze", "for_s": 0.4},
            {"at_s": 0.6, "target": "runner-2", "action": "cut", "for_s": 0.3},
            {"at_s": 1.0, "target": "desk-1", "action": "slow", "slow_ms": 5}],
        "duration_s": 2.0
    });
    for (name, value) in changes.as_object().unwrap() {
        experiment[name] = value.clone();
    }
    let file = dir.join("experiment.json");
    fs::write(&file, experiment.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ggt-load"));
    command
        .arg("experiment")
        .arg(&file)
        .arg("--report")
        .arg(dir.join("report"));
    command.output().unwrap()
}

/// Collects all socket addresses in a settings file.
fn addresses(value: &Value, found: &mut Vec<SocketAddr>) {
    match value {
        Value::String(text) => found.extend(text.parse::<SocketAddr>()),
        Value::Array(values) => values.iter().for_each(|value| addresses(value, found)),
        Value::Object(map) => map.values().for_each(|value| addresses(value, found)),
        _ => {}
    }
}

#[test]
fn a_trial_is_run_reported_and_cleaned_up() {
    let dir = TempDir::new();
    let output = run(dir.path(), json!({}));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    let report = dir.path().join("report");
    let json = fs::read(report.join(REPORT_JSON)).unwrap();
    let figures: ExperimentReport = serde_json::from_slice(&json).unwrap();
    let trial = &figures.trials[0];
    assert!(trial.load.sent > 20 && trial.load.answered > 0, "{trial}");
    assert_eq!(trial.steps.len(), 7);
    assert!(!trial.moves.is_empty());
    assert!(trial.copies.iter().any(|copy| copy.ready));
    let page = fs::read_to_string(report.join(REPORT_PAGE)).unwrap();
    assert_eq!(page.matches("<svg ").count(), 5);
    let mut listened = Vec::new();
    for file in fs::read_dir(report.join("trial-1-1")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap_or_default();
        addresses(
            &serde_json::from_str(&text).unwrap_or_default(),
            &mut listened,
        );
    }
    assert!(listened.len() > 10);
    for address in listened {
        assert!(
            TcpStream::connect(address).is_err(),
            "{address} still listens"
        );
    }
}

#[test]
fn an_invalid_file_names_the_field_and_starts_nothing() {
    let dir = TempDir::new();
    let wrong = json!({"disruptions": [{"at_s": 1.0, "target": "entry-9", "action": "kill"}]});
    let output = run(dir.path(), wrong);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains("disruptions[0].target: there is no process \"entry-9\""),
        "{error}"
    );
    assert!(!dir.path().join("report").exists());
}
