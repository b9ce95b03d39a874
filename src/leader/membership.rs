//! A node's membership in the cluster and its part in the leader election.

use {
    super::{
        BootClock, ClockReading, LeaderRecord, PeerNode, Term, TermTiming,
        cluster_view::ClusterView, election_task::ElectionTask, held_term::HeldTerm,
        key_watch::watch_keys, keys::Keys,
    },
    crate::{
        node::Bounds,
        store::{Change, Entry, LeaseId, SharedStore, StoreVersion},
        streams::StoredVersions,
        traffic::NodeName,
    },
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        task::JoinSet,
        time::Instant,
    },
};

/// How long a planned stop waits for the store to revoke the lease.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The state that the tasks of a [`Membership`] share.
pub(super) struct SharedState {
    pub store: SharedStore,
    pub keys: Keys,
    /// This node's registration.
    pub me: PeerNode,
    /// This process's leader record, without its lease and its timing.
    pub own_record: LeaderRecord,
    pub clock: BootClock,
    /// Wakes the election task.
    pub wake_election: Notify,
    /// Makes the watch of the keys read all of them again.
    pub reload_keys: Notify,
    pub term: watch::Sender<Option<Term>>,
    pub fenced: watch::Sender<u64>,
    peers: watch::Sender<Vec<PeerNode>>,
    quarantine: watch::Sender<Vec<Entry>>,
    versions: watch::Sender<StoredVersions>,
    view: Mutex<ClusterView>,
    lease_state: Mutex<LeaseState>,
    bounds: Mutex<Bounds>,
}

/// The state of this node's lease and term.
#[derive(Debug)]
pub(super) struct LeaseState {
    /// The node's lease, once granted.
    pub lease: Option<LeaseId>,
    /// When the last successful grant or renewal of the lease was sent.
    pub renewal_sent: ClockReading,
    /// Since when the lease may have expired: set after a freeze or a missed renewal, and cleared
    /// when a renewal that was sent later succeeds.
    pub renewal_needed_since: Option<Instant>,
    /// The earliest instant at which this node may send orders.
    pub orders_from: Instant,
    /// The term of this process's write of the leader key, while this process leads.
    pub held: Option<HeldTerm>,
    /// The timing of the present lease and term.
    pub timing: TermTiming,
    /// Whether the node is stopping.
    pub is_stopping: bool,
}

impl SharedState {
    /// Locks the cluster view.
    pub fn view(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the lease and the term.
    pub fn lease_state(&self) -> MutexGuard<'_, LeaseState> {
        self.lease_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bounds that apply to the next lease and the next term.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the cluster view with a full read of the keys that was sent at `sent_at`.
    pub fn replace(&self, entries: &[Entry], version: StoreVersion, sent_at: Instant) {
        let mut view = self.view();
        view.replace(entries, version, Instant::now());
        view.read_at = sent_at;
        drop(view);
        self.publish_peers();
        self.publish_quarantine();
        self.publish_versions();
        self.publish_term();
        self.wake_election.notify_one();
    }

    /// Applies changes of the keys to the cluster view.
    pub fn apply(&self, changes: &[Change]) {
        let now = Instant::now();
        let mut view = self.view();
        for change in changes {
            view.apply(change, now);
        }
        drop(view);
        self.publish_peers();
        self.publish_quarantine();
        self.publish_versions();
        self.publish_term();
        self.wake_election.notify_one();
    }

    /// Publishes the list of peers if the list changed.
    pub fn publish_peers(&self) {
        let peers = self.view().peers(&self.me.name, Instant::now());
        self.peers.send_if_modified(|known| {
            let differs = *known != peers;
            *known = peers;
            differs
        });
    }

    /// Publishes the entries of quarantined requests and prompt parts if they changed.
    fn publish_quarantine(&self) {
        let entries = self.view().quarantine.clone();
        self.quarantine.send_if_modified(|known| {
            let differs = *known != entries;
            *known = entries;
            differs
        });
    }

    /// Publishes the entry of the software versions if it changed.
    fn publish_versions(&self) {
        let view = self.view();
        let stored = StoredVersions {
            is_read: view.is_loaded,
            entry: view.versions.clone(),
        };
        drop(view);
        self.versions.send_if_modified(|known| {
            let differs = *known != stored;
            *known = stored;
            differs
        });
    }

    /// Publishes this node's term, derived from its lease and from the cluster view.
    ///
    /// The view counts because store calls may hang after the watch has already reported that the
    /// leader key was deleted.
    pub fn publish_term(&self) {
        let view = self.view();
        let lease_state = self.lease_state();
        let held = lease_state.held.filter(|held| !view.has_lost(held));
        let term = held.map(|held| Term {
            fencing_token: held.token,
            orders_from: lease_state.orders_from,
            waits_for_leader: held.waits_for_leader,
        });
        let term =
            term.filter(|_| lease_state.renewal_needed_since.is_none() && !lease_state.is_stopping);
        self.term.send_if_modified(|known| {
            let differs = *known != term;
            *known = term;
            differs
        });
    }
}

/// A node's membership: its registration in the store, its peers, and whether it leads.
pub struct Membership {
    /// The other nodes.
    pub peers: watch::Receiver<Vec<PeerNode>>,
    /// The node's term while this node leads, else `None`.
    pub term: watch::Receiver<Option<Term>>,
    /// Receives the highest of this node's fencing tokens that a runner rejected.
    pub fenced: watch::Sender<u64>,
    /// The entries of quarantined requests and prompt parts in the store.
    pub quarantine: watch::Receiver<Vec<Entry>>,
    /// The entry of the software versions in use in the store.
    pub versions: watch::Receiver<StoredVersions>,
    shared: Arc<SharedState>,
    tasks: Mutex<JoinSet<()>>,
}

impl fmt::Debug for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Membership")
    }
}

