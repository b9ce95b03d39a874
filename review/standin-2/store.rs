//! A stand-in for the platform's store, without faults.

use {
    super::{
        http::{self, read_body, read_head},
        json::{Json, base64},
    },
    std::{
        collections::BTreeMap,
        io::{self, BufReader},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key, and the event.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, u64)>,
    revision: u64,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.events.push((self.revision, key.to_owned(), show(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.events.push((revision, key.to_owned(), event));
        }
    }

    fn end(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| is_known && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"createRevision":{created},"lease":{lease}}}"#
    )
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Self {
            state: Mutex::new(State { revision: 100, last_lease: 1000, ..State::default() }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("a listener has an address"),
        });
        http::serve(listener, store.clone(), Self::exchange);
        store
    }

    /// Writes a key as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    fn exchange(
        &self,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        let head = read_head(reader)?;
        let body = read_body(reader, &head)?;
        let body = Json::parse(&String::from_utf8_lossy(&body));
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let (status, answer) = self.call(path, query, &body);
        self.changed.notify_all();
        let json = "Content-Type: application/json\r\n";
        http::send(writer, &http::response(status, json, &answer))
    }

    fn call(&self, path: &str, query: &str, body: &Json) -> (u16, String) {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or("", |(_, value)| value)
        };
        let mut state = self.state.lock().unwrap();
        state.expire();
        let as_of = state.revision;
        match path {
            "/v1/kv-key" => match state.items.get(field("key")) {
                Some(item) => {
                    let text = show(field("key"), item);
                    (200, format!(r#"{},"asOf":{as_of}}}"#, &text[..text.len() - 1]))
                }
                None => (404, format!(r#"{{"asOf":{as_of}}}"#)),
            },
            "/v1/kv-range" => {
                let (prefix, after) = (field("pathPrefix"), field("after"));
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let items: Vec<String> = found.map(|(key, item)| show(key, item)).collect();
                let items = items.join(",");
                (200, format!(r#"{{"items":[{items}],"morePages":false,"asOf":{as_of}}}"#))
            }
            "/v1/kv-watch" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = field("waitMs").parse().unwrap_or(1);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = state.events.iter();
                    let events = events.filter(|(revision, key, _)| {
                        *revision > after && key.starts_with(field("pathPrefix"))
                    });
                    let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), state.revision);
                        return (200, format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#));
                    }
                    let wait = left.min(Duration::from_millis(100));
                    state = self.changed.wait_timeout(state, wait).unwrap().0;
                    state.expire();
                }
            }
            "/v1/kv-txn" => {
                let rows = body.get("precondition").list();
                let differs = |row: &&Json| {
                    let present = state.items.get(row.get("key").text());
                    present.map_or(0, |item| item.revision) != row.get("revision").number().unwrap_or(0)
                };
                if rows.iter().any(|row| differs(&row)) {
                    let keys = rows.iter().map(|row| row.get("key").text());
                    let items = keys.filter_map(|key| Some(show(key, state.items.get(key)?)));
                    let items: Vec<String> = items.collect();
                    return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
                }
                let lease = |put: &Json| put.get("lease").number().unwrap_or(0);
                let puts = body.get("puts").list();
                if puts.iter().any(|put| lease(put) > 0 && !state.leases.contains_key(&lease(put))) {
                    return (404, "{}".to_owned());
                }
                state.revision += 1;
                for put in puts {
                    state.put(put.get("key").text(), put.get("value").text(), lease(put));
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                (200, format!(r#"{{"revision":{}}}"#, state.revision))
            }
            "/v1/kv-lease" => {
                let ttl = body.get("ttlMs").number().unwrap_or(0).max(1000);
                state.last_lease += 1;
                let (lease, until) = (state.last_lease, Instant::now() + Duration::from_millis(ttl));
                state.leases.insert(lease, (until, ttl));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            path => {
                let lease: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if path.starts_with("/v1/kv-lease-end/") {
                    let is_known = state.end(lease);
                    return (if is_known { 200 } else { 404 }, "{}".to_owned());
                }
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) if path.starts_with("/v1/kv-keep/") => {
                        *until = Instant::now() + Duration::from_millis(*ttl);
                        (200, format!(r#"{{"ttlMs":{ttl}}}"#))
                    }
                    _ => (404, "{}".to_owned()),
                }
            }
        }
    }
}
