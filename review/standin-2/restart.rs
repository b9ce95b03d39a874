//! An order that got no answer is sent again and accepted; the runner restarts under its id, and the
//! first one is carried out late.

use {
    super::{
        http::{self, Head, read_body, read_chunk, read_head, response},
        json::Json,
        nodes::Nodes,
        record::Record,
        store::Store,
    },
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The room for weights of a runner.
const WEIGHTS_MB: u64 = 100_000;
/// How long a load takes: from the runner's own disk, and from the weight store.
const LOADS: (Duration, Duration) = (Duration::from_millis(780), Duration::from_millis(1_200));
/// How long the runner is down (the site file: `for_s = 2.0` and more).
const DOWN: Duration = Duration::from_secs(1);
/// When an order without an answer may be carried out (`fleetbench kinds`: 2 to 12 s later).
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));
/// The models without a copy at the start, and those of the other runners, with their sizes.
const MODELS: [(&str, u64); 8] = [
    ("m1", 34_300),
    ("m3", 34_300),
    ("m4", 72_700),
    ("m5", 72_700),
    ("m6", 72_700),
    ("m7", 72_700),
    ("m8", 72_700),
    ("m9", 72_700),
];

fn weight(model: &str) -> u64 {
    let found = MODELS.iter().find(|(name, _)| *name == model);
    found.map_or(0, |(_, mb)| *mb)
}

#[derive(Default)]
struct State {
    is_down: bool,
    born: u128,
    sequence: u64,
    fence: u64,
    models: Vec<String>,
    loading: Option<String>,
    /// The order that got no answer, and when it arrived.
    unanswered: Option<(Json, String, Instant)>,
    /// Whether the same order was accepted when it was sent again.
    is_repeated: bool,
    orders: usize,
    broken: u64,
}

struct Runner {
    id: String,
    address: SocketAddr,
    /// Whether the runner leaves its second load without an answer.
    is_late: bool,
    state: Mutex<State>,
    writes: AtomicU64,
    record: Record,
}

fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

