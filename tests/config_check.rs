//! Tests of the faults that reading, parsing and checking a whole configuration report.

use {
    greengagetrail::config::{Catalog, ConfigFault, ParsedObjects, check_parsed, read_config_dir},
    serde_json::{Value, json},
    std::path::Path,
};

/// Returns a small configuration without faults.
fn valid_objects() -> Vec<Value> {
    vec![
        json!({"kind": "deployment", "move_weight": 1.0, "model_loads_per_s": 2.0,
            "model_loads_at_once_max": 3, "adapter_loads_at_once_max": 24}),
        json!({"kind": "data_centre", "name": "north", "region": "plains"}),
        json!({"kind": "data_centre", "name": "south", "region": "plains"}),
        json!({"kind": "runner", "name": "r1", "address": "10.0.0.1:80", "data_centre": "north",
            "accelerators": 1, "memory_mib": 1000, "adapter_pool_mib": 100,
            "fencing": "honoured", "order_lateness_max_ms": 0}),
        json!({"kind": "model", "name": "m1", "version": "1", "memory_mib": 500}),
        json!({"kind": "model", "name": "m2", "version": "1", "memory_mib": 300}),
        json!({"kind": "adapter", "name": "a1", "model": "m1", "memory_mib": 50}),
        json!({"kind": "service", "name": "phone", "target": {"type": "models", "priority": 1,
            "first_token_target_ms": 500, "between_tokens_target_ms": 50}}),
        json!({"kind": "service", "name": "desk", "target": {"type": "plain",
            "backends": [{"name": "d1", "address": "10.0.1.1:80", "data_centre": "north"}],
            "idempotent_methods": ["GET"], "timeout_ms": 1000}}),
        json!({"kind": "placement", "name": "p1", "model": "m1", "data_centres": ["north"],
            "copies_min": 1, "copies_max": 2}),
    ]
}

/// Parses and checks objects as the file `objects.json`.
fn check(objects: &[Value]) -> Result<Catalog, Vec<ConfigFault>> {
    let mut parsed = ParsedObjects::default();
    let text = serde_json::to_vec(objects).unwrap();
    parsed.parse_file("objects.json", &text);
    check_parsed(&parsed)
}

