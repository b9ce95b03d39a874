//! Load generator: schedules are reproducible by seed, invalid responses are detected, and the counts
//! of a report are consistent.

use {
    greengagetrail::{
        load::{
            Arrival, InvalidResponse, LoadReport, LoadSettings, MoveCounts, Popularity, Schedule,
            StreamVerifier, plot_svg, run_compare, run_open_loop, verify_response,
        },
        settings::Settings,
        standin::{
            ReferenceText,
            engine::{EngineFaults, EngineSettings, StandinEngine, parse_event_id},
            serve,
            weights::{WeightLimits, WeightSource, WeightStore},
        },
        telemetry::parse_stat,
    },
    rand::{SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

fn settings(changes: Value) -> LoadSettings {
    let mut object = json!({
        "entries": ["127.0.0.1:1"], "names": ["a", "b", "c"], "rate_per_s": 100.0,
        "duration_s": 20.0, "seed": 7,
        "classes": [
            {"name": "phone", "share": 3.0, "kind": "stream", "first_token_target_ms": 10_000},
            {"name": "late", "share": 1.0, "kind": "whole", "first_token_target_ms": 10_000}
        ]
    });
    for (name, value) in changes.as_object().unwrap() {
        object[name] = value.clone();
    }
    LoadSettings::from_object(object.as_object().unwrap()).unwrap()
}

fn arrivals(settings: &LoadSettings) -> Vec<Arrival> {
    Schedule::new(settings).collect()
}

#[test]
fn a_schedule_repeats_with_its_seed_and_differs_without() {
    let first = arrivals(&settings(json!({})));
    assert_eq!(first, arrivals(&settings(json!({}))));
    assert_ne!(first, arrivals(&settings(json!({"seed": 8}))));
    assert!(first.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn rates_follow_shifts_and_bursts() {
    let steady = arrivals(&settings(json!({}))).len();
    let shift = json!({"shifts": [{"at_s": 10.0, "rate_factor": 10.0, "ranks_moved": 1}]});
    let shifted = arrivals(&settings(shift));
    let (before, after): (Vec<_>, Vec<_>) = shifted
        .iter()
        .partition(|arrival| arrival.at < Duration::from_secs(10));
    assert!(after.len() > 5 * before.len());
    let most = |arrivals: &[&Arrival], name| arrivals.iter().filter(|a| a.name == name).count();
    assert!(most(&before, "a") > most(&before, "b"));
    assert!(most(&after, "b") > most(&after, "a"));
    let bursts = json!({"burst_factor": 10.0, "burst_gap_s": 1.0});
    assert!(arrivals(&settings(bursts)).len() > 2 * steady);
}

#[test]
fn popularity_falls_with_the_rank() {
    let popularity = Popularity::new(100, 1.0);
    let mut random = SmallRng::seed_from_u64(3);
    let mut counts = [0; 100];
    for _ in 0..10_000 {
        counts[popularity.draw(&mut random)] += 1;
    }
    assert!(counts[0] > 5 * counts[9]);
    assert!(counts[9] > counts[90]);
}

fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n")
}

#[test]
fn a_stream_with_unexpected_repeated_or_missing_text_is_rejected() {
    let expected = ReferenceText::new("a", "barley");
    let (one, two) = (event(&expected.text(0..1)), event(&expected.text(1..2)));
    let end = "data: [DONE]\n\n".to_owned();
    let verify = |events: &[&String]| {
        let mut verifier = StreamVerifier::new(expected, 2);
        for chunk in events.iter().flat_map(|event| event.as_bytes().chunks(7)) {
            verifier.process_chunk(chunk)?;
        }
        verifier.finish()
    };
    assert_eq!(verify(&[&one, &two, &end]), Ok(true));
    assert_eq!(verify(&[&one, &two]), Ok(false));
    assert_eq!(verify(&[&one]), Ok(false));
    assert_eq!(verify(&[&one, &end]), Err(InvalidResponse::Truncated));
    assert_eq!(
        verify(&[&one, &one, &end]),
        Err(InvalidResponse::UnexpectedText)
    );
    assert_eq!(
        verify(&[&two, &one, &end]),
        Err(InvalidResponse::UnexpectedText)
    );
    let foreign = event(&ReferenceText::new("b", "barley").text(1..2));
    assert_eq!(
        verify(&[&one, &foreign, &end]),
        Err(InvalidResponse::UnexpectedText)
    );
    assert_eq!(verify(&[&one, &two, &two]), Err(InvalidResponse::TooLong));
    let whole = format!("{{\"choices\":[{{\"text\":\"{}\"}}]}}", expected.text(0..1));
    assert_eq!(verify_response(expected, 1, whole.as_bytes()), Ok(()));
    assert_eq!(
        verify_response(expected, 2, whole.as_bytes()),
        Err(InvalidResponse::Truncated)
    );
}

async fn start_engine() -> (StandinEngine, greengagetrail::standin::ServerGuard) {
    let weights = WeightStore::new(WeightLimits {
        model_load_ms: 0,
        model_loads_per_s: 1_000.0,
        ..WeightLimits::default()
    });
    let engine_settings = EngineSettings {
        token_us: 0,
        token_us_per_sequence: 0,
        prompt_token_us: 0,
        ..EngineSettings::default()
    };
    let engine = StandinEngine::new(engine_settings, WeightSource::Local(Arc::new(weights)));
    for model in ["a", "b", "c"] {
        engine.apply(serde_json::from_value(load_order(&engine, model)).unwrap());
    }
    while engine.read_status().models.iter().any(|model| !model.ready) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = serve(any_port, Arc::new(engine.clone())).await.unwrap();
    (engine, server)
}

fn load_order(engine: &StandinEngine, model: &str) -> Value {
    json!({
        "id": format!("{:032x}", rand::random::<u128>()), "epoch": 1,
        "incarnation": engine.read_status().incarnation,
        "action": {"action": "load_model", "model": model, "version": "1", "memory_mib": 1}
    })
}

#[tokio::test]
async fn an_open_loop_reports_every_request_and_each_invalid_response() {
    let (engine, server) = start_engine().await;
    let settings = Arc::new(settings(json!({
        "entries": [server.address()], "duration_s": 1.0, "accelerators": 2
    })));
    let sent = arrivals(&settings).len() as u64;
    let tally = run_open_loop(settings.clone()).await;
    let report = LoadReport::new(&settings, tally, MoveCounts::default());
    assert_eq!(
        (report.sent, report.answered, report.attained),
        (sent, sent, sent)
    );
    assert_eq!(report.attainment_per_accelerator, sent as f64 / 2.0);
    assert!(report.to_string().contains("first token"));
    assert!(plot_svg(&report).ends_with("</svg>\n"));
    engine.set_faults(EngineFaults {
        foreign_events: 1,
        cut_streams: 1,
        ..EngineFaults::default()
    });
    let report = LoadReport::new(
        &settings,
        run_open_loop(settings.clone()).await,
        report.moves,
    );
    assert_eq!(
        report.wrong.total() + report.failures.total() + report.answered,
        sent
    );
    assert!(report.wrong.total() + report.failures.total() >= 1);
}

#[tokio::test]
async fn a_comparison_counts_its_pairs() {
    let (_engine, server) = start_engine().await;
    let settings = settings(json!({"entries": [server.address()], "pairs": 20}));
    let comparison = run_compare(&settings, server.address()).await;
    assert_eq!((comparison.direct.count, comparison.failed), (20, 0));
}

#[test]
fn parsers_survive_any_input() {
    let stat = "12 (a ) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0";
    assert_eq!(parse_stat(stat), Some(Duration::from_secs(2)));
    bolero::check!().for_each(|input: &[u8]| {
        let text = String::from_utf8_lossy(input);
        let _ = parse_stat(&text);
        let _ = parse_event_id(&text);
        let mut verifier = StreamVerifier::new(ReferenceText::new("a", "b"), 3);
        let _ = verifier.process_chunk(input);
        let _ = verify_response(ReferenceText::new("a", "b"), 3, input);
    });
}
