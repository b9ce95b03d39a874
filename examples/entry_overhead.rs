//! Measures what an entry adds to a call, and what it carries for each second of processor time.
//!
//! Engine, entry and callers share this process, on threads of their own; the processor time is
//! that of the entry's threads alone.

use {
    bytes::Bytes,
    futures::stream,
    greengagetrail::{
        config::{Catalog, Object},
        engine::ModelResident,
        entry::{Entry, EntryParts, EntrySettings, EntryView, forward_link},
        fleet::RunnerState,
        http::{Body, Client, ListenerLimits, Readiness, serve_http},
        settings::Settings,
        standin::kv::MemoryStore,
        units::{Epoch, Incarnation},
    },
    hdrhistogram::Histogram,
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

const TOKENS: u64 = 256;
const TICKS_PER_S: f64 = 100.0;
const ENTRY_THREADS: usize = 2;
const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 32 * 1024,
    head_timeout: Duration::from_secs(60),
    write_timeout: Duration::from_secs(60),
    connections_max: 10_000,
    stop_max: Duration::from_secs(1),
};

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

/// Answers at once: with a short text, or with a stream of an event for each token.
async fn answer(request: Request<Incoming>) -> Response<Body> {
    let id = request.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let streamed = body.ends_with(b"\"stream\":true}");
    if !streamed {
        return Response::new(Body::from(
            "{\"choices\":[{\"text\":\"short\"}]}".to_owned(),
        ));
    }
    let events = stream::unfold(1, move |offset| {
        let id = id.clone();
        async move {
            tokio::task::yield_now().await;
            let event = match offset {
                _ if offset > TOKENS + 1 => return None,
                _ if offset > TOKENS => "data: [DONE]\n\n".to_owned(),
                _ => event(&id, offset),
            };
            Some((Ok(Bytes::from(event)), offset + 1))
        }
    });
    let mut response = Response::new(Body::Stream(Box::pin(events)));
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    headers.insert("x-resumable", "yes".parse().unwrap());
    response
}

fn event(id: &str, offset: u64) -> String {
    let finish = if offset == TOKENS { "\"stop\"" } else { "null" };
    format!(
        "id: {id}:{offset}\ndata: {{\"id\":\"cmpl-{id}\",\"object\":\"text_completion\",\
         \"created\":0,\"model\":\"lots\",\"choices\":[{{\"index\":0,\"text\":\" barley\",\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
}

async fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_http(
        listener,
        LIMITS,
        CancellationToken::new(),
        answer,
    ));
    address
}

fn view(engine: SocketAddr) -> EntryView {
    let objects = [
        json!({"kind": "data_centre", "name": "north", "region": "plains"}),
        json!({"kind": "model", "name": "lots", "version": "1", "memory_mib": 10}),
        json!({"kind": "runner", "name": "r-1", "address": engine, "data_centre": "north",
            "accelerators": 8, "memory_mib": 100, "adapter_pool_mib": 10,
            "fencing": "honoured", "order_lateness_max_ms": 1000}),
    ];
    let objects = objects.map(|object| serde_json::from_value::<Object>(object).unwrap());
    let resident = ModelResident {
        model: "lots".parse().unwrap(),
        version: "1".to_owned(),
        ready: true,
    };
    let state = RunnerState {
        name: "r-1".parse().unwrap(),
        epoch: Epoch(1),
        incarnation: Incarnation(1),
        leaving: false,
        reachable: true,
        models: vec![resident],
        adapters: Vec::new(),
    };
    EntryView {
        catalog: Arc::new(Catalog::from_objects(objects)),
        runners: vec![state],
        ..EntryView::default()
    }
}

async fn start_entry(engine: SocketAddr) -> SocketAddr {
    let settings = json!({
        "vm": "vm-1", "data_centre": "north", "callers_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0",
        "keeper_address": "127.0.0.1:1", "store_addresses": ["127.0.0.1:1"],
        "peer_key": "0123456789abcdef"
    });
    let settings = EntrySettings::from_object(settings.as_object().unwrap()).unwrap();
    let (views, receiver) = watch::channel(Arc::new(view(engine)));
    let (forwarder, _calls) = forward_link();
    let parts = EntryParts {
        views: receiver,
        store: Arc::new(MemoryStore::new()),
        forwarder: Arc::new(forwarder),
    };
    let entry = Entry::new(settings, parts);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(async move {
        entry.serve(listener, Readiness::default(), stop).await;
        drop(views);
    });
    address
}

