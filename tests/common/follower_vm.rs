//! A simulated VM that follows the configuration, by a watch of the key-value service and by
//! exchanging heads with other VMs.

use {
    futures::{
        StreamExt,
        future::{FutureExt, LocalBoxFuture},
    },
    greengagetrail::{
        config::{
            Blob, BlobSource, BlobSourceError, Digest, FetchPolicy, Head, HeadComparison,
            HeadOrigin, HistoryFault, Publisher, RevisionFollower, StoreBlobSource, fetch_snapshot,
        },
        history::RevisionEvent,
        standin::kv::MemoryStore,
        store::{Change, Store, StoreError, keys::HEAD_KEY},
        units::VmName,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        cell::{Cell, RefCell},
        rc::{Rc, Weak},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        task::{AbortHandle, spawn_local},
        time::{Instant, sleep, timeout},
    },
};

/// The time without an event after which a watch is restarted.
const WATCH_IDLE_MAX: Duration = Duration::from_secs(8);
/// The delay after a failed call to the key-value service.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The interval at which a VM exchanges heads with another VM.
const HEAD_EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// The latency of a message between VMs.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// The number of VMs that a new head is sent to at once.
const HEAD_FANOUT: usize = 3;

/// The VMs of one run, and the events that the run recorded.
pub struct Fleet {
    /// The key-value service.
    pub store: MemoryStore,
    /// The VMs, including killed ones.
    pub vms: RefCell<Vec<Rc<FollowerVm>>>,
    /// The recorded events.
    pub events: RefCell<Vec<RevisionEvent>>,
    started: Instant,
    /// Whether a VM activates every head that it receives; this disables the mechanism under test.
    pub activate_any_head: bool,
    /// Whether publishers ignore the heads known to VMs; this disables the mechanism under test.
    pub ignore_known_heads: Cell<bool>,
}

impl Fleet {
    /// Creates a fleet without VMs.
    pub fn new(activate_any_head: bool) -> Rc<Self> {
        Rc::new(Self {
            store: MemoryStore::new(),
            vms: RefCell::default(),
            events: RefCell::default(),
            started: Instant::now(),
            activate_any_head,
            ignore_known_heads: Cell::new(false),
        })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records an event.
    pub fn record(&self, event: RevisionEvent) {
        self.events.borrow_mut().push(event);
    }

    /// Starts a VM that has no configuration.
    pub fn start_vm(self: &Rc<Self>, name: &str, seed: u64) -> Rc<FollowerVm> {
        let vm = Rc::new(FollowerVm {
            name: name.parse().unwrap(),
            link: self.store.link(),
            follower: RefCell::default(),
            is_running: Cell::new(true),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            fleet: Rc::downgrade(self),
            tasks: RefCell::default(),
        });
        self.record(RevisionEvent::Started {
            at_ms: self.now_ms(),
            vm: vm.name.clone(),
        });
        self.vms.borrow_mut().push(vm.clone());
        vm.spawn(FollowerVm::watch_store);
        vm.spawn(FollowerVm::exchange_heads);
        vm.spawn(FollowerVm::restore_store_head);
        vm
    }

    /// Returns the running VMs.
    pub fn live(&self) -> Vec<Rc<FollowerVm>> {
        let vms = self.vms.borrow();
        vms.iter()
            .filter(|vm| vm.is_running.get())
            .cloned()
            .collect()
    }
}

/// A simulated VM that follows the configuration.
pub struct FollowerVm {
    /// The name of the VM.
    pub name: VmName,
    /// The VM's link to the key-value service, with its own injected faults.
    pub link: MemoryStore,
    /// The state of the configuration at the VM.
    pub follower: RefCell<RevisionFollower>,
    is_running: Cell<bool>,
    rng: RefCell<SmallRng>,
    fleet: Weak<Fleet>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl FollowerVm {
    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, task: impl Fn(Rc<Self>) -> F) {
        let handle = spawn_local(task(self.clone()));
        self.tasks.borrow_mut().push(handle.abort_handle());
    }

