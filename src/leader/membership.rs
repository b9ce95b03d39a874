//! This node's part among the nodes.

use {
    super::{
        BootClock, Moment, PeerNode, Seat, TenureRules, Term, cluster_view::ClusterView,
        duty::Duty, follow::follow, keys::Keys,
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

/// The time that a planned stop gives the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the tasks of a membership share.
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

/// How this node stands with the store.
#[derive(Debug)]
pub(super) struct Standing {
    /// Its lease.
    pub lease: Option<LeaseId>,
    /// When the last renewal that succeeded was sent.
    pub confirmed: Moment,
    /// Set from a freeze until a renewal that was sent after it succeeds.
    pub doubtful_since: Option<Instant>,
    /// No orders before this instant.
    pub orders_from: Instant,
    /// The version of the write that holds the seat, if this process holds it.
    pub token: Option<u64>,
    /// Those of the present lease and term.
    pub rules: TenureRules,
    /// Set once the node leaves.
    pub is_leaving: bool,
}

impl Shared {
    pub fn view(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bounds that the next lease and the next term begin under.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a full read of the keys.
    pub fn replace(&self, entries: &[Entry], version: StoreVersion) {
        self.view().replace(entries, version, Instant::now());
        self.publish_peers();
        self.publish_term();
        self.changed.notify_one();
    }

    /// Works in changes of the keys.
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

    /// Tells the peers if they changed.
    pub fn publish_peers(&self) {
        let peers = self.view().peers(&self.me.name, Instant::now());
        self.peers.send_if_modified(|known| {
            let differs = *known != peers;
            *known = peers;
            differs
        });
    }

    /// Tells whether this node may order, from how it stands and what it last read.
    ///
    /// Calls to the store may hang while the watch has already told that the seat is gone.
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

/// This node's part among the nodes: its entry in the store, its peers, and whether it leads.
pub struct Membership {
    /// The other nodes.
    pub peers: watch::Receiver<Vec<PeerNode>>,
    /// Set while this node gives the orders.
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
    /// Registers a node and takes part in the election; the tasks end with the value.
    pub fn start(store: SharedStore, own_prefix: &str, me: PeerNode, bounds: Bounds) -> Self {
        Self::start_with_clock(store, own_prefix, me, bounds, BootClock::default())
    }

    /// Does as [`Membership::start`] with another clock.
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
        tasks.spawn(super::guard::guard_term(shared.clone()));
        Self {
            peers: peers_receiver,
            term: term_receiver,
            shared,
            tasks: Mutex::new(tasks),
        }
    }

    /// Sets other bounds: the lease has them from its next grant on, orders from the next term on,
    /// and the wait for a former holder is at once the longer one.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self
            .shared
            .bounds
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Returns the node that leads and its fencing token, as last read.
    pub fn leader(&self) -> Option<(NodeName, u64)> {
        let view = self.shared.view();
        let stored = view.seat.as_ref()?;
        let seat = stored.seat.as_ref()?;
        Some((seat.node.clone(), stored.version.0.unsigned_abs()))
    }

    /// Leaves on a planned stop: gives no more orders, and ends the lease with all its keys.
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
            Ok(Ok(())) => log::info!("leader: left."),
            _ => log::warn!("leader: left without an answer; the lease lapses by itself."),
        }
    }
}
