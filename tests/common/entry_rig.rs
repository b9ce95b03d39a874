//! An entry with fake backend servers, an in-memory store and an HTTP client of a caller.

#![allow(dead_code)]

use {
    super::fake_backend::FakeBackend,
    bytes::Bytes,
    futures::future::BoxFuture,
    greengagetrail::{
        config::{Catalog, Digest, Head, Object},
        engine::ModelResident,
        entry::{
            Entry, EntryParts, EntrySettings, EntryView, ForwardError, ForwardedCall,
            ForwardedReply, Forwarder, forward_link, spawn_forward_link,
        },
        fleet::RunnerState,
        http::{Body, Client, Readiness},
        membership::Member,
        peer::SharedKey,
        settings::Settings,
        standin::kv::MemoryStore,
        units::{Epoch, Incarnation, PublishId, Revision},
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, StatusCode, header::HeaderMap},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, Weak},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
    tokio_util::sync::CancellationToken,
};

/// The name of a VM and its entry.
type NamedEntry = (String, Weak<Entry>);

/// The entries that a test has started, by VM name; forwards calls among them in process.
#[derive(Debug, Clone, Default)]
pub struct Cluster {
    entries: Arc<Mutex<Vec<NamedEntry>>>,
}

impl Forwarder for Cluster {
    fn forward<'a>(
        &'a self,
        member: &'a Member,
        call: ForwardedCall,
    ) -> BoxFuture<'a, Result<ForwardedReply, ForwardError>> {
        let entries = self.entries.lock().unwrap();
        let found = entries.iter().find(|(vm, _)| *vm == member.vm.as_str());
        let entry = found.and_then(|(_, entry)| entry.upgrade());
        Box::pin(async move {
            let entry = entry.ok_or_else(|| ForwardError("the entry was removed".to_owned()))?;
            Ok(entry.handle_forwarded(call).await)
        })
    }
}

impl Cluster {
    pub fn remove(&self, vm: &str) {
        self.entries
            .lock()
            .unwrap()
            .retain(|(found, _)| found != vm);
    }
}

/// The configuration and environment that an entry is started with.
pub struct RigBuilder {
    pub vm: &'static str,
    pub objects: Vec<Value>,
    pub runners: Vec<RunnerState>,
    pub members: Vec<&'static str>,
    pub settings: Value,
    pub store: MemoryStore,
    pub cluster: Cluster,
    /// The peer addresses of the entries of `members`.
    pub entry_addresses: Vec<SocketAddr>,
    /// The listener for other entries; if set, calls are forwarded over real connections.
    pub peers: Option<std::net::TcpListener>,
}

impl RigBuilder {
    pub fn new() -> Self {
        Self {
            vm: "vm-1",
            objects: vec![
                json!({"kind": "data_centre", "name": "north", "region": "plains"}),
                json!({"kind": "model", "name": "lots", "version": "1", "memory_mib": 10}),
                json!({"kind": "adapter", "name": "lots-short", "model": "lots", "memory_mib": 1}),
                json!({"kind": "service", "name": "phone", "target": {"type": "models",
                    "priority": 1, "first_token_target_ms": 2000, "between_tokens_target_ms": 200}}),
            ],
            runners: Vec::new(),
            members: Vec::new(),
            settings: json!({}),
            store: MemoryStore::new(),
            cluster: Cluster::default(),
            entry_addresses: Vec::new(),
            peers: None,
        }
    }

    /// Adds a runner that has loaded the model and its adapter.
    pub fn engine(mut self, name: &str, engine: &FakeBackend) -> Self {
        self.objects.push(
            json!({"kind": "runner", "name": name, "address": engine.address,
            "data_centre": "north", "accelerators": 1, "memory_mib": 100, "adapter_pool_mib": 10,
            "fencing": "honoured", "order_lateness_max_ms": 1000}),
        );
        self.runners.push(runner_state(name, 1));
        self
    }

    /// Adds a plain service.
    pub fn service(mut self, name: &str, backends: &[&FakeBackend], timeout_ms: u64) -> Self {
        let backends: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(index, backend)| {
                json!({"name": format!("{name}-{index}"), "address": backend.address,
                    "data_centre": "north"})
            })
            .collect();
        self.objects.push(
            json!({"kind": "service", "name": name, "target": {"type": "plain",
            "backends": backends, "idempotent_methods": ["GET"], "timeout_ms": timeout_ms}}),
        );
        self
    }

    pub fn set(mut self, field: &str, value: Value) -> Self {
        self.settings[field] = value;
        self
    }

    pub fn view(&self) -> EntryView {
        let objects: Vec<Object> = self
            .objects
            .iter()
            .map(|object| serde_json::from_value(object.clone()).unwrap())
            .collect();
        EntryView {
            head: Some(head()),
            catalog: Arc::new(Catalog::from_objects(objects)),
            runners: self.runners.clone(),
            members: self.live_members(),
            leaving: Vec::new(),
            draining: false,
        }
    }

    fn live_members(&self) -> Vec<Member> {
        let unused = "127.0.0.1:1".parse().unwrap();
        let addresses = self.entry_addresses.iter().copied();
        let addresses = addresses.chain(std::iter::repeat(unused));
        let members = self.members.iter().zip(addresses);
        members.map(|(vm, address)| member(vm, address)).collect()
    }

    pub async fn start(self) -> Rig {
        Rig::start(self).await
    }
}

