//! A runner sends an answer a second time, late, and is then ordered to load more than it holds.

use {
    super::{
        http::{self, Head, read_body, read_chunk, read_head, response},
        json::Json,
        nodes::Nodes,
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeMap,
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

/// The places for adapters of a runner.
const ADAPTER_SLOTS: usize = 2;
/// How long a runner may send answers twice (the site file: `for_s = 5.0`).
const GARBLE: Duration = Duration::from_secs(5);
/// The most answers in a hundred that it may send twice (the site file: `x = 0.03`).
const GARBLED_PERCENT: usize = 3;
/// How long an adapter takes to load.
const LOAD: Duration = Duration::from_millis(12);
/// How long rounds are begun, so that the run ends well before 120 s.
const ROUNDS_MAX: Duration = Duration::from_secs(40);
/// The pause between two events of a stream.
const EVENT: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    sequence: u64,
    fence: u64,
    adapters: Vec<String>,
    coming: Vec<String>,
    /// The adapters whose unload waits for the end of their runs.
    leaving: Vec<String>,
    in_use: BTreeMap<String, usize>,
    /// The end of the time in which answers may be sent twice.
    garble_until: Option<Instant>,
    answers_since: usize,
    extras: usize,
    broken: u64,
    /// Whether the runner has crashed, as it was ordered to load more than it holds.
    has_crashed: bool,
}

/// A model runner with one model.
struct Runner {
    id: &'static str,
    model: &'static str,
    born: u128,
    address: SocketAddr,
    state: Mutex<State>,
    writes: AtomicU64,
    record: Record,
}

impl Runner {
    fn start(
        id: &'static str,
        model: &'static str,
        adapters: &[&str],
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Arc::new(Self {
            id,
            model,
            born: born.as_millis(),
            address: listener.local_addr().expect("a listener has an address"),
            state: Mutex::new(State {
                adapters: adapters.iter().map(ToString::to_string).collect(),
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

    fn models(&self, state: &State) -> String {
        let adapters: Vec<String> = state.adapters.iter().map(|name| format!("\"{name}\"")).collect();
        let (model, adapters) = (self.model, adapters.join(","));
        format!(r#"[{{"name":"{model}","version":1,"adapters":[{adapters}]}}]"#)
    }

    fn entry(&self) -> String {
        let state = self.state.lock().unwrap();
        let (models, address, born) = (self.models(&state), self.address, self.born);
        let writes = self.writes.fetch_add(1, Ordering::Relaxed);
        format!(
            r#"{{"service":"llm","address":"{address}","zone":"z0","version":"v1","slots":32,"state":"ready","coldRemainingMs":0,"stage":"unified","models":{models},"sequence":{writes},"born":{born}}}"#
        )
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let coming: Vec<String> = state
            .coming
            .iter()
            .map(|name| format!("\"{}/{name}@1\"", self.model))
            .collect();
        let (models, born, sequence) = (self.models(&state), self.born, state.sequence);
        let running: usize = state.in_use.values().sum();
        format!(
            r#"{{"stage":"unified","models":{models},"busy":false,"sequence":{sequence},"queued":0,"running":{running},"kvUsed":0,"kvTotal":90000,"handles":0,"coming":[{}],"born":{born}}}"#,
            coming.join(",")
        )
    }

    /// Serves one connection; `previous` is the last answer on it, if that was a 200.
    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut previous: Option<Vec<u8>> = None;
        loop {
            let head = read_head(&mut reader)?;
            let body = read_body(&mut reader, &head)?;
            let path = head.word(1).to_owned();
            if self.state.lock().unwrap().has_crashed {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if head.header("greengagetrail-expect-instance") != Some(self.id) {
                let other = format!("Greengagetrail-Instance-Id: {}\r\n", self.id);
                http::send(&mut writer, &response(421, &other, ""))?;
                previous = None;
                continue;
            }
            self.state.lock().unwrap().answers_since += 1;
            match path.as_str() {
                "/v1/report" => {
                    let answer = response(200, "Content-Type: application/json\r\n", &self.report());
                    self.record.line(&format!("{} answers a report", self.id));
                    http::send(&mut writer, &answer)?;
                    previous = Some(answer);
                }
                "/v1/order" => {
                    let order = String::from_utf8_lossy(&body).into_owned();
                    let (status, waits) = self.order(&Json::parse(&order));
                    if let Some(extra) = previous.take().filter(|_| waits && self.may_send_twice()) {
                        self.record.line(&format!("{} sends its last answer again, late", self.id));
                        http::send(&mut writer, &extra)?;
                    }
                    self.record.line(&format!("{} gets {order}: {status}", self.id));
                    let answer = response(status, "", "");
                    http::send(&mut writer, &answer)?;
                    previous = Some(answer).filter(|_| status == 200);
                }
                _ => {
                    self.generate(&head, &mut writer)?;
                    previous = None;
                }
            }
        }
    }

    /// Returns whether one more answer may be sent twice, and counts it.
    fn may_send_twice(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_due = state.garble_until.is_some_and(|until| Instant::now() < until);
        let may = is_due && (state.extras + 1) * 100 <= state.answers_since * GARBLED_PERCENT;
        state.extras += usize::from(may);
        may
    }

    /// Carries out an order; returns the status, and whether an unload waits for runs to end.
    fn order(self: &Arc<Self>, order: &Json) -> (u16, bool) {
        let mut state = self.state.lock().unwrap();
        let (model, adapter) = (order.get("model").text(), order.get("adapter").text().to_owned());
        let token = order.get("fencingToken").number().unwrap_or(0);
        if token < state.fence {
            return (412, false);
        }
        state.fence = token;
        if order.get("precondition").number().is_some_and(|expected| expected != state.sequence) {
            return (409, false);
        }
        if model != self.model || adapter.is_empty() {
            // This runner has room for its one model only, and keeps it.
            return (400, false);
        }
        let holds = state.adapters.contains(&adapter);
        if order.get("operation").text() == "unload" {
            if !holds {
                return (200, false);
            }
            state.sequence += 1;
            if state.in_use.get(&adapter).is_some_and(|runs| *runs > 0) {
                state.leaving.push(adapter);
                return (202, true);
            }
            state.adapters.retain(|known| *known != adapter);
            return (200, false);
        }
        if holds || state.coming.contains(&adapter) {
            return (200, false);
        }
        state.sequence += 1;
        if state.adapters.len() + state.coming.len() >= ADAPTER_SLOTS {
            state.broken += 1;
            state.has_crashed = true;
            let lost: usize = state.in_use.values().sum();
            self.record.line(&format!(
                "BROKEN: {} holds {:?} and {:?} in {ADAPTER_SLOTS} places and is ordered to load {adapter}; it crashes under {lost} runs",
                self.id, state.adapters, state.coming
            ));
        }
        state.coming.push(adapter.clone());
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD);
            let mut state = runner.state.lock().unwrap();
            state.coming.retain(|known| *known != adapter);
            state.adapters.push(adapter);
        });
        (202, false)
    }

    /// Runs a request to its end, also if its connection closes meanwhile.
    fn generate(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        let id = head.header("greengagetrail-request-id").unwrap_or("").to_owned();
        let named = head.header("greengagetrail-model").unwrap_or("");
        let (model, adapter) = named.split_once('/').unwrap_or((named, ""));
        let usage = head.header("greengagetrail-token-usage").unwrap_or("");
        let events: u64 = usage.split(',').nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
        {
            let mut state = self.state.lock().unwrap();
            let holds = state.adapters.iter().any(|known| known == adapter);
            let leaves = state.leaving.iter().any(|known| known == adapter);
            if model != self.model || !holds || leaves {
                drop(state);
                let headers = format!("Greengagetrail-Request-Id: {id}\r\n");
                return http::send(writer, &response(421, &headers, ""));
            }
            *state.in_use.entry(adapter.to_owned()).or_default() += 1;
        }
        self.record.line(&format!("{} runs {id} with {adapter}", self.id));
        let start = format!(
            "HTTP/1.1 200 OK\r\nGreengagetrail-Request-Id: {id}\r\nGreengagetrail-Server-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut sent = writer.write_all(start.as_bytes());
        for event in 1..=events {
            thread::sleep(EVENT);
            if self.state.lock().unwrap().has_crashed {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            sent = sent.and_then(|()| writer.write_all(chunk.as_bytes()));
        }
        sent = sent.and_then(|()| writer.write_all(b"0\r\n\r\n"));
        let mut state = self.state.lock().unwrap();
        let runs = state.in_use.entry(adapter.to_owned()).or_default();
        *runs -= 1;
        if *runs == 0 && state.leaving.iter().any(|known| known == adapter) {
            state.leaving.retain(|known| known != adapter);
            state.adapters.retain(|known| known != adapter);
        }
        drop(state);
        self.record.line(&format!("{} ends {id}", self.id));
        sent
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x51_0000);

/// Sends a request for an adapter; the caller leaves after `leave_after` events, if given.
fn ask(
    node: SocketAddr,
    adapter: &str,
    events: usize,
    leave_after: Option<usize>,
    record: &Record,
) -> io::Result<u16> {
    let id = format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    let mut writer = TcpStream::connect(node)?;
    writer.set_read_timeout(Some(Duration::from_secs(9)))?;
    let request = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: h.example\r\nGreengagetrail-Request-Id: {id}\r\nGreengagetrail-Model: m1/{adapter}\r\nGreengagetrail-Token-Usage: 100,{events}\r\nGreengagetrail-Prompt-Prefix: 5c1e:60,{id}:40\r\nGreengagetrail-Request-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\ntext"
    );
    writer.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(writer);
    let head = read_head(&mut reader)?;
    let status = head.word(1).parse().unwrap_or(0);
    if status != 200 {
        record.line(&format!("caller: {id} for {adapter}: {status}"));
        return Ok(status);
    }
    let mut seen = 0;
    loop {
        if leave_after.is_some_and(|most| seen >= most) {
            record.line(&format!("caller: {id} for {adapter}: left after {seen} events"));
            return Ok(status);
        }
        if read_chunk(&mut reader)?.is_empty() {
            record.line(&format!("caller: {id} for {adapter}: {status}, complete"));
            return Ok(status);
        }
        seen += 1;
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r1","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":800,"priority":1,"service":"llm","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"llm","healthPath":"/healthz","maxConnections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kvCapacityTokens":122968,"weightsMb":70000.0,"adapterSlots":2,"loadsPerS":2.5,"models":[{"name":"m1","weightsMb":60000.0,"loadS":1.2,"adapters":4,"adapterMb":12.0},{"name":"m2","weightsMb":60000.0,"loadS":1.2,"adapters":4,"adapterMb":12.0}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

/// Runs the scenario; returns how often the rule was broken.
pub fn run(record: &Record, trouble: bool) -> Result<u64, String> {
    let store = Store::start();
    store.put("op/config", CONFIG);
    // One of the two runners is faulty (the site file: `share = 0.6`).
    let runners = [
        Runner::start("i-00000001", "m1", &["a1", "a2"], record),
        Runner::start("i-00000002", "m2", &["a1", "a2"], record),
    ];
    let stop = Arc::new(AtomicBool::new(false));
    for runner in runners.clone() {
        let (store, stop) = (store.clone(), stop.clone());
        store.put(&format!("servers/{}", runner.id), &runner.entry());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1200));
                store.put(&format!("servers/{}", runner.id), &runner.entry());
            }
        });
    }
    let mut nodes = Nodes::start(3, store.address, record)?;
    let runner = runners[0].clone();
    thread::sleep(Duration::from_secs(3));
    let begin = Instant::now();
    for round in 0..12 {
        if begin.elapsed() > ROUNDS_MAX {
            break;
        }
        let loaded = runner.state.lock().unwrap().adapters.clone();
        let [left, kept] = loaded.as_slice() else {
            thread::sleep(Duration::from_secs(2));
            continue;
        };
        let names = ["a1", "a2", "a3", "a4"];
        let wanted = names.into_iter().find(|name| !loaded.iter().any(|known| known == name));
        let wanted = wanted.unwrap_or("a3");
        record.line(&format!("round {round}: {left} is left by its caller, {kept} is kept in use, {wanted} is wanted"));
        let node = |at: usize| nodes.callers[at % nodes.callers.len()];
        if trouble {
            let mut state = runner.state.lock().unwrap();
            (state.answers_since, state.extras) = (0, 0);
            state.garble_until = Some(Instant::now() + GARBLE);
        }
        // The caller of a long answer leaves; this runner goes on with it for some seconds.
        let _ = ask(node(round), left, 300, Some(2), record);
        let until = Instant::now() + Duration::from_millis(1_500);
        let mut tasks = Vec::new();
        let mut at = 0;
        while Instant::now() < until {
            for _ in 0..2 {
                at += 1;
                let (node, kept, record) = (node(at), kept.clone(), record.clone());
                tasks.push(thread::spawn(move || ask(node, &kept, 3, None, &record)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        let (to, quiet) = (node(round + 1), record.clone());
        tasks.push(thread::spawn(move || ask(to, wanted, 3, None, &quiet)));
        for task in tasks {
            let _ = task.join();
        }
        thread::sleep(Duration::from_millis(500));
        let state = runner.state.lock().unwrap();
        record.line(&format!(
            "round {round}: {} answers since the begin of the trouble, {} of them sent twice",
            state.answers_since, state.extras
        ));
        if state.broken > 0 {
            break;
        }
        drop(state);
        thread::sleep(Duration::from_millis(5_000));
    }
    stop.store(true, Ordering::Relaxed);
    if nodes.ended() > 0 {
        return Err("a node has ended".to_owned());
    }
    let broken = runners.iter().map(|runner| runner.state.lock().unwrap().broken);
    Ok(broken.sum())
}
