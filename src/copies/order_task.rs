//! Gives the orders while this node leads.

use {
    super::OrderListener,
    crate::{
        dispatch::RunnerBoard,
        leader::Term,
        node::{Bounds, RunnerControl},
        traffic::{NodeName, TrafficBoard},
    },
    std::{fmt, sync::Arc},
    tokio::sync::watch,
};

/// Plans what runners hold, and gives the orders while this node leads.
pub struct OrderTask {
    /// What this node knows of runners and demand.
    pub board: Arc<RunnerBoard>,
    /// The configuration in force.
    pub traffic: Arc<TrafficBoard>,
    /// The calls to runners.
    pub control: Arc<dyn RunnerControl>,
    /// Set while this node leads.
    pub term: watch::Receiver<Option<Term>>,
    /// Told of what was ordered.
    pub listener: Arc<dyn OrderListener>,
    /// This node.
    pub node: NodeName,
    /// The platform's bounds.
    pub bounds: Bounds,
}

impl fmt::Debug for OrderTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrderTask")
    }
}

impl OrderTask {
    /// Runs for ever.
    pub async fn run(self) {
        futures::future::pending().await
    }
}
