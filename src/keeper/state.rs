//! The state that the tasks of a keeper share; single-threaded.

use {
    super::RunnerVersions,
    crate::{
        config::{
            ActivationError, Blob, Configuration, Digest, EncodedSnapshot, Head, HeadComparison,
            HeadOrigin, HistoryFault, RevisionFollower,
        },
        fleet::RunnerState,
        membership::{Member, MemberList},
        telemetry::REVISION,
        units::{Revision, RunnerName},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::{Notify, watch},
};

/// A received head, with a peer that has its content.
#[derive(Debug, Clone)]
pub struct HeadOffer {
    /// The head.
    pub head: Head,
    /// The keeper that has the content; `None` when the head came from the key-value service.
    pub peer: Option<SocketAddr>,
}

/// Changes of an entry's view since a version.
#[derive(Debug)]
pub struct ViewChanges {
    /// The version after the changes.
    pub version: u64,
    /// Whether the VM is draining.
    pub draining: bool,
    /// The runners that changed.
    pub runners: Vec<RunnerState>,
    /// All live members; empty if they did not change.
    pub members: Vec<Member>,
    /// The backend servers that the platform lists as leaving, sorted.
    pub leaving: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct StateData {
    follower: RevisionFollower,
    member_list: MemberList,
    members_version: u64,
    runners: RunnerVersions,
    draining: bool,
    leaving: Vec<SocketAddr>,
}

/// The state that the tasks of a keeper share; single-threaded.
#[derive(Debug, Clone)]
pub struct KeeperState {
    inner: Rc<RefCell<StateData>>,
    version: Rc<watch::Sender<u64>>,
    revision: Rc<watch::Sender<Revision>>,
    members: Rc<watch::Sender<u64>>,
    plan_request: Rc<Notify>,
}

impl Default for KeeperState {
    fn default() -> Self {
        Self {
            inner: Rc::default(),
            version: Rc::new(watch::channel(1).0),
            revision: Rc::new(watch::channel(Revision(0)).0),
            members: Rc::new(watch::channel(0).0),
            plan_request: Rc::default(),
        }
    }
}

impl KeeperState {
    /// Returns the configuration in force, if there is one.
    pub fn in_force(&self) -> Option<Configuration> {
        self.inner.borrow().follower.current().cloned()
    }

    /// Returns the head of the configuration in force, if there is one.
    pub fn head(&self) -> Option<Head> {
        let inner = self.inner.borrow();
        inner.follower.current().map(|current| current.head.clone())
    }

    /// Returns the newest head that was received or is in force.
    pub fn newest_known(&self) -> Option<Head> {
        self.inner.borrow().follower.newest_known().cloned()
    }

    /// Records a received head, and returns how it compares with the one in force.
    pub fn record_head(&self, head: &Head, origin: HeadOrigin) -> HeadComparison {
        self.inner.borrow_mut().follower.record_head(head, origin)
    }

    /// Activates a fetched snapshot if its head is still newer than the one in force.
    ///
    /// Returns whether the snapshot came into force.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot doesn't match the head or cannot be decoded.
    pub fn activate_if_newer(
        &self,
        head: Head,
        snapshot: EncodedSnapshot,
    ) -> Result<bool, ActivationError> {
        let revision = head.revision;
        let activated = self
            .inner
            .borrow_mut()
            .follower
            .activate_if_newer(head, snapshot)?;
        if activated {
            self.revision.send_replace(revision);
            metrics::gauge!(REVISION).set(revision.0 as f64);
            self.plan_request.notify_one();
        }
        Ok(activated)
    }

    /// Returns the faults found in the history of revisions.
    pub fn history_faults(&self) -> Vec<HistoryFault> {
        self.inner.borrow().follower.faults()
    }

    /// Returns the blobs of the configuration in force whose digests are in `wanted`.
    pub fn blobs(&self, wanted: &[Digest]) -> Vec<Blob> {
        let inner = self.inner.borrow();
        let Some(current) = inner.follower.current() else {
            return Vec::new();
        };
        let found = wanted
            .iter()
            .filter_map(|digest| current.snapshot.blob(*digest).ok());
        found.cloned().collect()
    }

    /// Returns a receiver of the revision in force.
    pub fn watch_revision(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns a receiver of the version of runners, members, leaving backend servers and the
    /// drain flag.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns a receiver that is notified when the live members change.
    pub fn watch_members(&self) -> watch::Receiver<u64> {
        self.members.subscribe()
    }

    /// Waits until a runner was lost or is leaving, or another configuration came into force.
    pub async fn plan_requested(&self) {
        self.plan_request.notified().await;
    }

    /// Returns the live members, sorted by name.
    pub fn members(&self) -> Vec<Member> {
        self.inner.borrow().member_list.members()
    }

    /// Changes the member list; `change` returns whether the live members changed.
    pub fn update_members(&self, change: impl FnOnce(&mut MemberList) -> bool) {
        if change(&mut self.inner.borrow_mut().member_list) {
            let version = self.next_version();
            self.inner.borrow_mut().members_version = version;
            self.members.send_replace(version);
            self.announce(version);
        }
    }

    /// Returns the state of a runner.
    pub fn runner(&self, name: &RunnerName) -> Option<RunnerState> {
        self.inner.borrow().runners.get(name).cloned()
    }

    /// Returns the states of all runners, sorted by name.
    pub fn runners(&self) -> Vec<RunnerState> {
        self.inner.borrow().runners.changed_since(0)
    }

    /// Applies newer states of runners, and returns those that changed something.
    ///
    /// States that are equal to the known one or come from an earlier owner are ignored. A newly
    /// lost or leaving runner requests a plan.
    pub fn update_runners(&self, states: &[RunnerState]) -> Vec<RunnerState> {
        let version = self.next_version();
        let urgent = !self.find_urgent(states).is_empty();
        let changed = self.inner.borrow_mut().runners.update(states, version);
        if !changed.is_empty() {
            self.announce(version);
        }
        if urgent {
            self.plan_request.notify_one();
        }
        changed
    }

    /// Returns the states that report a leaving or lost runner for the first time.
    pub fn find_urgent(&self, states: &[RunnerState]) -> Vec<RunnerState> {
        self.inner.borrow().runners.find_urgent(states)
    }

    /// Returns the backend servers that the platform lists as leaving, sorted.
    pub fn leaving_backends(&self) -> Vec<SocketAddr> {
        self.inner.borrow().leaving.clone()
    }

    /// Sets the backend servers that the platform lists as leaving.
    pub fn set_leaving_backends(&self, mut leaving: Vec<SocketAddr>) {
        leaving.sort_unstable();
        if self.inner.borrow().leaving == leaving {
            return;
        }
        self.inner.borrow_mut().leaving = leaving;
        let version = self.next_version();
        self.announce(version);
    }

    /// Returns whether this VM is draining.
    pub fn draining(&self) -> bool {
        self.inner.borrow().draining
    }

    /// Waits until a drain of this VM starts.
    pub async fn wait_for_drain(&self) {
        let mut versions = self.watch_version();
        while !self.draining() {
            if versions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Starts the drain of this VM.
    pub fn start_draining(&self) {
        self.inner.borrow_mut().draining = true;
        let version = self.next_version();
        self.announce(version);
    }

    /// Returns the changes since version `known`.
    pub fn changes_since(&self, known: u64) -> ViewChanges {
        let inner = self.inner.borrow();
        let members_changed = inner.members_version > known;
        ViewChanges {
            version: *self.version.borrow(),
            draining: inner.draining,
            leaving: inner.leaving.clone(),
            runners: inner.runners.changed_since(known),
            members: if members_changed {
                inner.member_list.members()
            } else {
                Vec::new()
            },
        }
    }

    fn next_version(&self) -> u64 {
        *self.version.borrow() + 1
    }

    /// Publishes a new version to its receivers.
    fn announce(&self, version: u64) {
        self.version.send_replace(version);
    }
}
