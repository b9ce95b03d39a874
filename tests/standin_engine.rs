//! The stand-in engine: orders, memory, generation, and the same over HTTP with faults.

use {
    bytes::Bytes,
    greengagetrail::{
        config::Fencing,
        engine::{Action, Engine, EngineError, HttpEngine, Order, OrderReply},
        standin::{
            ReferenceText, ServerGuard,
            engine::{
                EngineFaults, EngineSettings, GenerateRefusal, GenerateRequest, StandinEngine,
            },
            serve,
            weights::{WeightLimits, WeightSource, WeightStore},
        },
        units::{Epoch, MemoryMib, OrderId, RequestId},
    },
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

const MODEL_MIB: MemoryMib = MemoryMib(400);
const PATIENCE: Duration = Duration::from_secs(15);

fn quick() -> EngineSettings {
    EngineSettings {
        memory_mib: MemoryMib(1_000),
        adapter_pool_mib: MemoryMib(100),
        token_us: 0,
        token_us_per_sequence: 0,
        prompt_token_us: 0,
        change_ms: 0,
        ..EngineSettings::default()
    }
}

fn engine(settings: EngineSettings) -> StandinEngine {
    let limits = WeightLimits {
        model_load_ms: 1,
        model_loads_per_s: 1_000.0,
        ..WeightLimits::default()
    };
    let weights = Arc::new(WeightStore::new(limits));
    StandinEngine::new(settings, WeightSource::Local(weights))
}

fn load(model: &str) -> Action {
    Action::LoadModel {
        model: model.parse().unwrap(),
        version: "1".to_owned(),
        memory_mib: MODEL_MIB,
    }
}

fn unload(model: &str) -> Action {
    Action::UnloadModel {
        model: model.parse().unwrap(),
    }
}

fn order(engine: &StandinEngine, epoch: u64, action: Action) -> Order {
    Order {
        id: OrderId::random(),
        epoch: Epoch(epoch),
        incarnation: engine.read_status().incarnation,
        action,
    }
}

fn request(name: &str, tokens: u32) -> GenerateRequest {
    GenerateRequest {
        id: RequestId::random(),
        name: name.to_owned(),
        prompt: "barley".to_owned(),
        tokens,
        skip: 0,
        priority: 1,
    }
}

async fn load_and_wait(engine: &StandinEngine, model: &str) {
    let order = order(engine, 1, load(model));
    let id = order.id;
    assert_eq!(engine.apply(order), OrderReply::Accepted);
    let done = async {
        while !engine.read_status().finished.contains(&id) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, done).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn memory_is_held_from_the_start_of_a_load_to_the_end_of_an_unload() {
    let engine = engine(quick());
    engine.apply(order(&engine, 1, load("a")));
    engine.apply(order(&engine, 1, load("b")));
    assert_eq!(engine.record().overcommits, 0);
    engine.apply(order(&engine, 1, load("c")));
    assert_eq!(engine.record().overcommits, 1);
    assert_eq!(engine.record().overcommit_worst_mib, MemoryMib(300));
    sleep(Duration::from_secs(1)).await;
    let mut running = engine.generate(request("a", 2)).unwrap();
    running.next().await.unwrap();
    engine.apply(order(&engine, 1, unload("a")));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.read_status().models.len(), 3);
    let refused = engine.generate(request("a", 2));
    assert_eq!(refused.unwrap_err(), GenerateRefusal::NotResident);
    drop(running);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.read_status().models.len(), 2);
    assert_eq!(engine.record().cancelled, 1);
}