impl Runner {
    fn start(id: &str, models: &[&str], is_late: bool, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a listener has an address"),
            is_late,
            state: Mutex::new(State {
                born: now_ms(),
                models: models.iter().map(ToString::to_string).collect(),
                ..State::default()
            }),
            writes: AtomicU64::new(0),
            record: record.clone(),
        });
        let state = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = state.clone();
                thread::spawn(move || {
                    let _ = runner.serve(stream);
                });
            }
        });
        runner
    }

    fn models(state: &State) -> String {
        let models = state.models.iter();
        let models = models.map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#));
        models.collect::<Vec<_>>().join(",")
    }

    fn write_entry(&self, store: &Store) {
        let state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        let (models, address, born) = (Self::models(&state), self.address, state.born);
        drop(state);
        let writes = self.writes.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"z0","version":"v1","slots":32,"state":"ready","coldRemainingMs":0,"stage":"unified","models":[{models}],"atHand":{{"inMemory":[],"onDisk":["m1","m3"]}},"sequence":{writes},"born":{born}}}"#
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let born = self.state.lock().unwrap().born;
        loop {
            let head = read_head(&mut reader)?;
            let body = read_body(&mut reader, &head)?;
            let state = self.state.lock().unwrap();
            // The connections of a process that ended are gone.
            if state.is_down || state.born != born {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            drop(state);
            let expected = head.header("greengagetrail-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let other = format!("Greengagetrail-Instance-Id: {}\r\n", self.id);
                http::send(&mut writer, &response(421, &other, ""))?;
                continue;
            }
            match head.word(1) {
                "/v1/report" => {
                    let state = self.state.lock().unwrap();
                    let (models, busy) = (Self::models(&state), state.loading.is_some());
                    let (sequence, born) = (state.sequence, state.born);
                    drop(state);
                    let report = format!(
                        r#"{{"stage":"unified","models":[{models}],"busy":{busy},"sequence":{sequence},"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"coming":[],"born":{born}}}"#
                    );
                    self.record.line(&format!("{} reports sequence {sequence}, busy {busy}", self.id));
                    let json = "Content-Type: application/json\r\n";
                    http::send(&mut writer, &response(200, json, &report))?;
                }
                "/v1/order" => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let order = Json::parse(&text);
                    let is_load = order.get("operation").text() == "load";
                    let mut state = self.state.lock().unwrap();
                    state.orders += 1;
                    let is_second = is_load && state.sequence == 1 && state.loading.is_none();
                    if self.is_late && is_second && state.unanswered.is_none() {
                        self.record.line(&format!("{} leaves without an answer {text}", self.id));
                        state.unanswered = Some((order, text, Instant::now()));
                        drop(state);
                        thread::sleep(LATE.1);
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                    drop(state);
                    let status = self.order(&order, &text);
                    let mut state = self.state.lock().unwrap();
                    let first = state.unanswered.as_ref();
                    state.is_repeated |= status == 202
                        && first.is_some_and(|(first, ..)| first.get("model") == order.get("model"));
                    drop(state);
                    http::send(&mut writer, &response(status, "", ""))?;
                }
                _ => self.generate(&head, &mut writer)?,
            }
        }
    }

    /// Carries out an order and returns the status.
    fn order(self: &Arc<Self>, order: &Json, text: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        let model = order.get("model").text().to_owned();
        let token = order.get("fencingToken").number().unwrap_or(0);
        let expected = order.get("precondition").number();
        let holds = state.models.contains(&model);
        let is_load = order.get("operation").text() == "load";
        let status = if token < state.fence {
            412
        } else if state.loading.is_some() || expected.is_some_and(|count| count != state.sequence) {
            409
        } else if is_load == holds {
            200
        } else {
            202
        };
        self.record.line(&format!("{} gets {text}: {status}", self.id));
        state.fence = state.fence.max(token);
        if status != 202 {
            return status;
        }
        state.sequence += 1;
        if !is_load {
            state.models.retain(|known| *known != model);
            return status;
        }
        let held: u64 = state.models.iter().map(|name| weight(name)).sum();
        if held + weight(&model) > WEIGHTS_MB {
            state.broken += 1;
            self.record.line(&format!(
                "BROKEN: {} holds {:?}, {held} of {WEIGHTS_MB} MB, and is ordered to load {model}, {} MB; it crashes",
                self.id, state.models, weight(&model)
            ));
        }
        state.loading = Some(model.clone());
        let (runner, born) = (self.clone(), state.born);
        thread::spawn(move || {
            thread::sleep(if model == "m4" { LOADS.1 } else { LOADS.0 });
            let mut state = runner.state.lock().unwrap();
            if state.born == born {
                state.loading = None;
                state.models.push(model);
            }
        });
        status
    }

    fn generate(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        let id = head.header("greengagetrail-request-id").unwrap_or("").to_owned();
        let model = head.header("greengagetrail-model").unwrap_or("");
        if !self.state.lock().unwrap().models.iter().any(|known| known == model) {
            let headers = format!("Greengagetrail-Request-Id: {id}\r\n");
            return http::send(writer, &response(421, &headers, ""));
        }
        self.record.line(&format!("{} runs {id} with {model}", self.id));
        let start = format!(
            "HTTP/1.1 200 OK\r\nGreengagetrail-Request-Id: {id}\r\nGreengagetrail-Server-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(start.as_bytes())?;
        for event in 1..=3 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: token\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x52_0000);

fn ask(node: SocketAddr, model: &str, record: &Record) -> io::Result<u16> {
    let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    let mut writer = TcpStream::connect(node)?;
    writer.set_read_timeout(Some(Duration::from_secs(4)))?;
    let request = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: h.example\r\nGreengagetrail-Request-Id: {id}\r\nGreengagetrail-Model: {model}\r\nGreengagetrail-Token-Usage: 100,3\r\nGreengagetrail-Prompt-Prefix: 5c1e:60,{id}:40\r\nGreengagetrail-Request-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\ntext"
    );
    writer.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(writer);
    let head = read_head(&mut reader)?;
    let status = head.word(1).parse().unwrap_or(0);
    if status == 200 {
        while !read_chunk(&mut reader)?.is_empty() {}
    }
    record.line(&format!("caller: {id} for {model}: {status}"));
    Ok(status)
}