async fn call(client: &Client, address: SocketAddr, stream: bool) {
    let body = format!("{{\"model\":\"lots\",\"prompt\":\"x\",\"stream\":{stream}}}");
    let request = Request::post("/v1/completions")
        .header("host", "bench")
        .header("x-request-id", "000102030405060708090a0b0c0d0e0f")
        .body(Body::from(body))
        .unwrap();
    let exchange = client.send(address, request).await.unwrap();
    assert!(
        exchange.response.status().is_success(),
        "{:?}",
        exchange.response
    );
    let body = exchange.response.into_body().collect().await.unwrap();
    assert!(!body.to_bytes().is_empty());
    exchange.connection.recycle();
}

/// Calls the engine directly and through the entry by turns.
async fn measure_latency(engine: SocketAddr, entry: SocketAddr, calls: usize) {
    let client = Client::new(Duration::from_secs(5));
    let new = || Histogram::<u64>::new(3).unwrap();
    let (mut direct, mut through) = (new(), new());
    for number in 0..calls {
        for (address, histogram) in [(engine, &mut direct), (entry, &mut through)] {
            let started = Instant::now();
            call(&client, address, false).await;
            if number > calls / 10 {
                histogram
                    .record(started.elapsed().as_micros() as u64)
                    .unwrap();
            }
        }
    }
    for (name, quantile) in [("median", 0.5), ("99th", 0.99)] {
        let (direct, through) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        let ratio = through as f64 / direct as f64;
        println!("{name}: direct {direct} us, through the entry {through} us, ratio {ratio:.2}");
    }
}

async fn measure_throughput(entry: SocketAddr, callers: usize, stream: bool, lasts: Duration) {
    let client = Client::new(Duration::from_secs(5));
    let done = Arc::new(AtomicU64::new(0));
    let cpu_before = entry_cpu_s();
    let started = Instant::now();
    let calling = (0..callers).map(|_| {
        let (client, done) = (client.clone(), done.clone());
        tokio::spawn(async move {
            while started.elapsed() < lasts {
                call(&client, entry, stream).await;
                done.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    for caller in futures::future::join_all(calling).await {
        caller.unwrap();
    }
    let wall_s = started.elapsed().as_secs_f64();
    let cpu_s = entry_cpu_s() - cpu_before;
    let calls = done.load(Ordering::Relaxed) as f64;
    let tokens = if stream { calls * TOKENS as f64 } else { 0.0 };
    println!(
        "{callers} callers, stream {stream}: {:.0} requests/s, {:.0} tokens/s; entry used {:.2} \
         cores; for each core {:.0} requests/s, {:.0} tokens/s",
        calls / wall_s,
        tokens / wall_s,
        cpu_s / wall_s,
        calls / cpu_s,
        tokens / cpu_s,
    );
}

/// Returns the processor time of the entry's threads so far.
fn entry_cpu_s() -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let ticks = tasks.filter_map(|task| {
        let stat = std::fs::read_to_string(task.ok()?.path().join("stat")).ok()?;
        let (name, fields) = stat.split_once('(')?.1.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
        let ticks = fields[11].parse::<f64>().ok()? + fields[12].parse::<f64>().ok()?;
        name.starts_with("entry").then_some(ticks)
    });
    ticks.sum::<f64>() / TICKS_PER_S
}

fn main() {
    let engines = runtime("engine", 3);
    let entries = runtime("entry", ENTRY_THREADS);
    let callers = runtime("caller", 3);
    let engine = engines.block_on(start_engine());
    let entry = entries.block_on(start_entry(engine));
    callers.block_on(async {
        measure_latency(engine, entry, 20_000).await;
        measure_throughput(entry, 64, false, Duration::from_secs(5)).await;
        measure_throughput(entry, 64, true, Duration::from_secs(5)).await;
    });
}