#[tokio::test(start_paused = true)]
async fn old_fencing_numbers_are_refused_only_where_they_are_honoured() {
    for fencing in [Fencing::Honoured, Fencing::Ignored] {
        let engine = engine(EngineSettings { fencing, ..quick() });
        engine.apply(order(&engine, 5, load("a")));
        let old = engine.apply(order(&engine, 4, load("b")));
        match fencing {
            Fencing::Honoured => assert_eq!(old, OrderReply::Fenced { newest: Epoch(5) }),
            Fencing::Ignored => assert_eq!(old, OrderReply::Accepted),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_is_applied_once_and_only_at_the_start_it_is_meant_for() {
    let engine = engine(quick());
    let first = order(&engine, 1, load("a"));
    engine.apply(first.clone());
    assert_eq!(engine.apply(first.clone()), OrderReply::Accepted);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.apply(first), OrderReply::Done);
    assert_eq!(engine.record().model_loads, 1);
    let late = order(&engine, 1, load("b"));
    engine.restart();
    assert!(matches!(engine.apply(late), OrderReply::Refused { .. }));
    assert!(engine.read_status().models.is_empty());
}

#[tokio::test(start_paused = true)]
async fn lost_late_and_doubled_orders_behave_as_named() {
    let engine = engine(quick());
    engine.set_faults(EngineFaults {
        lost_orders: 1,
        late_orders: 1,
        doubled_orders: 1,
        late_ms: 500,
        ..EngineFaults::default()
    });
    let lost = engine.send(order(&engine, 1, load("a"))).await;
    assert!(matches!(lost, Err(EngineError::Unknown(_))));
    let late = engine.send(order(&engine, 1, load("b"))).await;
    assert!(matches!(late, Err(EngineError::Unknown(_))));
    assert!(engine.read_status().models.is_empty());
    sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.read_status().models.len(), 1);
    engine.send(order(&engine, 1, load("c"))).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(engine.record().orders_repeated, 1);
    assert_eq!(engine.read_status().models.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_full_batch_makes_others_wait_by_priority_and_refuses_beyond() {
    let settings = EngineSettings {
        batch_max: 1,
        waiting_max: 2,
        token_us: 1_000,
        ..quick()
    };
    let engine = engine(settings);
    load_and_wait(&engine, "a").await;
    let mut first = engine.generate(request("a", 10)).unwrap();
    first.next().await.unwrap();
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for priority in [9, 1] {
        let mut waiter = engine
            .generate(GenerateRequest {
                priority,
                ..request("a", 1)
            })
            .unwrap();
        let order = order.clone();
        tasks.push(tokio::spawn(async move {
            waiter.next().await.unwrap();
            order.lock().unwrap().push(priority);
        }));
        sleep(Duration::from_micros(10)).await;
    }
    assert_eq!(engine.load().waiting, 2);
    let refused = engine.generate(request("a", 1));
    assert_eq!(refused.unwrap_err(), GenerateRefusal::Busy);
    drop(first);
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(*order.lock().unwrap(), [1, 9]);
    assert_eq!(engine.load().running, 0);
}

#[tokio::test(start_paused = true)]
async fn a_shared_prefix_is_found_again_and_events_have_gaps_when_lost() {
    let engine = engine(quick());
    load_and_wait(&engine, "a").await;
    let ask = |prompt: String| GenerateRequest {
        prompt,
        ..request("a", 1)
    };
    let prefix = "p".repeat(640);
    engine
        .generate(ask(prefix.clone()))
        .unwrap()
        .next()
        .await
        .unwrap();
    assert_eq!(engine.record().prompt_tokens_cached, 0);
    engine.set_faults(EngineFaults {
        lost_events: 1,
        ..EngineFaults::default()
    });
    let longer = prefix + &"q".repeat(64);
    engine.generate(ask(longer)).unwrap().next().await.unwrap();
    assert_eq!(engine.record().prompt_tokens_cached, 160);
    engine
        .generate(ask("r".repeat(64)))
        .unwrap()
        .next()
        .await
        .unwrap();
    let numbers: Vec<u64> = engine
        .read_events(0)
        .iter()
        .map(|event| event.sequence)
        .collect();
    assert_eq!(numbers, [1, 3]);
}

type HttpClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

async fn start() -> (StandinEngine, ServerGuard, HttpClient) {
    let engine = engine(quick());
    load_and_wait(&engine, "a").await;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = serve(any_port, Arc::new(engine.clone())).await.unwrap();
    (
        engine,
        server,
        Client::builder(TokioExecutor::new()).build_http(),
    )
}

async fn complete(
    client: &HttpClient,
    address: SocketAddr,
    stream: bool,
    last_event: Option<String>,
) -> Response<Incoming> {
    let body = format!(r#"{{"model":"a","prompt":"barley","max_tokens":4,"stream":{stream}}}"#);
    let mut request = Request::post(format!("http://{address}/v1/completions"))
        .header("x-request-id", format!("{:032x}", 7));
    if let Some(id) = last_event {
        request = request.header("last-event-id", id);
    }
    let request = request.body(Full::from(body)).unwrap();
    client.request(request).await.unwrap()
}

async fn text_of(response: Response<Incoming>) -> String {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.into()).unwrap()
}

fn event_texts(body: &str) -> String {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter(|data| *data != "[DONE]");
    let text = |data| serde_json::from_str::<serde_json::Value>(data).unwrap();
    let texts = events.map(|data| {
        text(data)["choices"][0]["text"]
            .as_str()
            .unwrap()
            .to_owned()
    });
    texts.collect()
}

#[tokio::test]
async fn a_stream_carries_offsets_and_goes_on_where_a_caller_left_it() {
    let (engine, server, client) = start().await;
    let expected = ReferenceText::new("a", "barley");
    let response = complete(&client, server.address(), true, None).await;
    assert_eq!(response.headers()["x-resumable"], "yes");
    assert!(response.headers().contains_key("x-engine-load"));
    let whole = text_of(response).await;
    assert!(expected.matches(0..4, &event_texts(&whole)), "{whole}");
    assert!(whole.ends_with("data: [DONE]\n\n"));
    let id = format!("{:032x}:2", 7);
    assert!(whole.contains(&format!("id: {id}\n")));
    let rest = text_of(complete(&client, server.address(), true, Some(id)).await).await;
    assert!(expected.matches(2..4, &event_texts(&rest)), "{rest}");
    let answer = text_of(complete(&client, server.address(), false, None).await).await;
    assert!(answer.contains(&expected.text(0..4)), "{answer}");
    assert_eq!(engine.record().runs_of(RequestId(7)), 2);
    assert_eq!(engine.record().resumed, 1);
}

#[tokio::test]
async fn faulty_streams_break_off_or_carry_what_they_should_not() {
    let (engine, server, client) = start().await;
    let faults = EngineFaults {
        fault_after_tokens: 2,
        ..EngineFaults::default()
    };
    let expected = ReferenceText::new("a", "barley");
    engine.set_faults(EngineFaults {
        cut_streams: 1,
        ..faults
    });
    let response = complete(&client, server.address(), true, None).await;
    assert!(response.into_body().collect().await.is_err());
    let all = [
        EngineFaults {
            foreign_events: 1,
            ..faults
        },
        EngineFaults {
            doubled_events: 1,
            ..faults
        },
        EngineFaults {
            swapped_events: 1,
            ..faults
        },
    ];
    for faults in all {
        engine.set_faults(faults);
        let body = text_of(complete(&client, server.address(), true, None).await).await;
        assert!(!expected.matches(0..4, &event_texts(&body)), "{faults:?}");
        let whole = text_of(complete(&client, server.address(), true, None).await).await;
        assert!(expected.matches(0..4, &event_texts(&whole)), "{faults:?}");
    }
    engine.set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let refused = complete(&client, server.address(), true, None).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["x-request-ran"], "no");
    assert_eq!(refused.headers()["x-engine-leaving"], "yes");
}

#[tokio::test]
async fn a_closed_connection_cancels_its_request() {
    let (engine, server, client) = start().await;
    engine.set_faults(EngineFaults {
        silent_streams: 1,
        fault_after_tokens: 1,
        ..EngineFaults::default()
    });
    let response = complete(&client, server.address(), true, None).await;
    drop(response);
    let cancelled = async {
        while engine.record().cancelled == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, cancelled).await.unwrap();
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn the_client_tells_orders_that_never_left_from_those_in_doubt() {
    let (engine, server, _) = start().await;
    let wait = Duration::from_secs(1);
    let client = HttpEngine::new(server.address(), wait);
    assert_eq!(client.status().await.unwrap(), engine.read_status());
    let reply = client.send(order(&engine, 1, load("b"))).await;
    assert_eq!(reply, Ok(OrderReply::Accepted));
    engine.set_faults(EngineFaults {
        lost_order_answers: 1,
        ..EngineFaults::default()
    });
    let lost = client.send(order(&engine, 1, unload("b"))).await;
    assert!(matches!(lost, Err(EngineError::Unknown(_))));
    engine.set_faults(EngineFaults {
        silent: true,
        ..EngineFaults::default()
    });
    let silent = client.status().await;
    assert!(matches!(silent, Err(EngineError::Unknown(_))));
    drop(server);
    let gone = async {
        loop {
            if let Err(EngineError::Unreachable(_)) = client.status().await {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, gone).await.unwrap();
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let (_engine, server, client) = start().await;
    text_of(complete(&client, server.address(), false, None).await).await;
    server.connection_switch().silence();
    let pooled = complete(&client, server.address(), false, None);
    assert!(timeout(Duration::from_millis(300), pooled).await.is_err());
    let fresh: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let answer = timeout(PATIENCE, complete(&fresh, server.address(), false, None)).await;
    assert_eq!(answer.unwrap().status(), 200);
}