/// Changes the object with a name and returns the faults of the configuration as text.
fn faults_after(name: &str, change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut objects = valid_objects();
    let found = objects.iter_mut().find(|object| {
        let text = if name == "deployment" { "kind" } else { "name" };
        object[text] == name
    });
    change(found.unwrap());
    let faults = check(&objects).expect_err("the faulty configuration was accepted");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_configuration_is_accepted() {
    let catalog = check(&valid_objects()).unwrap();
    assert_eq!(catalog.models.len(), 2);
    assert_eq!(catalog.objects().len(), valid_objects().len());
}

#[test]
fn examples_have_no_faults_and_the_expected_sizes() {
    for (example, sizes) in [("maltgrain", [4, 18, 30, 100]), ("kente", [3, 9, 13, 60])] {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(example);
        let catalog = check_parsed(&read_config_dir(&directory).unwrap()).unwrap();
        let found = [
            catalog.data_centres.len(),
            catalog.runners.len(),
            catalog.models.len(),
            catalog.adapters.len(),
        ];
        assert_eq!(found, sizes, "{example}");
    }
}

/// Each case gives the object, the field, the new value, and a part of the expected fault; an empty
/// text stands for a valid value.
#[test]
fn every_kind_of_fault_names_object_and_field() {
    let cases = [
        (
            "deployment",
            "model_loads_per_s",
            json!(0.0),
            "must be above zero",
        ),
        (
            "deployment",
            "move_weight",
            json!(-1.0),
            "must not be negative",
        ),
        (
            "deployment",
            "model_loads_at_once_max",
            json!(0),
            "must not be zero",
        ),
        (
            "deployment",
            "adapter_loads_at_once_max",
            json!(0),
            "must not be zero",
        ),
        ("r1", "accelerators", json!(0), "must not be zero"),
        ("r1", "memory_mib", json!("16 GiB"), "a whole number of MiB"),
        ("r1", "memory_mib", json!(0), "must not be zero"),
        ("r1", "memory_mib", json!(u64::MAX), "is the unit MiB?"),
        ("r1", "memory_mib", json!(1.5), "a whole number of MiB"),
        (
            "r1",
            "memory_gib",
            json!(80),
            "wrong unit? This is given as memory_mib",
        ),
        ("r1", "colour", json!("red"), "is not a known field"),
        (
            "r1",
            "adapter_pool_mib",
            json!(1000),
            "leaves no memory for models",
        ),
        ("r1", "fencing", json!("maybe"), "unknown variant"),
        (
            "r1",
            "fencing",
            json!("ignored"),
            "order_lateness_max_ms: must not be zero",
        ),
        (
            "r1",
            "data_centre",
            json!("west"),
            "there is no data centre west",
        ),
        (
            "r1",
            "address",
            json!("10.0.1.1:80"),
            "is also the address of backend d1",
        ),
        ("r1", "address", json!("0.0.0.0:80"), "cannot be dialled"),
        (
            "r1",
            "address",
            json!("runner.example:80"),
            "invalid socket address",
        ),
        ("r1", "name", json!("R 1"), "only a-z"),
        ("m1", "version", json!(""), "must have 1 to 128 bytes"),
        (
            "m1",
            "memory_mib",
            json!(901),
            "no allowed runner has 901 MiB",
        ),
        (
            "m1",
            "memory_mib",
            json!(700),
            "cannot hold all that must stay resident",
        ),
        (
            "m2",
            "name",
            json!("m1"),
            "is also the name of the model m1",
        ),
        (
            "a1",
            "name",
            json!("m2"),
            "is also the name of the model m2",
        ),
        ("a1", "model", json!("m9"), "there is no model m9"),
        (
            "a1",
            "memory_mib",
            json!(101),
            "does not fit the largest adapter pool",
        ),
        (
            "phone",
            "target",
            json!({"type": "models", "priority": 1,
            "first_token_target_ms": 0, "between_tokens_target_ms": 1}),
            "must not be zero",
        ),
        (
            "phone",
            "target",
            json!({"type": "other"}),
            "target.type: must be one of",
        ),
        ("phone", "target", json!(3), "must be an object"),
        (
            "desk",
            "target",
            json!({"type": "plain", "backends": [], "idempotent_methods": [],
            "timeout_ms": 1}),
            "target.backends: must name a backend",
        ),
        (
            "desk",
            "target",
            json!({"type": "plain", "backends": [], "idempotent_methods": [],
            "timeout_s": 1}),
            "target.timeout_s: is not a known field; wrong unit?",
        ),
        (
            "desk",
            "target",
            json!({"type": "plain", "idempotent_methods": ["get"],
            "timeout_ms": 0,
            "backends": [{"name": "d1", "address": "10.0.1.1:80", "data_centre": "x"}]}),
            "target.backends[1].data_centre: there is no data centre x",
        ),
        ("p1", "copies_min", json!(0), ""),
        ("p1", "copies_min", json!(3), "must not be above copies_max"),
        (
            "p1",
            "copies_min",
            json!(2),
            "only 1 allowed runners can hold one",
        ),
        ("p1", "copies_max", json!(0), "must not be zero"),
        ("p1", "model", json!("m9"), "there is no model m9"),
        (
            "p1",
            "data_centres",
            json!(["south"]),
            "data centre south has no runners",
        ),
        (
            "p1",
            "data_centres",
            json!(["x"]),
            "data_centres[1]: there is no data centre x",
        ),
        (
            "p1",
            "data_centres",
            json!(["north", "north"]),
            "names north twice",
        ),
    ];
    for (name, field, value, expected) in cases {
        if expected.is_empty() {
            let mut objects = valid_objects();
            objects.iter_mut().for_each(|object| {
                if object["name"] == name {
                    object[field] = value.clone();
                }
            });
            assert!(check(&objects).is_ok(), "{name}.{field} = {value} is valid");
            continue;
        }
        let faults = faults_after(name, |object| object[field] = value.clone());
        assert!(
            faults
                .iter()
                .any(|fault| fault.contains(expected) && fault.contains("objects.json[")),
            "{name}.{field} = {value}: {expected:?} is not in {faults:#?}"
        );
    }
}

#[test]
fn all_faults_are_reported_at_once_and_sorted() {
    let mut parsed = ParsedObjects::default();
    let runner = json!({"kind": "runner", "name": "r1", "address": 3, "memory_mib": "x",
        "colour": 1});
    parsed.parse_file("b.json", &serde_json::to_vec(&runner).unwrap());
    parsed.parse_file("a.json", b"[{\"kind\": \"model\"");
    parsed.parse_file(
        "c.json",
        br#"[{"kind": "wheel"}, 3, {"kind": "model", "name": "m",
        "version": "1", "memory_mib": 0, "memory_mib": 0}]"#,
    );
    let faults = check_parsed(&parsed).unwrap_err();
    assert!(faults.is_sorted());
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for expected in [
        "a.json: is not valid JSON",
        "b.json: runner r1: address: invalid type",
        "b.json: runner r1: memory_mib: invalid type",
        "b.json: runner r1: colour: is not a known field",
        "b.json: runner r1: data_centre: is missing",
        "b.json: runner r1: fencing: is missing",
        "c.json: memory_mib: is given twice",
        "c.json[1]: kind: must be one of",
        "c.json[2]: is not an object",
        "c.json[3]: model m: memory_mib: must not be zero",
    ] {
        assert!(
            text.iter().any(|fault| fault.starts_with(expected)),
            "{expected}: {text:#?}"
        );
    }
}

