//! A node's membership in the cluster and its part in the leader election.

use {
    super::{
        BootClock, Moment, PeerNode, Seat, TenureRules, Term, cluster_view::ClusterView,
        election_task::Duty, key_watch::follow, keys::Keys,
    },
    crate::{
        node::Bounds,
        store::{Change, Entry, LeaseId, SharedStore, StoreVersion},
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
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The state that the tasks of a [`Membership`] share.
pub(super) struct Shared {
    pub store: SharedStore,
    pub keys: Keys,
    pub me: PeerNode,
    pub seat: Seat,
    pub clock: BootClock,
    pub changed: Notify,
    pub term: watch::Sender<Option<Term>>,
    peers: watch::Sender<Vec<PeerNode>>,
    view: Mutex<ClusterView>,
    standing: Mutex<Standing>,
    bounds: Mutex<Bounds>,
}

/// The state of this node's lease and term.
#[derive(Debug)]
pub(super) struct Standing {
    /// The node's lease, once granted.
    pub lease: Option<LeaseId>,
    /// When the last successful grant or renewal of the lease was sent.
    pub confirmed: Moment,
    /// Since when the lease may have expired: set after a freeze or a missed renewal, and cleared
    /// when a renewal that was sent later succeeds.
    pub doubtful_since: Option<Instant>,
    /// The earliest instant at which this node may send orders.
    pub orders_from: Instant,
    /// The fencing token, which is the version of this process's write of the leader key, while
    /// this process leads.
    pub token: Option<u64>,
    /// The timing of the present lease and term.
    pub rules: TenureRules,
    /// Whether the node is stopping.
    pub is_leaving: bool,
}

impl Shared {
    /// Locks the cluster view.
    pub fn view(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the lease and the term.
    pub fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bounds that apply to the next lease and the next term.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the cluster view with a full read of the keys.
    pub fn replace(&self, entries: &[Entry], version: StoreVersion) {
        self.view().replace(entries, version, Instant::now());
        self.publish_peers();
        self.publish_term();
        self.changed.notify_one();
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
        self.publish_term();
        self.changed.notify_one();
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

    /// Publishes this node's term, derived from its lease and from the cluster view.
    ///
    /// The view counts because store calls may hang after the watch has already reported that the
    /// leader key was deleted.
    pub fn publish_term(&self) {
        let view = self.view();
        let standing = self.standing();
        let term = standing.token.map(|fencing_token| Term {
            fencing_token,
            orders_from: standing.orders_from,
        });
        let term = term.filter(|term| !view.shows_lost(term.fencing_token));
        let term = term.filter(|_| standing.doubtful_since.is_none() && !standing.is_leaving);
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
    shared: Arc<Shared>,
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
        let keys = Keys::new(own_prefix);
        let standing = Standing {
            lease: None,
            confirmed: Moment::now(&clock),
            doubtful_since: None,
            orders_from: Instant::now(),
            token: None,
            rules: TenureRules::new(&bounds),
            is_leaving: false,
        };
        let shared = Arc::new(Shared {
            seat: Seat::new(&me, rand::random()),
            view: Mutex::new(ClusterView::new(keys.clone())),
            standing: Mutex::new(standing),
            changed: Notify::new(),
            bounds: Mutex::new(bounds),
            store,
            keys,
            me,
            clock,
            peers,
            term,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(shared.clone()));
        tasks.spawn(Duty::new(shared.clone()).run());
        tasks.spawn(super::term_watchdog::guard_term(shared.clone()));
        Self {
            peers: peers_receiver,
            term: term_receiver,
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

    /// Returns the leader and its fencing token, as last read.
    pub fn leader(&self) -> Option<(NodeName, u64)> {
        let view = self.shared.view();
        let stored = view.seat.as_ref()?;
        let seat = stored.seat.as_ref()?;
        Some((seat.node.clone(), stored.version.0.unsigned_abs()))
    }

    /// Leaves the cluster for a planned stop: ends the term, stops the tasks and revokes the lease,
    /// which deletes the node's keys.
    pub async fn leave(&self) {
        self.shared.standing().is_leaving = true;
        self.shared.publish_term();
        let mut tasks =
            std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
        tasks.shutdown().await;
        let Some(lease) = self.shared.standing().lease.take() else {
            return;
        };
        let ending = self.shared.store.revoke_lease(lease);
        match tokio::time::timeout(LEAVE_TIMEOUT, ending).await {
            Ok(Ok(())) => log::info!("leader: revoked the lease for a planned stop."),
            _ => log::warn!(
                "leader: the store did not confirm that the lease was revoked; it will expire."
            ),
        }
    }
}
