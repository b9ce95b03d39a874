//! A faulty store link and a model engine with accurate memory accounting, both seeded.

use {
    super::faulty_store::{FaultyStore, TxnFaults},
    bytes::Bytes,
    futures::{FutureExt, future::BoxFuture},
    greengagetrail::{
        config::Fencing,
        engine::{
            Action, Engine, EngineError, EngineLoad, EngineRole, EngineStatus, ModelResident,
            Order, OrderReply,
        },
        fleet::RECORD_PREFIX,
        history::{CopyChange, CopyEvent, MemoryChange, MemoryEvent},
        store::{Compare, Op, SharedStore, StoreError, Txn, TxnReply},
        units::{AdapterName, Epoch, Incarnation, MemoryMib, ModelName, OrderId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

const ANSWER_TIMEOUT_MS: u64 = 2000;
const FINISHED_MAX: usize = 16;

/// A safety mechanism that a run disables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)] // each test binary disables other mechanisms
pub enum Without {
    Nothing,
    WriteAhead,
    CompareAndSwap,
    CopyCondition,
    Barrier,
    Lateness,
    VmListCheck,
    AdapterWindow,
    OrderIncarnation,
}

/// The seeded random numbers of one run.
#[derive(Debug, Clone)]
pub struct SeededRng(Arc<Mutex<SmallRng>>);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(SmallRng::seed_from_u64(seed))))
    }

    pub fn below(&self, end: u64) -> u64 {
        self.0.lock().unwrap().random_range(0..end)
    }

    pub fn percent(&self, chance: u64) -> bool {
        self.below(100) < chance
    }

    pub fn ms(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }
}

/// Blocks the calls of a VM's process while the process is frozen.
#[derive(Debug, Clone)]
pub struct FreezeGate(Arc<Mutex<(Instant, Instant)>>);

impl FreezeGate {
    pub fn new() -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new((now, now))))
    }

    pub fn freeze(&self, duration: Duration) {
        let mut span = self.0.lock().unwrap();
        let now = Instant::now();
        if span.1 <= now {
            span.0 = now;
        }
        span.1 = span.1.max(now + duration);
    }

    pub fn frozen_for(&self) -> Duration {
        let span = self.0.lock().unwrap();
        if span.1 > Instant::now() {
            span.0.elapsed()
        } else {
            Duration::ZERO
        }
    }

    pub async fn wait_until_thawed(&self) {
        loop {
            let until = self.0.lock().unwrap().1;
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
    }
}

/// The faults of one run, which all its links share.
#[derive(Clone)]
pub struct Faults {
    pub rng: SeededRng,
    pub without: Without,
    /// The percentage of orders that each of the four order faults affects.
    pub order_faults_percent: u64,
    pub process_faults: bool,
    pub store_down_until: Arc<Mutex<Instant>>,
    pub faults_until: Instant,
}

impl Faults {
    pub fn occurs(&self, chance: u64) -> bool {
        Instant::now() < self.faults_until && self.rng.percent(chance)
    }

    fn affects_orders(&self) -> bool {
        self.order_faults_percent > 0 && self.occurs(100)
    }

    async fn wait_for_timeout(&self) {
        sleep(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
    }
}

/// One VM's link to the store.
pub type StoreLink = FaultyStore<LinkFaults>;

/// The faults of a VM's transactions: those of the run, and freezes of the VM.
pub struct LinkFaults {
    pub gate: FreezeGate,
    pub faults: Faults,
}

impl LinkFaults {
    async fn faulty_txn(&self, store: &SharedStore, txn: Txn) -> Result<TxnReply, StoreError> {
        self.gate.wait_until_thawed().await;
        sleep(self.faults.rng.ms(0, 10)).await;
        self.gate.wait_until_thawed().await;
        let down = *self.faults.store_down_until.lock().unwrap() > Instant::now();
        if down && self.faults.rng.percent(50) {
            return Err(StoreError::Unreachable("down".to_owned()));
        }
        let unknown = Err(StoreError::Unknown("lost".to_owned()));
        if down || self.faults.occurs(2) {
            self.faults.wait_for_timeout().await;
            return unknown;
        }
        let txn = self.without_compare(txn);
        if self.faults.occurs(2) {
            let (store, late) = (store.clone(), self.faults.rng.ms(0, 4000));
            tokio::spawn(async move {
                sleep(late).await;
                let _ = store.txn(txn).await;
            });
            self.faults.wait_for_timeout().await;
            return unknown;
        }
        let reply = match self.skip_write_ahead(store, &txn).await {
            Some(reply) => reply,
            None => store.txn(txn).await?,
        };
        if self.faults.occurs(3) {
            self.faults.wait_for_timeout().await;
            self.gate.wait_until_thawed().await;
            return unknown;
        }
        sleep(self.faults.rng.ms(0, 10)).await;
        self.gate.wait_until_thawed().await;
        Ok(self.without_window(reply))
    }

