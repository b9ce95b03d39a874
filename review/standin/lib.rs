//! Stand-ins of the platform's store, runners, clients and links, and the start of nodes.
//!
//! Standard library only; each case includes this file as a module. All addresses are loopback.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in the order of its time.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    is_quiet: bool,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default(), is_quiet: false }
    }
    /// A record that keeps nothing.
    pub fn quiet() -> Self {
        Self { is_quiet: true, ..Self::new() }
    }
    pub fn add(&self, text: impl AsRef<str>) {
        if self.is_quiet {
            return;
        }
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        eprintln!("{line}");
        self.lines.lock().unwrap().push(line);
    }
    pub fn write(&self, path: &str) {
        let _ = fs::write(path, self.lines.lock().unwrap().join("\n") + "\n");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        Parser { bytes: text.as_bytes(), at: 0 }.value()
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(rows) => rows.iter().find(|row| row.0 == key).map(|row| &row.1),
            _ => None,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }
    fn next(&mut self) -> Option<u8> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(byte)
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                loop {
                    self.space();
                    match *self.bytes.get(self.at)? {
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Map(rows));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let Json::Text(key) = self.value()? else { return None };
                            self.space();
                            if self.next()? != b':' {
                                return None;
                            }
                            rows.push((key, self.value()?));
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut rows = Vec::new();
                loop {
                    self.space();
                    match *self.bytes.get(self.at)? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(rows));
                        }
                        b',' => self.at += 1,
                        _ => rows.push(self.value()?),
                    }
                }
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    match self.next()? {
                        b'"' => return Some(Json::Text(String::from_utf8(text).ok()?)),
                        b'\\' => match self.next()? {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = self.bytes.get(self.at..self.at + 4)?;
                                self.at += 4;
                                let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                                let mut buffer = [0; 4];
                                let character = char::from_u32(code).unwrap_or('?');
                                text.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                            }
                            other => text.push(other),
                        },
                        byte => text.push(byte),
                    }
                }
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[from..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == byte).unwrap_or(0) as u32;
        word = word << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|row| row.0.eq_ignore_ascii_case(name));
    found.next().map(|row| row.1.as_str())
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, more)) = rest.split_first() {
        rest = more;
        if *first == b'%' && more.len() >= 2 {
            let hex = std::str::from_utf8(&more[..2]).unwrap_or("3f");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            rest = &more[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Returns the body and whether it is whole.
fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], to_end: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return (body, true);
            }
        }
    }
    if let Some(length) = header(headers, "content-length").and_then(|value| value.parse().ok()) {
        body.resize(length, 0);
        let whole = reader.read_exact(&mut body).is_ok();
        return (body, whole);
    }
    if to_end {
        let whole = reader.read_to_end(&mut body).is_ok();
        return (body, whole);
    }
    (body, true)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), decode(value))).collect();
    let (body, whole) = read_body(reader, &headers, false);
    let request = Request { method, path: path.to_owned(), query, headers, body };
    whole.then_some(request)
}

pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves connections until the end of the process; `serve` returns whether the connection stays open.
pub fn serve<F>(listener: TcpListener, serve: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !serve(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// An answer as a client sees it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub whole: bool,
}

/// Sends one request on a new connection and waits for the answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_read_timeout(Some(wait));
    let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    if stream.write_all(text.as_bytes()).is_err() || stream.write_all(body).is_err() {
        return Answer::default();
    }
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let Some((first, headers)) = read_head(reader) else { return Answer::default() };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let (body, whole) = read_body(reader, &headers, true);
    Answer { status, headers, body, whole }
}

pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(cause) => cause.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct StoreState {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, (u64, Instant)>,
    last_lease: i64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: i64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        true
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let over: Vec<i64> = over.map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }
}

/// How one listener of the store answers: which link it stands for.
pub type View = Arc<dyn Fn(&str, &[u8]) -> Vec<u8> + Send + Sync>;

/// The platform's store.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Calls are neither run nor answered, and their connections return nothing further.
    pub silent: AtomicBool,
}

fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            expiring.state.lock().unwrap().expire();
            expiring.changed.notify_all();
        });
        store
    }

    /// Writes a key as the operator or a runner does; returns the new revision.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        state.revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Serves the store's calls at an address.
    pub fn serve(self: &Arc<Self>, listener: TcpListener, view: View) {
        let store = self.clone();
        serve(listener, move |request, stream| {
            if store.silent.load(Ordering::SeqCst) {
                return store.hold(stream);
            }
            let Some((status, body)) = store.answer(request, &view, stream) else { return false };
            if store.silent.load(Ordering::SeqCst) {
                return store.hold(stream);
            }
            write_answer(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
        });
    }

    /// Holds a connection without an answer until its other end closes it.
    fn hold(&self, stream: &TcpStream) -> bool {
        while !is_closed(stream) {
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn item(key: &str, item: &Item, view: &View) -> String {
        let value = base64(&view(key, &item.value));
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{},\"createRevision\":{},\"lease\":{}}}",
            quote(key), item.revision, item.created, item.lease
        )
    }

    fn answer(&self, request: &Request, view: &View, stream: &TcpStream) -> Option<(u16, String)> {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let id = || request.path.rsplit('/').next().and_then(|id| id.parse::<i64>().ok()).unwrap_or(0);
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let path = request.path.as_str();
        let mut state = self.state.lock().unwrap();
        state.expire();
        let answer = match path {
            "/v1/kv-key" => {
                let key = query("key");
                let as_of = state.revision;
                match state.items.get(&key) {
                    Some(item) => {
                        let text = Self::item(&key, item, view);
                        (200, format!("{},\"asOf\":{as_of}}}", text.trim_end_matches('}')))
                    }
                    None => (404, format!("{{\"asOf\":{as_of}}}")),
                }
            }
            "/v1/kv-range" => {
                let (prefix, after) = (query("pathPrefix"), query("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| Self::item(key, item, view)).collect();
                let as_of = state.revision;
                (200, format!("{{\"items\":[{}],\"morePages\":false,\"asOf\":{as_of}}}", items.join(",")))
            }
            "/v1/kv-watch" => {
                let (prefix, after) = (query("pathPrefix"), query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let found = state.events.iter();
                    let found = found.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = found
                        .map(|(at, key, item)| match item {
                            Some(item) => Self::item(key, item, view),
                            None => format!("{{\"key\":{},\"revision\":{at},\"deleted\":true}}", quote(key)),
                        })
                        .collect();
                    let as_of = state.revision;
                    if !events.is_empty() || Instant::now() >= until {
                        break (200, format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(",")));
                    }
                    state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
                    if is_closed(stream) {
                        return None;
                    }
                }
            }
            "/v1/kv-txn" => {
                let none = Json::List(Vec::new());
                let rows = body.get("precondition").unwrap_or(&none).list();
                let key = |row: &Json| row.get("key").map_or(String::new(), |key| key.text().to_owned());
                let holds = |row: &Json| {
                    let wanted = row.get("revision").map_or(0.0, Json::number) as i64;
                    state.items.get(&key(row)).map_or(0, |item| item.revision) == wanted
                };
                if !rows.iter().all(holds) {
                    let found = rows.iter().filter_map(|row| Some((key(row), state.items.get(&key(row))?)));
                    let items: Vec<String> = found.map(|(key, item)| Self::item(&key, item, view)).collect();
                    return Some((412, format!("{{\"items\":[{}]}}", items.join(","))));
                }
                let puts = body.get("puts").unwrap_or(&none).list();
                let lease = |row: &Json| row.get("lease").map_or(0, |lease| lease.number() as i64);
                if puts.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
                    return Some((404, "{}".to_owned()));
                }
                state.revision += 1;
                for row in puts {
                    let value = unbase64(row.get("value").map_or("", Json::text));
                    state.put(&key(row), value, lease(row));
                }
                for row in body.get("remove").unwrap_or(&none).list() {
                    state.remove(row.text());
                }
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "/v1/kv-lease" => {
                let ttl_ms = body.get("ttlMs").map_or(3000.0, Json::number) as u64;
                state.last_lease += 1;
                let lease = 77_000 + state.last_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl_ms, until));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            _ if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&id()) {
                Some((ttl_ms, until)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl_ms);
                    (200, format!("{{\"ttlMs\":{ttl_ms}}}"))
                }
                None => (404, "{}".to_owned()),
            },
            _ if path.starts_with("/v1/kv-lease-end/") => match state.end_lease(id()) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }
}

// ---------------------------------------------------------------- links

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// The signals that cases send, with their numbers on Linux (x86-64 and arm64).
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Term = 15,
    Continue = 18,
    Stop = 19,
}

fn send_signal(process: u32, signal: Signal) {
    // SAFETY: the process is one that this one started and did not wait for yet.
    unsafe { kill(process as i32, signal as i32) };
}