impl Membership {
    /// Registers a node and joins the election; dropping the value stops its tasks.
    pub fn start(store: SharedStore, own_prefix: &str, me: PeerNode, bounds: Bounds) -> Self {
        Self::start_with_clock(store, own_prefix, me, bounds, BootClock::default())
    }

    /// Registers a node as [`Membership::start`] does, with the given boot clock.
    pub fn start_with_clock(
        store: SharedStore,
        own_prefix: &str,
        me: PeerNode,
        bounds: Bounds,
        clock: BootClock,
    ) -> Self {
        let (peers, peers_receiver) = watch::channel(Vec::new());
        let (term, term_receiver) = watch::channel(None);
        let (quarantine, quarantine_receiver) = watch::channel(Vec::new());
        let (versions, versions_receiver) = watch::channel(StoredVersions::default());
        let keys = Keys::new(own_prefix);
        let fenced = watch::Sender::new(0);
        let lease_state = LeaseState {
            lease: None,
            renewal_sent: ClockReading::now(&clock),
            renewal_needed_since: None,
            orders_from: Instant::now(),
            held: None,
            timing: TermTiming::new(&bounds),
            is_stopping: false,
        };
        let shared = Arc::new(SharedState {
            own_record: LeaderRecord::new(&me, rand::random()),
            view: Mutex::new(ClusterView::new(keys.clone())),
            lease_state: Mutex::new(lease_state),
            wake_election: Notify::new(),
            reload_keys: Notify::new(),
            bounds: Mutex::new(bounds),
            store,
            keys,
            me,
            clock,
            peers,
            term,
            fenced: fenced.clone(),
            quarantine,
            versions,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(watch_keys(shared.clone()));
        tasks.spawn(ElectionTask::new(shared.clone()).run());
        tasks.spawn(super::term_watchdog::run_term_watchdog(shared.clone()));
        Self {
            peers: peers_receiver,
            term: term_receiver,
            fenced,
            quarantine: quarantine_receiver,
            versions: versions_receiver,
            shared,
            tasks: Mutex::new(tasks),
        }
    }

    /// Changes the platform's bounds.
    ///
    /// The lease uses the new bounds from its next grant on and the term from the next term on.
    /// The wait for a former leader is at once the longer of the old and the new one.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self
            .shared
            .bounds
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Returns whether the registrations of all nodes have been read since the start.
    pub fn has_read_nodes(&self) -> bool {
        self.shared.view().is_loaded
    }

    /// Returns the prefix of the keys of quarantined requests and prompt parts.
    pub fn quarantine_prefix(&self) -> &str {
        &self.shared.keys.quarantine
    }

    /// Returns the key of the software versions in use.
    pub fn versions_key(&self) -> &str {
        &self.shared.keys.versions
    }

    /// Returns whether this node's lease still runs by its own clocks, suspensions included: it
    /// reached the store within the last seconds.
    pub fn holds_lease(&self) -> bool {
        let lease_state = self.shared.lease_state();
        let since_renewal =
            ClockReading::now(&self.shared.clock).elapsed_since(lease_state.renewal_sent);
        lease_state.lease.is_some() && lease_state.timing.is_lease_running(since_renewal)
    }

    /// Returns the leader and its fencing token, as last read.
    pub fn leader(&self) -> Option<(NodeName, u64)> {
        let view = self.shared.view();
        let stored = view.leader.as_ref()?;
        let record = stored.record.as_ref()?;
        Some((record.node.clone(), stored.token()))
    }

    /// Returns how often this node found that the store went back to an older copy of itself.
    pub fn store_rollbacks(&self) -> u64 {
        self.shared.view().rollbacks
    }

    /// Leaves the cluster for a planned stop: ends the term, stops the tasks and revokes the lease,
    /// which deletes the node's keys.
    pub async fn leave(&self) {
        self.shared.lease_state().is_stopping = true;
        self.shared.publish_term();
        let mut tasks =
            std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.shutdown().await;
        let Some(lease) = self.shared.lease_state().lease.take() else {
            return;
        };
        let revocation = self.shared.store.revoke_lease(lease);
        match tokio::time::timeout(REVOKE_TIMEOUT, revocation).await {
            Ok(Ok(())) => log::info!("leader: revoked the lease for a planned stop."),
            _ => log::warn!(
                "leader: the store did not confirm that the lease was revoked; it will expire."
            ),
        }
    }
}