    fn without_compare(&self, mut txn: Txn) -> Txn {
        match self.faults.without {
            Without::CompareAndSwap => txn.compare.retain(
                |compare| !matches!(compare, Compare::ModifiedAt(key, _) if is_record(key)),
            ),
            Without::CopyCondition => txn.compare.truncate(1),
            _ => {}
        }
        txn
    }

    /// Reports success for a write that adds an order, without writing it, when the run disables
    /// write-ahead.
    async fn skip_write_ahead(&self, store: &SharedStore, txn: &Txn) -> Option<TxnReply> {
        if self.faults.without != Without::WriteAhead {
            return None;
        }
        let Some(Op::Put { key, value, .. }) = txn.then.first() else {
            return None;
        };
        let orders = |value: &Bytes| {
            let json: serde_json::Value = serde_json::from_slice(value).unwrap();
            json["orders"].as_array().map_or(0, Vec::len)
        };
        let old = store.range(key, 1).await.ok()?;
        let old = old.entries.first()?;
        let adds = is_record(key) && orders(value) > orders(&old.value);
        adds.then(|| TxnReply {
            succeeded: true,
            version: old.modified,
            reads: Vec::new(),
        })
    }

    fn without_window(&self, mut reply: TxnReply) -> TxnReply {
        if self.faults.without == Without::AdapterWindow {
            for entry in reply
                .reads
                .iter_mut()
                .flatten()
                .filter(|entry| is_record(&entry.key))
            {
                let mut json: serde_json::Value = serde_json::from_slice(&entry.value).unwrap();
                json["former_owners"] = serde_json::Value::Array(Vec::new());
                entry.value = serde_json::to_vec(&json).unwrap().into();
            }
        }
        reply
    }
}

fn is_record(key: &str) -> bool {
    key.starts_with(RECORD_PREFIX)
}

impl TxnFaults for LinkFaults {
    fn txn<'a>(
        &'a self,
        inner: &'a SharedStore,
        txn: Txn,
    ) -> BoxFuture<'a, Result<TxnReply, StoreError>> {
        self.faulty_txn(inner, txn).boxed()
    }
}

/// The recorded events of the engines of one run.
#[derive(Debug, Default)]
pub struct Histories {
    pub memory: Vec<MemoryEvent>,
    pub copies: Vec<CopyEvent>,
    pub model_loads: u64,
    pub adapter_loads: u64,
    pub fenced: u64,
    /// The number of orders that changed an engine's role.
    pub role_changes: u64,
    loading: u32,
    /// The largest number of concurrent model loads.
    pub loading_max: u32,
}

impl Histories {
    fn begin_load(&mut self) {
        self.model_loads += 1;
        self.loading += 1;
        self.loading_max = self.loading_max.max(self.loading);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading,
    Ready,
    Unloading,
}

#[derive(Debug)]
struct HeldItem {
    name: String,
    version: String,
    is_model: bool,
    stage: Stage,
}

#[derive(Debug, Default)]
struct EngineState {
    incarnation: Incarnation,
    newest: Epoch,
    seen: Vec<OrderId>,
    finished: Vec<OrderId>,
    items: Vec<HeldItem>,
    role: EngineRole,
}

/// The roles that an engine cycles through, one per incarnation.
pub const ROLES: [EngineRole; 3] = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Both];

/// A model engine that records its memory accurately and executes orders even if memory is short.
pub struct FakeEngine {
    name: String,
    fencing: Fencing,
    memory_mib: MemoryMib,
    start: Instant,
    faults: Faults,
    state: Mutex<EngineState>,
    histories: Arc<Mutex<Histories>>,
}