/// The path from one node to one runner, which can be cut silently.
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    listener: TcpListener,
    fillers: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn new(ip: Ipv4Addr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let cut = Arc::<AtomicBool>::default();
        let link = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            cut: cut.clone(),
            listener: listener.try_clone().expect("a listener"),
            fillers: Mutex::default(),
        });
        thread::spawn(move || loop {
            if cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((near, _)) => {
                    let _ = near.set_nonblocking(false);
                    let Ok(far) = TcpStream::connect(target) else { continue };
                    let pairs = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
                    for (from, to) in pairs {
                        let (Ok(from), Ok(to)) = (from, to) else { continue };
                        let cut = cut.clone();
                        thread::spawn(move || pump(from, to, &cut));
                    }
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        });
        link
    }

    /// From now on nothing passes, and connections are neither accepted nor refused.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        // SAFETY: the descriptor is that of an open listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..8 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(60)) {
                Ok(filler) => fillers.push(filler),
                Err(_) => break,
            }
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.fillers.lock().unwrap().clear();
        // SAFETY: the descriptor is that of an open listening socket.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16384];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        while cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

// ---------------------------------------------------------------- runners

/// A run of a request at a runner.
#[derive(Debug, Clone)]
pub struct Run {
    pub runner: String,
    pub request_id: String,
    pub path: String,
    pub began: Instant,
}

/// The runners' own view: what they ran.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.request_id == request_id).cloned().collect()
    }
}

/// A runner of a plain service: it works for a time on each request and answers with its signature.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub state: Mutex<&'static str>,
    writes: AtomicU64,
    born: u64,
}

impl Runner {
    /// Starts a runner that works as long as `work` says for a path; it drops a request whose
    /// connection closes.
    pub fn start(
        id: &str, service: &str, zone: &str, runs: Runs, record: Record,
        work: impl Fn(&str) -> Duration + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            state: Mutex::new("ready"),
            writes: AtomicU64::new(0),
            born: 1_790_000_000_123,
        });
        let own = runner.clone();
        serve(listener, move |request, stream| {
            let id = own.id.as_str();
            if request.path == "/healthz" {
                let ready = *own.state.lock().unwrap() == "ready";
                return write_answer(stream, if ready { 200 } else { 503 }, &[("Greengagetrail-Instance-Id", id)], b"");
            }
            let Some(request_id) = request.header("greengagetrail-request-id") else {
                return write_answer(stream, 400, &[("Greengagetrail-Not-Executed", "1")], b"");
            };
            if request.header("greengagetrail-expect-instance").is_some_and(|expected| expected != id) {
                let headers = [("Greengagetrail-Request-Id", request_id), ("Greengagetrail-Instance-Id", id)];
                return write_answer(stream, 421, &headers, b"");
            }
            runs.0.lock().unwrap().push(Run {
                runner: id.to_owned(),
                request_id: request_id.to_owned(),
                path: request.path.clone(),
                began: Instant::now(),
            });
            record.add(format!("runner {id} begins to run {request_id} ({} {})", request.method, request.path));
            let until = Instant::now() + work(&request.path);
            while Instant::now() < until {
                thread::sleep((until - Instant::now()).min(Duration::from_millis(20)));
                if is_closed(stream) {
                    record.add(format!("runner {id}: the connection of {request_id} closed during its run"));
                    return false;
                }
            }
            let body = format!("result of {request_id} at {id}");
            let headers = [
                ("Greengagetrail-Request-Id", request_id),
                ("Greengagetrail-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            record.add(format!("runner {id} has run {request_id}"));
            write_answer(stream, 200, &headers, body.as_bytes())
        });
        runner
    }

    /// Starts a runner that answers each request with a stream, of as many events as `events` says
    /// for a path, one each 100 ms; it drops a request whose connection closes.
    pub fn start_streaming(
        id: &str, service: &str, zone: &str, record: Record,
        events: impl Fn(&str) -> u32 + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            state: Mutex::new("ready"),
            writes: AtomicU64::new(0),
            born: 1_790_000_000_123,
        });
        let id = runner.id.clone();
        serve(listener, move |request, stream| {
            if request.path == "/healthz" {
                return write_answer(stream, 200, &[("Greengagetrail-Instance-Id", &id)], b"");
            }
            let Some(request_id) = request.header("greengagetrail-request-id") else {
                return write_answer(stream, 400, &[("Greengagetrail-Not-Executed", "1")], b"");
            };
            if request.header("greengagetrail-expect-instance").is_some_and(|expected| expected != id) {
                let headers = [("Greengagetrail-Request-Id", request_id), ("Greengagetrail-Instance-Id", &id)];
                return write_answer(stream, 421, &headers, b"");
            }
            record.add(format!("runner {id} begins to run {request_id} ({} {})", request.method, request.path));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nGreengagetrail-Request-Id: {request_id}\r\n\
                 Greengagetrail-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut whole = stream.write_all(head.as_bytes()).is_ok();
            for event in 1..=events(&request.path) {
                thread::sleep(Duration::from_millis(100));
                let text = format!("id: {event}\ndata: x\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                whole = whole && !is_closed(stream) && stream.write_all(chunk.as_bytes()).is_ok();
                if !whole {
                    break;
                }
            }
            whole = whole && stream.write_all(b"0\r\n\r\n").is_ok();
            record.add(format!("runner {id} ends {request_id}, whole {whole}"));
            whole
        });
        runner
    }

    /// Writes the runner's entry.
    pub fn register(&self, store: &Store) {
        let writes = self.writes.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.state.lock().unwrap();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{writes},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

/// Lets runners write their entries every 1,200 ms until the end of the process, as long as the
/// store is not silent.
pub fn heartbeats(runners: Vec<Arc<Runner>>, store: Arc<Store>) {
    runners.iter().for_each(|runner| runner.register(&store));
    for (at, runner) in runners.into_iter().enumerate() {
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(170 * at as u64 % 1200));
            loop {
                thread::sleep(Duration::from_millis(1200));
                if *runner.state.lock().unwrap() == "gone" {
                    return;
                }
                if !store.silent.load(Ordering::SeqCst) {
                    runner.register(&store);
                }
            }
        });
    }
}

