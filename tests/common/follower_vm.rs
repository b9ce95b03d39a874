//! A VM that follows the configuration by watch and by exchange with the other VMs.

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

/// The longest silence of a watch.
const WATCH_SILENCE_MAX: Duration = Duration::from_secs(8);
/// The pause after a failed call to the key-value service.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often a VM compares its head with another's.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a message between VMs takes.
const LATENCY: Duration = Duration::from_millis(1);
/// VMs that are told at once of a new head.
const FANOUT: usize = 3;

/// The VMs of one run and what the run recorded.
pub struct Fleet {
    /// The key-value service.
    pub store: MemoryStore,
    /// The VMs.
    pub vms: RefCell<Vec<Rc<FollowerVm>>>,
    /// What happened.
    pub events: RefCell<Vec<RevisionEvent>>,
    started: Instant,
    /// Whether a VM puts any head in force that it hears of; the mechanism is then off.
    pub follow_anything: bool,
    /// Whether publishers go by the key-value service alone; the mechanism is then off.
    pub ignore_known: Cell<bool>,
}

impl Fleet {
    /// Makes a fleet without VMs.
    pub fn new(follow_anything: bool) -> Rc<Self> {
        Rc::new(Self {
            store: MemoryStore::new(),
            vms: RefCell::default(),
            events: RefCell::default(),
            started: Instant::now(),
            follow_anything,
            ignore_known: Cell::new(false),
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

    /// Starts a VM without any configuration.
    pub fn start_vm(self: &Rc<Self>, name: &str, seed: u64) -> Rc<FollowerVm> {
        let vm = Rc::new(FollowerVm {
            name: name.parse().unwrap(),
            link: self.store.link(),
            follower: RefCell::default(),
            up: Cell::new(true),
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
        vm.spawn(FollowerVm::repair_store);
        vm
    }

    /// Returns the VMs that are up.
    pub fn live(&self) -> Vec<Rc<FollowerVm>> {
        let vms = self.vms.borrow();
        vms.iter().filter(|vm| vm.up.get()).cloned().collect()
    }
}

/// A VM that follows the configuration.
pub struct FollowerVm {
    /// Its name.
    pub name: VmName,
    /// Its link to the key-value service, with fault switches of its own.
    pub link: MemoryStore,
    /// What it has in force.
    pub follower: RefCell<RevisionFollower>,
    up: Cell<bool>,
    rng: RefCell<SmallRng>,
    fleet: Weak<Fleet>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl FollowerVm {
    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, task: impl Fn(Rc<Self>) -> F) {
        let handle = spawn_local(task(self.clone()));
        self.tasks.borrow_mut().push(handle.abort_handle());
    }

    /// Kills the VM.
    pub fn kill(&self) {
        self.up.set(false);
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

    /// Returns whether the VM is up.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Returns the head in force.
    pub fn head(&self) -> Option<Head> {
        let follower = self.follower.borrow();
        follower.current().map(|current| current.head.clone())
    }

    /// Returns the newest head that was heard of.
    pub fn newest_known(&self) -> Option<Head> {
        self.follower.borrow().newest_known().cloned()
    }

    /// Asks all live VMs for their heads and returns the newest.
    pub async fn ask_peers(&self) -> Option<Head> {
        sleep(LATENCY * 2).await;
        let heads = self
            .peers()
            .into_iter()
            .filter_map(|peer| peer.newest_known());
        heads
            .chain(self.newest_known())
            .max_by_key(|head| head.revision)
    }

    fn follows_anything(&self) -> bool {
        self.fleet
            .upgrade()
            .is_some_and(|fleet| fleet.follow_anything)
    }

    fn peers(&self) -> Vec<Rc<Self>> {
        let live = self.fleet.upgrade().map(|fleet| fleet.live());
        let mut peers = live.unwrap_or_default();
        peers.retain(|peer| peer.name != self.name);
        peers
    }

    async fn watch_store(self: Rc<Self>) {
        loop {
            if let Err(error) = self.watch_once().await {
                assert_ne!(error, StoreError::Compacted);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn watch_once(self: &Rc<Self>) -> Result<(), StoreError> {
        let read = self.link.range(HEAD_KEY, 1).await?;
        for entry in read.entries {
            self.hear_from_store(&entry.value);
        }
        let mut watch = self.link.watch(HEAD_KEY, read.version);
        while let Ok(Some(batch)) = timeout(WATCH_SILENCE_MAX, watch.next()).await {
            for change in batch?.changes {
                if let Change::Put(entry) = change {
                    self.hear_from_store(&entry.value);
                }
            }
        }
        Ok(())
    }

    fn hear_from_store(self: &Rc<Self>, value: &[u8]) {
        let head: Head = serde_json::from_slice(value).unwrap();
        self.hear(head, None);
    }

    /// Takes note of a head, and fetches its content if it is newer.
    pub fn hear(self: &Rc<Self>, head: Head, peer: Option<Rc<Self>>) {
        let origin = match peer {
            Some(_) => HeadOrigin::Peer,
            None => HeadOrigin::Store,
        };
        let standing = self.follower.borrow_mut().record_head(&head, origin);
        let follow_anything = self.follows_anything();
        if standing == HeadComparison::Newer
            || (follow_anything && standing != HeadComparison::InForce)
        {
            self.spawn(move |vm| vm.clone().follow(head.clone(), peer.clone()));
        }
    }

    async fn follow(self: Rc<Self>, head: Head, peer: Option<Rc<Self>>) {
        let policy = FetchPolicy::default();
        let jitter = policy.random_jitter(&mut *self.rng.borrow_mut());
        sleep(jitter).await;
        let held = match self.follower.borrow().current() {
            Some(current) => current.snapshot.blobs().to_vec(),
            None => Vec::new(),
        };
        let other = self.peers().choose(&mut *self.rng.borrow_mut()).cloned();
        let peers: Vec<VmBlobs> = peer.into_iter().chain(other).map(VmBlobs).collect();
        let store = StoreBlobSource::new(&self.link);
        let mut sources: Vec<&dyn BlobSource> = Vec::new();
        sources.extend(peers.iter().map(|peer| peer as &dyn BlobSource));
        sources.push(&store);
        let Ok(snapshot) = fetch_snapshot(head.digest, &held, &sources, &policy).await else {
            return;
        };
        if self.follows_anything() {
            *self.follower.borrow_mut() = RevisionFollower::default();
        }
        self.accept(head, snapshot);
    }

    /// Puts a snapshot in force and tells other VMs.
    pub fn accept(self: &Rc<Self>, head: Head, snapshot: greengagetrail::config::EncodedSnapshot) {
        let accepted = self
            .follower
            .borrow_mut()
            .activate_if_newer(head.clone(), snapshot);
        if accepted != Ok(true) {
            return;
        }
        if let Some(fleet) = self.fleet.upgrade() {
            fleet.record(RevisionEvent::InForce {
                at_ms: fleet.now_ms(),
                vm: self.name.clone(),
                head: head.clone(),
            });
        }
        if self.follows_anything() {
            // Telling others at once would never end.
            return;
        }
        let peers = self.peers();
        let told: Vec<_> = peers
            .sample(&mut *self.rng.borrow_mut(), FANOUT)
            .cloned()
            .collect();
        for peer in told {
            let (head, sender) = (head.clone(), self.clone());
            spawn_local(async move {
                sleep(LATENCY).await;
                if peer.up.get() {
                    peer.hear(head, Some(sender));
                }
            });
        }
    }

    async fn exchange_heads(self: Rc<Self>) {
        let first_ms = self.rng.borrow_mut().random_range(0..200);
        sleep(Duration::from_millis(first_ms)).await;
        loop {
            let peer = self.peers().choose(&mut *self.rng.borrow_mut()).cloned();
            if let Some(peer) = peer {
                sleep(LATENCY).await;
                if let Some(head) = self.head().filter(|_| peer.up.get()) {
                    peer.hear(head, Some(self.clone()));
                }
                if let Some(head) = peer.head().filter(|_| peer.up.get()) {
                    self.hear(head, Some(peer));
                }
            }
            sleep(EXCHANGE_INTERVAL).await;
        }
    }

    async fn repair_store(self: Rc<Self>) {
        loop {
            let pause_ms = self.rng.borrow_mut().random_range(2000..4000);
            sleep(Duration::from_millis(pause_ms)).await;
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

/// Another VM as a source of blobs.
struct VmBlobs(Rc<FollowerVm>);

impl BlobSource for VmBlobs {
    fn fetch<'a>(
        &'a self,
        digests: &'a [Digest],
    ) -> LocalBoxFuture<'a, Result<Vec<Blob>, BlobSourceError>> {
        async move {
            sleep(LATENCY * 2).await;
            if !self.0.up.get() {
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