pub fn runner_state(name: &str, incarnation: u64) -> RunnerState {
    RunnerState {
        name: name.parse().unwrap(),
        epoch: Epoch(1),
        incarnation: Incarnation(incarnation),
        leaving: false,
        reachable: true,
        models: vec![ModelResident {
            model: "lots".parse().unwrap(),
            version: "1".to_owned(),
            ready: true,
        }],
        adapters: vec!["lots-short".parse().unwrap()],
    }
}

fn head() -> Head {
    Head {
        revision: Revision(1),
        digest: Digest::of(b""),
        publish_id: PublishId(1),
        author: String::new(),
        message: String::new(),
        published_at_ms: 0,
    }
}

fn member(vm: &str, entry_address: SocketAddr) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        entry_address,
        incarnation: Incarnation(1),
    }
}

fn settings(builder: &RigBuilder) -> EntrySettings {
    let mut object = json!({
        "vm": builder.vm, "data_centre": "north", "callers_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0",
        "keeper_address": "127.0.0.1:1", "store_addresses": ["127.0.0.1:1"],
        "peer_key": "0123456789abcdef", "drain_delay_ms": 50, "first_token_timeout_ms": 600,
        "between_tokens_timeout_ms": 600, "whole_answer_timeout_ms": 2000, "copy_wait_ms": 100
    });
    for (field, value) in builder.settings.as_object().unwrap() {
        object[field] = value.clone();
    }
    EntrySettings::from_object(object.as_object().unwrap()).unwrap()
}

/// A running entry.
pub struct Rig {
    pub address: SocketAddr,
    pub entry: Arc<Entry>,
    pub store: MemoryStore,
    pub views: watch::Sender<Arc<EntryView>>,
    pub readiness: Readiness,
    pub stop: CancellationToken,
    pub served: JoinHandle<bool>,
    client: Client,
}

impl Rig {
    async fn start(builder: RigBuilder) -> Self {
        let (views, receiver) = watch::channel(Arc::new(builder.view()));
        let (link, calls) = forward_link();
        let forwarder: Arc<dyn Forwarder> = match builder.peers {
            Some(_) => Arc::new(link),
            None => Arc::new(builder.cluster.clone()),
        };
        let parts = EntryParts {
            views: receiver,
            store: Arc::new(builder.store.clone()),
            forwarder,
        };
        let settings = settings(&builder);
        let key = SharedKey::new(settings.peer_key.as_bytes());
        let entry = Entry::new(settings, parts);
        if let Some(peers) = builder.peers {
            spawn_forward_link(entry.clone(), peers, key.into(), calls).unwrap();
        }
        let registered = (builder.vm.to_owned(), Arc::downgrade(&entry));
        builder.cluster.entries.lock().unwrap().push(registered);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let readiness = Readiness::default();
        let stop = CancellationToken::new();
        let serving = entry
            .clone()
            .serve(listener, readiness.clone(), stop.clone());
        Self {
            address,
            entry,
            store: builder.store,
            views,
            readiness,
            stop,
            served: tokio::spawn(serving),
            client: Client::new(Duration::from_secs(5)),
        }
    }

    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> CallerResponse {
        let mut request = Request::new(Body::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap();
        let mut map = HeaderMap::new();
        map.insert("host", "entry".parse().unwrap());
        for (name, value) in headers {
            let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).unwrap();
            map.insert(name, value.parse().unwrap());
        }
        *request.headers_mut() = map;
        let exchange = self.client.send(self.address, request).await.unwrap();
        CallerResponse::read(exchange.response).await
    }

    pub async fn get(&self, path: &str) -> CallerResponse {
        self.send(Method::GET, path, &[], String::new()).await
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> CallerResponse {
        self.send(Method::POST, path, headers, body.to_owned())
            .await
    }

    /// Requests tickets of a service.
    pub async fn mint(&self, service: &str, count: usize) -> Vec<String> {
        let path = format!("/services/{service}/.tickets?count={count}");
        let minted = self.post(&path, &[], "").await.json();
        serde_json::from_value(minted["keys"].clone()).unwrap()
    }

    /// Requests a completion from the model.
    pub async fn complete(&self, prompt: &str, tokens: u64, stream: bool) -> CallerResponse {
        let body =
            json!({"model": "lots", "prompt": prompt, "max_tokens": tokens, "stream": stream});
        self.post("/v1/completions", &[], &body.to_string()).await
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.served.abort();
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body ended as required by HTTP.
    pub is_complete: bool,
}

impl CallerResponse {
    async fn read(response: hyper::Response<hyper::body::Incoming>) -> Self {
        let (head, mut body) = response.into_parts();
        let mut read = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        Self {
            status: head.status,
            headers: head.headers,
            body: read.into(),
            is_complete,
        }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the `outcome` of a problem document.
    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or("none").to_owned()
    }

    /// Returns the text of a complete response or of all events, and whether the response or stream ended
    /// properly.
    pub fn completion(&self) -> (String, bool) {
        if !self.headers["content-type"]
            .as_bytes()
            .starts_with(b"text/event-stream")
        {
            let text = self.json()["choices"][0]["text"]
                .as_str()
                .unwrap_or("")
                .to_owned();
            return (text, self.is_complete);
        }
        let mut text = String::new();
        let mut done = false;
        for line in self.text().lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data).unwrap();
            text += event["choices"][0]["text"].as_str().unwrap_or("");
        }
        (text, done && self.is_complete)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