impl FakeEngine {
    pub fn new(
        name: &str,
        fencing: Fencing,
        memory_mib: MemoryMib,
        faults: Faults,
        histories: Arc<Mutex<Histories>>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            name: name.to_owned(),
            fencing,
            memory_mib,
            start: Instant::now(),
            faults,
            state: Mutex::default(),
            histories,
        });
        engine.restart();
        engine
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap()
    }

    fn at_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn record(&self, change: MemoryChange) {
        let event = MemoryEvent {
            at_ms: self.at_ms(),
            engine: self.name.clone(),
            change,
        };
        self.histories.lock().unwrap().memory.push(event);
    }

    fn record_copy(&self, model: &str, change: CopyChange) {
        let event = CopyEvent {
            at_ms: self.at_ms(),
            model: model.to_owned(),
            engine: self.name.clone(),
            change,
        };
        self.histories.lock().unwrap().copies.push(event);
    }

    /// Restarts the engine without any models or adapters.
    pub fn restart(&self) {
        let mut state = self.state();
        let is_loading = |item: &&HeldItem| item.is_model && item.stage == Stage::Loading;
        let cut_off = state.items.iter().filter(is_loading).count() as u32;
        self.histories.lock().unwrap().loading -= cut_off;
        let incarnation = state.incarnation.next();
        *state = EngineState {
            incarnation,
            role: ROLES[incarnation.0 as usize % ROLES.len()],
            ..EngineState::default()
        };
        self.record(MemoryChange::EngineStarted(self.memory_mib));
    }

    /// Returns whether a model occupies memory.
    pub fn holds(&self, model: &ModelName) -> bool {
        let state = self.state();
        state
            .items
            .iter()
            .any(|item| item.is_model && item.name == model.as_str())
    }

    fn apply(self: &Arc<Self>, order: Order) -> OrderReply {
        let refused = |reason: &str| OrderReply::Refused {
            reason: reason.to_owned(),
        };
        let mut state = self.state();
        let checked = self.faults.without != Without::OrderIncarnation;
        if checked && order.incarnation != state.incarnation {
            return refused("another engine incarnation");
        }
        if self.fencing == Fencing::Honoured && order.epoch < state.newest {
            self.histories.lock().unwrap().fenced += 1;
            return OrderReply::Fenced {
                newest: state.newest,
            };
        }
        state.newest = state.newest.max(order.epoch);
        if state.seen.contains(&order.id) {
            return OrderReply::Accepted;
        }
        state.seen.push(order.id);
        if self.begin(&mut state, &order.action) {
            drop(state);
            tokio::spawn(Arc::clone(self).finish(order));
            return OrderReply::Accepted;
        }
        record_finished(&mut state, order.id);
        refused("does not fit")
    }

    fn begin(&self, state: &mut EngineState, action: &Action) -> bool {
        match action {
            Action::LoadModel {
                model,
                version,
                memory_mib,
            } => {
                let begins = self.add(state, model.as_str(), version, true, *memory_mib);
                if begins {
                    self.histories.lock().unwrap().begin_load();
                }
                begins
            }
            Action::LoadAdapter {
                adapter,
                memory_mib,
                ..
            } => {
                self.histories.lock().unwrap().adapter_loads += 1;
                self.add(state, adapter.as_str(), "", false, *memory_mib)
            }
            Action::UnloadModel { model } => self.begin_unload(state, model.as_str(), true),
            Action::UnloadAdapter { adapter } => self.begin_unload(state, adapter.as_str(), false),
            Action::ChangeRole { role } => {
                let changes = std::mem::replace(&mut state.role, *role) != *role;
                self.histories.lock().unwrap().role_changes += u64::from(changes);
                true
            }
        }
    }

    fn add(
        &self,
        state: &mut EngineState,
        name: &str,
        version: &str,
        is_model: bool,
        memory_mib: MemoryMib,
    ) -> bool {
        if state.items.iter().any(|item| item.name == name) {
            return false;
        }
        state.items.push(HeldItem {
            name: name.to_owned(),
            version: version.to_owned(),
            is_model,
            stage: Stage::Loading,
        });
        self.record(MemoryChange::Reserved(name.to_owned(), memory_mib));
        true
    }

    fn begin_unload(&self, state: &mut EngineState, name: &str, is_model: bool) -> bool {
        let Some(item) = state.items.iter_mut().find(|item| item.name == name) else {
            return false;
        };
        if is_model && item.stage == Stage::Loading {
            return false;
        }
        if is_model && item.stage == Stage::Ready {
            self.record_copy(name, CopyChange::Unloaded);
        }
        item.stage = Stage::Unloading;
        true
    }

    async fn finish(self: Arc<Self>, order: Order) {
        let (name, duration) = match &order.action {
            Action::LoadModel { model, .. } => (model.to_string(), self.faults.rng.ms(300, 3000)),
            Action::LoadAdapter { adapter, .. } => (adapter.to_string(), self.faults.rng.ms(5, 14)),
            Action::UnloadModel { model } => (model.to_string(), self.faults.rng.ms(0, 1000)),
            Action::UnloadAdapter { adapter } => (adapter.to_string(), Duration::ZERO),
            Action::ChangeRole { .. } => (String::new(), Duration::ZERO),
        };
        sleep(duration).await;
        let mut state = self.state();
        let unloads = matches!(
            order.action,
            Action::UnloadModel { .. } | Action::UnloadAdapter { .. }
        );
        if state.incarnation != order.incarnation
            && self.faults.without != Without::OrderIncarnation
        {
            return;
        }
        if let Some(at) = state.items.iter().position(|item| item.name == name) {
            match state.items[at].stage {
                Stage::Unloading if unloads => {
                    state.items.remove(at);
                    self.record(MemoryChange::Released(name));
                }
                Stage::Loading if !unloads => {
                    state.items[at].stage = Stage::Ready;
                    if state.items[at].is_model {
                        self.histories.lock().unwrap().loading -= 1;
                        self.record_copy(&name, CopyChange::Ready);
                    }
                }
                _ => {}
            }
        }
        record_finished(&mut state, order.id);
    }

    fn read_status(&self) -> EngineStatus {
        let state = self.state();
        let mut models = Vec::new();
        let mut adapters: Vec<AdapterName> = Vec::new();
        for item in &state.items {
            if item.is_model {
                models.push(ModelResident {
                    model: item.name.parse().unwrap(),
                    version: item.version.clone(),
                    ready: item.stage == Stage::Ready,
                });
            } else {
                adapters.push(item.name.parse().unwrap());
            }
        }
        models.sort_by(|a, b| a.model.cmp(&b.model));
        adapters.sort();
        EngineStatus {
            incarnation: state.incarnation,
            leaving: false,
            role: state.role,
            models,
            adapters,
            finished: state.finished.clone(),
            load: EngineLoad::default(),
        }
    }
}

