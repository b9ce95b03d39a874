//! `ggt` with a keeper: arguments, exit codes, output and the keeper's operator port.

use {
    greengagetrail::{
        cli::{
            CliError, EXIT_FAILURE, EXIT_SUCCESS, EXIT_USAGE, OperatorClient, OperatorPublication,
            describe_head, run,
        },
        config::{Digest, Head, SNAPSHOTS_KEPT_MAX, check_parsed, read_config_dir},
        keeper::{GateService, KeeperState, LoginCapabilities, OperatorService},
        peer::{SharedKey, serve},
        standin::kv::{KvFaults, MemoryStore},
        units::{Incarnation, PublishId, Revision},
    },
    serde_json::Value,
    std::{
        ffi::OsString,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, mpsc},
        thread,
    },
    tokio::{net::TcpListener, runtime::Builder, task::LocalSet},
};

const KEY: &str = "an operators' key for tests";

/// Exit code and output of one run of `ggt`.
struct Run {
    code: u8,
    results: String,
    errors: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.results).unwrap_or_else(|_| panic!("{}", self.results))
    }
}

fn ggt(args: &[&str]) -> Run {
    let (mut results, mut errors) = (Vec::new(), Vec::new());
    let args: Vec<OsString> = args.iter().map(OsString::from).collect();
    let code = run(args, &mut results, &mut errors);
    Run {
        code,
        results: String::from_utf8(results).unwrap(),
        errors: String::from_utf8(errors).unwrap(),
    }
}

/// A keeper's operator port on its own thread, backed by an in-memory store.
struct Keeper {
    address: String,
    key_file: String,
    store: MemoryStore,
}

impl Keeper {
    fn start(name: &str) -> Self {
        let store = MemoryStore::new();
        let (sender, receiver) = mpsc::channel();
        let kept = store.clone();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, serve_operators(kept, sender));
        });
        let address = receiver.recv().unwrap().to_string();
        let key_file = scratch_dir(name).join("operator.key");
        fs::write(&key_file, format!("{KEY}\n")).unwrap();
        Self {
            address,
            key_file: key_file.to_string_lossy().into_owned(),
            store,
        }
    }

    fn ggt(&self, args: &[&str]) -> Run {
        let common = ["--keeper", &self.address, "--key-file", &self.key_file];
        ggt(&[args, &common].concat())
    }

    fn publish(&self, dir: &Path, options: &[&str]) -> Run {
        let dir = dir.to_string_lossy();
        let args = [
            "publish",
            &dir,
            "--author",
            "ama",
            "--message",
            "a change",
            "--json",
        ];
        self.ggt(&[&args, options].concat())
    }
}