    /// Kills the VM and its tasks.
    pub fn kill(&self) {
        self.is_running.set(false);
        for task in self.tasks.borrow().iter() {
            task.abort();
        }
        if let Some(fleet) = self.fleet.upgrade() {
            fleet.record(RevisionEvent::Stopped {
                at_ms: fleet.now_ms(),
                vm: self.name.clone(),
            });
        }
    }

    /// Returns whether the VM is running.
    pub fn is_running(&self) -> bool {
        self.is_running.get()
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<Head> {
        let follower = self.follower.borrow();
        follower.current().map(|current| current.head.clone())
    }

    /// Returns the newest head that the VM has received or has in force.
    pub fn newest_known(&self) -> Option<Head> {
        self.follower.borrow().newest_known().cloned()
    }

    /// Queries all running VMs and returns the newest known head.
    pub async fn query_newest_known(&self) -> Option<Head> {
        sleep(MESSAGE_LATENCY * 2).await;
        let heads = self
            .peers()
            .into_iter()
            .filter_map(|peer| peer.newest_known());
        heads
            .chain(self.newest_known())
            .max_by_key(|head| head.revision)
    }

    fn activates_any_head(&self) -> bool {
        self.fleet
            .upgrade()
            .is_some_and(|fleet| fleet.activate_any_head)
    }

    fn peers(&self) -> Vec<Rc<Self>> {
        let live = self.fleet.upgrade().map(|fleet| fleet.live());
        let mut peers = live.unwrap_or_default();
        peers.retain(|peer| peer.name != self.name);
        peers
    }

    /// Watches the head in the key-value service, and restarts the watch when it fails.
    async fn watch_store(self: Rc<Self>) {
        loop {
            if let Err(error) = self.watch_once().await {
                assert_ne!(error, StoreError::Compacted);
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }

    async fn watch_once(self: &Rc<Self>) -> Result<(), StoreError> {
        let read = self.link.range(HEAD_KEY, 1).await?;
        for entry in read.entries {
            self.receive_from_store(&entry.value);
        }
        let mut watch = self.link.watch(HEAD_KEY, read.version);
        while let Ok(Some(batch)) = timeout(WATCH_IDLE_MAX, watch.next()).await {
            for change in batch?.changes {
                if let Change::Put(entry) = change {
                    self.receive_from_store(&entry.value);
                }
            }
        }
        Ok(())
    }

    fn receive_from_store(self: &Rc<Self>, value: &[u8]) {
        let head: Head = serde_json::from_slice(value).unwrap();
        self.receive(head, None);
    }

    /// Records a received head, and fetches its snapshot if the head is newer.
    pub fn receive(self: &Rc<Self>, head: Head, peer: Option<Rc<Self>>) {
        let origin = match peer {
            Some(_) => HeadOrigin::Peer,
            None => HeadOrigin::Store,
        };
        let comparison = self.follower.borrow_mut().record_head(&head, origin);
        let activate_any_head = self.activates_any_head();
        if comparison == HeadComparison::Newer
            || (activate_any_head && comparison != HeadComparison::InForce)
        {
            self.spawn(move |vm| vm.clone().fetch_and_activate(head.clone(), peer.clone()));
        }
    }

    /// Fetches and activates the snapshot of a head.
    async fn fetch_and_activate(self: Rc<Self>, head: Head, peer: Option<Rc<Self>>) {
        let policy = FetchPolicy::default();
        let jitter = policy.random_jitter(&mut *self.rng.borrow_mut());
        sleep(jitter).await;
        let held = match self.follower.borrow().current() {
            Some(current) => current.snapshot.blobs().to_vec(),
            None => Vec::new(),
        };
        let other = self.peers().choose(&mut *self.rng.borrow_mut()).cloned();
        let peers: Vec<VmBlobSource> = peer.into_iter().chain(other).map(VmBlobSource).collect();
        let store = StoreBlobSource::new(&self.link);
        let mut sources: Vec<&dyn BlobSource> = Vec::new();
        sources.extend(peers.iter().map(|peer| peer as &dyn BlobSource));
        sources.push(&store);
        let Ok(snapshot) = fetch_snapshot(head.digest, &held, &sources, &policy).await else {
            return;
        };
        if self.activates_any_head() {
            *self.follower.borrow_mut() = RevisionFollower::default();
        }
        self.activate(head, snapshot);
    }

    /// Activates a snapshot and sends its head to other VMs.
    pub fn activate(
        self: &Rc<Self>,
        head: Head,
        snapshot: greengagetrail::config::EncodedSnapshot,
    ) {
        let activated = self
            .follower
            .borrow_mut()
            .activate_if_newer(head.clone(), snapshot);
        if activated != Ok(true) {
            return;
        }
        if let Some(fleet) = self.fleet.upgrade() {
            fleet.record(RevisionEvent::InForce {
                at_ms: fleet.now_ms(),
                vm: self.name.clone(),
                head: head.clone(),
            });
        }
        if self.activates_any_head() {
            // VMs that activate every head would send heads to each other without end.
            return;
        }
        let peers = self.peers();
        let receivers: Vec<_> = peers
            .sample(&mut *self.rng.borrow_mut(), HEAD_FANOUT)
            .cloned()
            .collect();
        for peer in receivers {
            let (head, sender) = (head.clone(), self.clone());
            spawn_local(async move {
                sleep(MESSAGE_LATENCY).await;
                if peer.is_running.get() {
                    peer.receive(head, Some(sender));
                }
            });
        }
    }

    /// Exchanges heads with a random VM at intervals.
    async fn exchange_heads(self: Rc<Self>) {
        let first_ms = self.rng.borrow_mut().random_range(0..200);
        sleep(Duration::from_millis(first_ms)).await;
        loop {
            let peer = self.peers().choose(&mut *self.rng.borrow_mut()).cloned();
            if let Some(peer) = peer {
                sleep(MESSAGE_LATENCY).await;
                if let Some(head) = self.head().filter(|_| peer.is_running.get()) {
                    peer.receive(head, Some(self.clone()));
                }
                if let Some(head) = peer.head().filter(|_| peer.is_running.get()) {
                    self.receive(head, Some(peer));
                }
            }
            sleep(HEAD_EXCHANGE_INTERVAL).await;
        }
    }

    /// Writes the head back whenever the key-value service holds an older one.
    async fn restore_store_head(self: Rc<Self>) {
        loop {
            let delay_ms = self.rng.borrow_mut().random_range(2000..4000);
            sleep(Duration::from_millis(delay_ms)).await;
            let faults = self.follower.borrow().faults();
            let behind = faults
                .iter()
                .any(|fault| matches!(fault, HistoryFault::StoreBehind(_)));
            let current = self.follower.borrow().current().cloned();
            if let (true, Some(current)) = (behind, current) {
                let publisher = Publisher::new(Arc::new(self.link.clone()));
                let _ = publisher
                    .restore_head(&current.head, &current.snapshot)
                    .await;
            }
        }
    }
}

/// Another VM, as a source of blobs.
struct VmBlobSource(Rc<FollowerVm>);

impl BlobSource for VmBlobSource {
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>> {
        async move {
            sleep(MESSAGE_LATENCY * 2).await;
            if !self.0.is_running.get() {
                return Err(BlobSourceError::Peer("gone".to_owned()));
            }
            let follower = self.0.follower.borrow();
            let Some(current) = follower.current() else {
                return Ok(Vec::new());
            };
            let find = |digest: &Digest| current.snapshot.blob(*digest).ok().cloned();
            Ok(digests.iter().filter_map(find).collect())
        }
        .boxed_local()
    }
}