fn record_finished(state: &mut EngineState, id: OrderId) {
    state.finished.push(id);
    if state.finished.len() > FINISHED_MAX {
        state.finished.remove(0);
    }
}

/// One VM's link to an engine.
pub struct EngineLink {
    pub engine: Arc<FakeEngine>,
    pub gate: FreezeGate,
    pub faults: Faults,
    pub late_max_ms: u64,
}

impl EngineLink {
    fn apply_late(&self, order: Order) {
        let late = self.faults.rng.ms(0, self.late_max_ms);
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move {
            sleep(late).await;
            engine.apply(order);
        });
    }

    async fn faulty_send(&self, order: Order) -> Result<OrderReply, EngineError> {
        let barrier = matches!(order.action, Action::ChangeRole { .. });
        if barrier && self.faults.without == Without::Barrier {
            return Ok(OrderReply::Done);
        }
        if self.faults.process_faults && self.faults.occurs(8) {
            self.gate.freeze(self.faults.rng.ms(6000, 25_000));
        }
        self.gate.wait_until_thawed().await;
        let share = self.faults.order_faults_percent.max(1);
        let reply = match self.faults.rng.below(100) / share {
            0 if self.faults.affects_orders() => None,
            1 if self.faults.affects_orders() => {
                self.apply_late(order);
                None
            }
            2 if self.faults.affects_orders() => {
                self.engine.apply(order);
                None
            }
            3 if self.faults.affects_orders() => {
                self.apply_late(order.clone());
                Some(self.engine.apply(order))
            }
            _ => {
                sleep(self.faults.rng.ms(0, 10)).await;
                Some(self.engine.apply(order))
            }
        };
        if reply.is_none() {
            self.faults.wait_for_timeout().await;
        }
        self.gate.wait_until_thawed().await;
        reply.ok_or_else(|| EngineError::Unknown("lost".to_owned()))
    }

    async fn faulty_status(&self) -> Result<EngineStatus, EngineError> {
        self.gate.wait_until_thawed().await;
        sleep(self.faults.rng.ms(0, 10)).await;
        let status = self.engine.read_status();
        let lost = self.faults.occurs(5);
        sleep(self.faults.rng.ms(0, if lost { 1500 } else { 10 })).await;
        self.gate.wait_until_thawed().await;
        if lost && self.faults.rng.percent(50) {
            return Err(EngineError::Unknown("lost".to_owned()));
        }
        Ok(status)
    }
}

impl Engine for EngineLink {
    fn send(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, EngineError>> {
        self.faulty_send(order).boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        self.faulty_status().boxed()
    }
}