async fn serve_operators(store: MemoryStore, sender: mpsc::Sender<SocketAddr>) {
    let operator = OperatorService::client(
        "vm-1".parse().unwrap(),
        Incarnation(1),
        KeeperState::default(),
        Arc::new(store),
    );
    let roles = LoginCapabilities::Operators {
        key: SharedKey::new(KEY),
        operator,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    sender.send(listener.local_addr().unwrap()).unwrap();
    serve(listener, move |mark| {
        GateService::client(roles.clone(), mark)
    })
    .await;
}

fn scratch_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli_ggt_{name}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

/// Copies an example with one text replaced in one file.
fn changed_example(name: &str, file: &str, from: &str, to: &str) -> PathBuf {
    let dir = scratch_dir(name);
    for entry in fs::read_dir(example("kente")).unwrap() {
        let path = entry.unwrap().path();
        fs::copy(&path, dir.join(path.file_name().unwrap())).unwrap();
    }
    let text = fs::read_to_string(dir.join(file)).unwrap();
    assert!(text.contains(from));
    fs::write(dir.join(file), text.replacen(from, to, 1)).unwrap();
    dir
}

#[test]
fn wrong_command_lines_exit_with_2() {
    let cases: [&[&str]; 12] = [
        &[],
        &["paint"],
        &["check"],
        &["check", "a", "b"],
        &["check", "a", "--limit", "3"],
        &["publish", "dir", "--author", "ama"],
        &["publish", "dir", "--message", "why"],
        &[
            "publish",
            "dir",
            "--author",
            "a",
            "--message",
            "b",
            "--expect",
            "x",
        ],
        &["history", "--limit", "many"],
        &["status", "--keeper", "nowhere"],
        &["status", "--colour"],
        &["show", "--revision"],
    ];
    for args in cases {
        let run = ggt(args);
        assert_eq!(run.code, EXIT_USAGE, "{args:?}");
        assert!(
            run.errors.starts_with("ggt: ") && run.results.is_empty(),
            "{args:?}"
        );
    }
}

#[test]
fn every_command_has_help() {
    let commands = [
        "check", "publish", "show", "diff", "history", "audit", "status", "drain",
    ];
    let overview = ggt(&["--help"]);
    assert_eq!(overview.code, EXIT_SUCCESS);
    for command in commands {
        let help = ggt(&[command, "--help"]);
        assert_eq!(help.code, EXIT_SUCCESS);
        assert!(help.results.starts_with(&format!("Usage: ggt {command}")));
        assert!(overview.results.contains(&format!("\n  {command} ")));
    }
}

#[test]
fn check_lists_all_faults() {
    let good = ggt(&["check", &example("kente").to_string_lossy(), "--json"]);
    assert_eq!(
        (good.code, &good.json()["ok"]),
        (EXIT_SUCCESS, &Value::Bool(true))
    );
    let dir = changed_example(
        "faulty",
        "runners.json",
        "\"memory_mib\": 81920",
        "\"memory_gib\": 80",
    );
    let bad = ggt(&["check", &dir.to_string_lossy()]);
    assert_eq!(bad.code, EXIT_FAILURE);
    assert!(
        bad.errors
            .contains("runners.json[1]: runner runner-01: memory_gib: is not a known")
    );
    assert!(
        bad.errors
            .contains("runners.json[1]: runner runner-01: memory_mib: is missing")
    );
    let json = ggt(&["check", &dir.to_string_lossy(), "--json"]).json();
    assert_eq!(json["faults"].as_array().unwrap().len(), 2);
    assert_eq!(json["faults"][0]["file"], "runners.json");
    assert_eq!(ggt(&["check", "/nowhere"]).code, EXIT_FAILURE);
}

#[test]
fn configuration_is_published_shown_and_listed() {
    let keeper = Keeper::start("published");
    assert_eq!(keeper.ggt(&["show"]).code, EXIT_FAILURE);
    let first = keeper.publish(&example("kente"), &[]);
    assert_eq!(first.code, EXIT_SUCCESS, "{}", first.errors);
    assert_eq!(first.json()["outcome"], "published");
    assert_eq!(first.json()["head"]["revision"], 1);

    let dir = changed_example(
        "larger",
        "deployment.json",
        "\"move_weight\": 20.0",
        "\"move_weight\": 21.0",
    );
    let diff = keeper.ggt(&["diff", &dir.to_string_lossy()]);
    assert_eq!(
        diff.results,
        "~ deployment\n    move_weight: 20.0 -> 21.0\n"
    );

    assert_eq!(keeper.publish(&dir, &[]).json()["head"]["revision"], 2);
    let shown = keeper.ggt(&["show", "--json"]).json();
    assert_eq!(shown["head"]["revision"], 2);
    assert_eq!(shown["objects"][0]["move_weight"], 21.0);
    let older = keeper.ggt(&["show", "--revision", "1", "--json"]).json();
    assert_eq!(older["head"]["author"], "ama");
    assert_eq!(older["objects"][0]["move_weight"], 20.0);
    assert_eq!(keeper.ggt(&["show", "--revision", "9"]).code, EXIT_FAILURE);
    let history = keeper.ggt(&["history", "--json"]).json();
    assert_eq!(history["heads"].as_array().unwrap().len(), 2);
    assert_eq!(history["heads"][0]["revision"], 2);
}

#[test]
fn conflicting_publication_reports_the_newer_revision() {
    let keeper = Keeper::start("overtaken");
    assert_eq!(
        keeper.publish(&example("kente"), &["--expect", "0"]).code,
        EXIT_SUCCESS
    );
    let second = keeper.publish(&example("maltgrain"), &["--expect", "0"]);
    assert_eq!(second.code, EXIT_FAILURE);
    assert_eq!(second.json()["outcome"], "conflict");
    assert_eq!(second.json()["head"]["revision"], 1);
    assert!(
        second.errors.contains("another revision is newer than 0"),
        "{}",
        second.errors
    );
    let shown = keeper.ggt(&["show", "--json"]).json();
    assert_eq!(shown["head"]["revision"], 1);
}

#[test]
fn faulty_configuration_is_never_sent() {
    let keeper = Keeper::start("faulty_publish");
    let dir = changed_example(
        "zero_rate",
        "deployment.json",
        "\"model_loads_per_s\": 1.0",
        "\"model_loads_per_s\": 0.0",
    );
    let refused = keeper.publish(&dir, &[]);
    assert_eq!(refused.code, EXIT_FAILURE);
    assert_eq!(refused.json()["faults"][0]["field"], "model_loads_per_s");
    assert!(
        keeper.ggt(&["history", "--json"]).json()["heads"]
            .as_array()
            .unwrap()
            .is_empty()
    );
}

#[test]
fn wrong_key_and_absent_keeper_are_refused() {
    let keeper = Keeper::start("wrong_key");
    let wrong = scratch_dir("wrong_key_file").join("key");
    fs::write(&wrong, "another key than the keeper's").unwrap();
    let run = ggt(&[
        "status",
        "--keeper",
        &keeper.address,
        "--key-file",
        &wrong.to_string_lossy(),
    ]);
    assert_eq!(run.code, EXIT_FAILURE);
    assert!(run.errors.contains("login refused"), "{}", run.errors);
    assert!(!run.errors.contains("another key"));
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let absent = ggt(&[
        "status",
        "--keeper",
        &closed.to_string(),
        "--key-file",
        &keeper.key_file,
    ]);
    assert_eq!(absent.code, EXIT_FAILURE);
}

#[test]
fn status_audit_and_drain_succeed() {
    let keeper = Keeper::start("status");
    let status = keeper.ggt(&["status", "--json"]);
    assert_eq!(status.code, EXIT_SUCCESS, "{}", status.errors);
    assert!(status.json().is_object());
    assert_eq!(
        keeper.ggt(&["audit", "--json"]).json()["records"],
        Value::Array(Vec::new())
    );
    assert_eq!(keeper.ggt(&["drain"]).results, "draining\n");
}

#[test]
fn publication_during_an_outage_is_refused() {
    let keeper = Keeper::start("outage");
    assert_eq!(keeper.publish(&example("kente"), &[]).code, EXIT_SUCCESS);
    keeper.store.set_faults(KvFaults::DOWN);
    let refused = keeper.publish(&example("kente"), &[]);
    assert_eq!(refused.code, EXIT_FAILURE);
    assert!(
        refused.errors.contains("cannot be reached"),
        "{}",
        refused.errors
    );
    assert_eq!(
        keeper.ggt(&["show", "--json"]).json()["head"]["revision"],
        1
    );
}

/// The keeper checks a configuration even if the client did not.
#[test]
fn keeper_rejects_a_configuration_that_the_client_did_not_check() {
    let keeper = Keeper::start("unchecked");
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let publishing = async {
        let key = SharedKey::new(KEY).into();
        let address = keeper.address.parse().unwrap();
        let client = OperatorClient::connect(address, &key).await.unwrap();
        let mut catalog = check_parsed(&read_config_dir(&example("kente")).unwrap()).unwrap();
        catalog.deployment.model_loads_per_s = 0.0;
        catalog.runners.clear();
        let publication = OperatorPublication {
            catalog,
            publish_id: PublishId::random(),
            author: "ama".to_owned(),
            message: "unchecked".to_owned(),
            expected: Revision(0),
        };
        client.publish(&publication).await
    };
    let outcome = LocalSet::new().block_on(&runtime, publishing);
    let Err(CliError::Refused(faults)) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(
        faults
            .iter()
            .any(|fault| fault.contains("model_loads_per_s: must be above zero"))
    );
    assert!(
        faults
            .iter()
            .any(|fault| fault.contains("no allowed runner has"))
    );
    let history = keeper.ggt(&["history", "--json"]).json();
    assert!(history["heads"].as_array().unwrap().is_empty());
}

/// The record of an older revision is kept longer than its objects.
#[test]
fn objects_of_old_revisions_are_deleted_before_their_records() {
    let keeper = Keeper::start("old_revisions");
    for expected in 0..SNAPSHOTS_KEPT_MAX + 2 {
        let weight = format!("\"move_weight\": {expected}.5");
        let file = "deployment.json";
        let dir = changed_example("old_revision", file, "\"move_weight\": 20.0", &weight);
        assert_eq!(keeper.publish(&dir, &[]).code, EXIT_SUCCESS);
    }
    let first = keeper.ggt(&["show", "--revision", "1", "--json"]).json();
    assert_eq!(
        (&first["head"]["revision"], &first["objects"]),
        (&1.into(), &Value::Null)
    );
    let kept = keeper.ggt(&["show", "--revision", "4", "--json"]).json();
    assert_eq!(kept["objects"][0]["move_weight"], 3.5);
}

#[test]
fn heads_are_formatted_as_text() {
    let head = Head {
        revision: Revision(7),
        digest: Digest::of(b""),
        publish_id: PublishId(10),
        author: "ama".to_owned(),
        message: "Captions get a second copy".to_owned(),
        published_at_ms: 1_796_331_600_250,
    };
    assert_eq!(
        describe_head(&head),
        "revision 7  2026-12-03T21:00:00.25Z  by ama  publish id \
         0000000000000000000000000000000a\n    Captions get a second copy"
    );
}