// ---------------------------------------------------------------- nodes

/// The ports that all machines have, free on each of their addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    metrics: u16,
    gossip: u16,
}

impl Ports {
    pub fn find(ips: &[Ipv4Addr]) -> Self {
        let free = |udp: bool| {
            for _ in 0..200 {
                let port = match udp {
                    true => UdpSocket::bind((ips[0], 0)).ok().and_then(|s| s.local_addr().ok()),
                    false => TcpListener::bind((ips[0], 0)).ok().and_then(|s| s.local_addr().ok()),
                };
                let Some(port) = port.map(|address| address.port()) else { continue };
                let is_free = |ip: &Ipv4Addr| match udp {
                    true => UdpSocket::bind((*ip, port)).is_ok(),
                    false => TcpListener::bind((*ip, port)).is_ok(),
                };
                if ips.iter().all(is_free) {
                    return port;
                }
            }
            panic!("no free port");
        };
        Self { front: free(false), ready: free(false), control: free(false), metrics: free(false), gossip: free(true) }
    }
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the nodes that were started and not dropped.
pub fn end_processes() {
    for id in STARTED.lock().unwrap().iter() {
        send_signal(*id, Signal::Kill);
    }
}

/// A process of `ggt-node`, killed when it is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub child: Child,
}

impl Node {
    /// Starts a node with the settings of `deploy/settings.json.template`.
    pub fn start(dir: &PathBuf, name: &str, zone: &str, ip: Ipv4Addr, ports: Ports, seeds: &[Ipv4Addr], store: SocketAddr) -> Self {
        let at = |port: u16| SocketAddr::from((ip, port));
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{}\"", ports.control)).collect();
        let text = format!(
            r#"{{"node":"{name}","data_centre":"{zone}","ip":"{ip}","threads":1,"callers_address":"{}",
"ready_address":"{}","control_address":"{}","seed_addresses":[{}],"metrics_port":{},"gossip_port":{},
"link_mbps":1000.0,"store_address":"{store}","store_history_s":20,"descriptors_max":4100,
"bounds":{{"drain_ms":2000,"grace_s":8,"config_apply_ms":2000,"retry_budget_ratio":0.2,"budget_window_s":10,
"retry_budget_slack":54,"lease_ms":3000,"thaw_slack_ms":300,"fencing_enforced":true,"ceiling_window_s":5,
"contact_ms":3000,"lease_min_ms":1000}}}}"#,
            at(ports.front), at(ports.ready), at(ports.control), seeds.join(","), ports.metrics, ports.gossip
        );
        let file = dir.join(format!("{name}.json"));
        fs::write(&file, text).expect("the settings are written");
        let log = fs::File::create(dir.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("target/release/ggt-node")
            .env("GREENGAGETRAIL_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("ggt-node starts");
        STARTED.lock().unwrap().push(child.id());
        Self { name: name.to_owned(), front: at(ports.front), ready: at(ports.ready), control: at(ports.control), child }
    }

    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal);
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n", b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > Duration::from_secs(15) {
                could_not_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// Ends the process with 2; the nodes end with the shell script that started it.
pub fn could_not_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    panic!("{cause}");
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
