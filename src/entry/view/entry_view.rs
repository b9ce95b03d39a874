//! The view that an entry receives from the keeper of its VM, and the report that it sends back.

use {
    crate::{
        config::{Catalog, Head},
        fleet::{Demand, RunnerState},
        membership::Member,
        units::RunnerName,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// A receiver of the latest view.
pub type ViewReceiver = watch::Receiver<Arc<EntryView>>;

/// The state of the deployment as known to an entry.
#[derive(Debug, Clone, Default)]
pub struct EntryView {
    /// The configuration revision in force, or `None` before the first one.
    pub head: Option<Head>,
    /// The configured objects of that revision.
    pub catalog: Arc<Catalog>,
    /// The runners, sorted by name.
    pub runners: Vec<RunnerState>,
    /// The live VMs.
    pub members: Vec<Member>,
    /// The backend servers that the platform lists as leaving, sorted.
    pub leaving: Vec<SocketAddr>,
    /// Whether an operator requested a drain of this VM.
    pub draining: bool,
}

/// A report of an entry to the keeper of its VM.
#[derive(Debug, Clone, Default)]
pub struct EntryReport {
    /// The demand since the last report.
    pub demand: Vec<Demand>,
    /// The runners that the entry suspects to have failed or that announced to leave.
    pub suspects: Vec<RunnerName>,
}