#[test]
fn missing_and_second_deployments_are_refused() {
    let objects = valid_objects();
    let faults = check(&objects[1..]).unwrap_err();
    assert!(faults[0].to_string().contains("deployment: is missing"));
    let mut twice = objects.clone();
    twice.push(objects[0].clone());
    let faults = check(&twice).unwrap_err();
    assert!(
        faults[0].problem.contains("is the second one"),
        "{faults:?}"
    );
}

#[test]
fn copies_of_one_model_need_distinct_runners() {
    let faults = faults_after("p1", |placement| {
        placement["data_centres"] = json!([]);
        placement["copies_min"] = json!(2);
    });
    assert!(
        faults[0].contains("asks for 2 copies, but only 1"),
        "{faults:?}"
    );
}

/// Arbitrary bytes do not make the parser or the checks panic.
#[test]
fn parser_survives_arbitrary_bytes() {
    bolero::check!()
        .with_iterations(2000)
        .for_each(|text: &[u8]| {
            let mut parsed = ParsedObjects::default();
            parsed.parse_file("fuzz.json", text);
            let _ = check_parsed(&parsed);
        });
}

/// Arbitrary numbers in the fields of well-formed objects do not make the checks panic.
#[test]
fn checks_survive_arbitrary_numbers() {
    bolero::check!()
        .with_iterations(2000)
        .with_type::<(u8, u8, u64, u32)>()
        .for_each(|(object, field, large, small)| {
            let mut objects = valid_objects();
            let position = usize::from(*object) % objects.len();
            let map = objects[position].as_object_mut().unwrap();
            let names: Vec<String> = map.keys().cloned().collect();
            let name = &names[usize::from(*field) % names.len()];
            let number = if small % 2 == 0 {
                *large
            } else {
                u64::from(*small)
            };
            map.insert(name.clone(), json!(number));
            let _ = check(&objects);
        });
}
