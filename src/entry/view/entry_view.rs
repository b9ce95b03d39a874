//! What an entry learns from the keeper of its VM, and what it reports back.

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

/// A receiver of the newest view.
pub type ViewReceiver = watch::Receiver<Arc<EntryView>>;

/// The deployment as an entry sees it at one moment.
#[derive(Debug, Clone, Default)]
pub struct EntryView {
    /// The revision in force, or `None` before the first one.
    pub head: Option<Head>,
    /// The objects of that revision.
    pub catalog: Arc<Catalog>,
    /// The runners, sorted by name.
    pub runners: Vec<RunnerState>,
    /// The live VMs.
    pub members: Vec<Member>,
    /// The backend servers that the platform lists as leaving, sorted.
    pub leaving: Vec<SocketAddr>,
    /// Whether an operator asked this VM to drain.
    pub draining: bool,
}

/// What an entry reports to the keeper of its VM.
#[derive(Debug, Clone, Default)]
pub struct EntryReport {
    /// The demand since the last report.
    pub demand: Vec<Demand>,
    /// Runners that look dead or leaving from here.
    pub suspects: Vec<RunnerName>,
}
