//! Experiment files: faults name their field, and steps are ordered by time.

use {
    greengagetrail::{
        experiment::{ExperimentPlan, ProcessChange, build_steps},
        settings::SettingsFault,
    },
    serde_json::{Map, Value, json},
    std::path::Path,
};

fn examples() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/experiments"))
}

fn object(changes: Value) -> Map<String, Value> {
    let text = std::fs::read_to_string(examples().join("demo.json")).unwrap();
    let mut object: Map<String, Value> = serde_json::from_str(&text).unwrap();
    object.extend(changes.as_object().unwrap().clone());
    object
}

fn read(changes: Value) -> Result<ExperimentPlan, Vec<SettingsFault>> {
    ExperimentPlan::from_object(&object(changes), examples())
}

#[test]
fn the_examples_are_valid() {
    for name in ["demo.json", "kente.json", "maltgrain.json"] {
        let plan = ExperimentPlan::read(&examples().join(name)).unwrap();
        assert!(!plan.resolved_settings.is_empty(), "{name}");
    }
}

#[test]
fn each_fault_names_its_field() {
    let one_disruption = |line: Value| json!({"disruptions": [line]});
    let cases = [
        (json!({"configuration": "../nowhere"}), "configuration"),
        (json!({"speed": 1}), "speed"),
        (json!({"duration_s": 0}), "duration_s"),
        (json!({"seeds": []}), "seeds"),
        (json!({"vms": ["north", "north", "west"]}), "vms[2]"),
        (json!({"engine": {"memory": 1}}), "engine"),
        (
            json!({"load": {"names": ["summary"]}}),
            "settings[0].load.classes",
        ),
        (
            json!({"keeper": {"planing_interval_ms": 1}}),
            "settings[0].keeper.planing_interval_ms",
        ),
        (
            json!({"entry": {"peer_key": "x"}}),
            "settings[0].entry.peer_key",
        ),
        (
            json!({"settings": [{"name": "a"}, {"name": "a"}]}),
            "settings[1].name",
        ),
        (
            json!({"settings": [{"name": "a", "programs": "nowhere"}]}),
            "settings[0].programs",
        ),
        (
            json!({"settings": [{"name": "a", "load": {"seed": 1}}]}),
            "settings[0].load.seed",
        ),
        (
            one_disruption(json!({"at_s": 1.0, "action": "kill"})),
            "disruptions[0]",
        ),
        (
            one_disruption(json!({"at_s": -1.0, "target": "entry-1", "action": "kill"})),
            "disruptions[0].at_s",
        ),
        (
            one_disruption(json!({"at_s": 1.0, "target": "entry-4", "action": "kill"})),
            "disruptions[0].target",
        ),
        (
            one_disruption(json!({"at_s": 1.0, "target": "entry-1", "action": "freeze"})),
            "disruptions[0].for_s",
        ),
        (
            one_disruption(json!({"at_s": 1.0, "target": "entry-1", "action": "cut"})),
            "disruptions[0].action",
        ),
        (
            one_disruption(json!({"at_s": 1.0, "target": "store", "action": "kill"})),
            "disruptions[0].action",
        ),
        (
            one_disruption(
                json!({"at_s": 1.0, "target": "store", "action": "slow", "slow_percent": 9}),
            ),
            "disruptions[0].slow_percent",
        ),
    ];
    for (changes, field) in cases {
        let mut one_setting = json!({"settings": [{"name": "a"}]});
        let more = changes.as_object().unwrap().clone();
        one_setting.as_object_mut().unwrap().extend(more);
        let faults = read(one_setting).expect_err("the file is invalid");
        let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
        assert_eq!(fields, [field], "{changes}: {faults:?}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let changes = json!({"keeper": {"lease_ttl_s": 0}, "disruptions": [
        {"at_s": 1.0, "target": "nobody", "action": "kill"},
        {"at_s": 1.0, "target": "store", "action": "restart"}]});
    // The fault in the keepers' settings counts once for each of the two compared settings.
    assert_eq!(read(changes).expect_err("the file is invalid").len(), 4);
}

#[test]
fn steps_are_ordered_by_time_and_include_the_ends_of_disruptions() {
    let plan = read(json!({"disruptions": [
        {"at_s": 3.0, "target": "keeper-1", "action": "freeze", "for_s": 1.0},
        {"at_s": 1.0, "target": "runner-1", "action": "slow", "slow_percent": 50, "for_s": 2.5},
        {"at_s": 2.0, "target": "entry-2", "action": "kill"}]}));
    let steps = build_steps(&plan.unwrap().disruptions);
    let seen: Vec<(u128, &str, ProcessChange)> = steps
        .iter()
        .map(|step| (step.at.as_millis(), step.target.as_str(), step.change))
        .collect();
    let expected = [
        (1_000, "runner-1", ProcessChange::SlowByPercent(50)),
        (2_000, "entry-2", ProcessChange::Kill),
        (3_000, "keeper-1", ProcessChange::Freeze),
        (3_500, "runner-1", ProcessChange::Mend),
        (4_000, "keeper-1", ProcessChange::Thaw),
    ];
    assert_eq!(seen, expected);
}

#[test]
fn any_json_is_accepted_or_rejected_without_panic() {
    let names = [
        "configuration",
        "disruptions",
        "settings",
        "seeds",
        "load",
        "keeper",
        "entry",
        "engine",
        "duration_s",
        "at_s",
        "target",
        "action",
        "for_s",
        "name",
        "classes",
    ];
    bolero::check!().for_each(|input: &[u8]| {
        let _ = serde_json::from_slice::<Map<String, Value>>(input)
            .map(|object| ExperimentPlan::from_object(&object, examples()));
        // Replaces known fields of a valid file by values of arbitrary type.
        let mut bytes = input.iter();
        let mut changes = Map::new();
        while let (Some(name), Some(shape)) = (bytes.next(), bytes.next()) {
            let name = names[usize::from(*name) % names.len()];
            let number = f64::from(*bytes.next().unwrap_or(&0)) - 100.0;
            let line =
                json!({"at_s": number, "target": "entry-1", "action": "freeze", "for_s": number});
            let value = match shape % 7 {
                0 => Value::Null,
                1 => json!(number * 1e300),
                2 => json!(name),
                3 => json!([line, number]),
                4 => json!([line]),
                5 => json!({ name: number }),
                _ => json!([{"name": name, "load": {name: number}, "keeper": {name: name}}]),
            };
            changes.insert(name.to_owned(), value);
        }
        if let Ok(plan) = ExperimentPlan::from_object(&object(Value::Object(changes)), examples()) {
            build_steps(&plan.disruptions);
        }
    });
}