fn config() -> String {
    let models = MODELS.map(|(name, mb)| {
        format!(
            r#"{{"name":"{name}","weightsMb":{mb}.0,"loadS":1.2,"warmS":0.6,"diskS":0.78,"adapters":0,"adapterMb":12.0}}"#
        )
    });
    format!(
        r#"{{"version":7,"routes":[{{"name":"r1","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":1,"service":"llm","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapTargetMs":250}}],"services":[{{"name":"llm","healthPath":"/healthz","maxConnections":230,"protocol":"h1","tls":false,"engine":{{"slots":32,"kvCapacityTokens":122968,"weightsMb":{WEIGHTS_MB}.0,"adapterSlots":8,"loadsPerS":2.5,"models":[{}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}}}"#,
        models.join(",")
    )
}

/// Runs the scenario; returns how often the rule was broken.
pub fn run(record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::start();
    store.put("op/config", &config());
    let names = ["m5", "m6", "m7", "m8", "m9"];
    let mut runners: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(at, model)| Runner::start(&format!("i-0000000{at}"), &[*model], false, record))
        .collect();
    runners.iter().for_each(|runner| runner.write_entry(&store));
    let runner = Runner::start("i-00000009", &[], trouble, record);
    runner.write_entry(&store);
    runners.push(runner.clone());
    let mut nodes = Nodes::start(3, store.address, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let wanted = Arc::new(Mutex::new(""));
    // The models of the other runners are in use, so that they stay there.
    for (at, model) in names.into_iter().chain(["", "", ""]).enumerate() {
        let node = nodes.callers[at % nodes.callers.len()];
        let (stop, wanted, record) = (stop.clone(), wanted.clone(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let model = match model {
                    "" => *wanted.lock().unwrap(),
                    model => model,
                };
                if !model.is_empty() {
                    let _ = ask(node, model, &record);
                }
                thread::sleep(Duration::from_millis(30));
            }
        });
    }
    // Each runner writes its entry every 0.3 s, as its content may have changed.
    {
        let (store, stop, runners) = (store.clone(), stop.clone(), runners.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                runners.iter().for_each(|runner| runner.write_entry(&store));
                thread::sleep(Duration::from_millis(300));
            }
        });
    }
    let wait = |what: &str, longest: u64, is_so: &dyn Fn(&State) -> bool| {
        let until = Instant::now() + Duration::from_secs(longest);
        while Instant::now() < until {
            if is_so(&runner.state.lock().unwrap()) {
                record.line(&format!("seen: {what}"));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("not seen: {what}"))
    };
    wait("the first model is loaded", 15, &|state| state.models.len() == 1)?;
    match trouble {
        true => wait("the order is accepted when it is sent again", 15, &|state| state.is_repeated)?,
        false => wait("the second model is ordered", 15, &|state| state.sequence == 2)?,
    }
    thread::sleep(Duration::from_millis(100));
    record.line("the runner ends, and starts again under its id");
    runner.state.lock().unwrap().is_down = true;
    *wanted.lock().unwrap() = "m4";
    thread::sleep(DOWN);
    {
        let mut state = runner.state.lock().unwrap();
        (state.sequence, state.fence, state.loading) = (0, 0, None);
        state.models.clear();
        (state.born, state.is_down) = (now_ms(), false);
    }
    runner.write_entry(&store);
    let loaded = wait("another model is loaded", 10, &|state| {
        state.sequence >= 1 && state.loading.is_none()
    });
    loaded?;
    let unanswered = runner.state.lock().unwrap().unanswered.clone();
    if let Some((order, text, arrived_at)) = unanswered {
        thread::sleep((arrived_at + LATE.0).saturating_duration_since(Instant::now()));
        if arrived_at.elapsed() > LATE.1 {
            return Err("it is too late to carry out the order".to_owned());
        }
        let after_s = arrived_at.elapsed().as_secs_f64();
        record.line(&format!("{} carries out, {after_s:.1} s late, {text}", runner.id));
        runner.order(&order, &text);
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    let orders = runner.state.lock().unwrap().orders;
    record.line(&format!("{orders} orders, {} of them late", usize::from(trouble)));
    if nodes.ended() > 0 {
        return Err("a node has ended".to_owned());
    }
    let broken = runners.iter().map(|runner| runner.state.lock().unwrap().broken);
    Ok(broken.sum())
}
