//! What datagrams tell.

use {
    crate::{
        discovery::RunnerKey,
        dispatch::{LoadSum, ModelDemand, NodeLoad, ResidencyChange, RunnerHash, RunnerUsage},
        traffic::NodeName,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One piece of what a node tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// Its load on a runner.
    Load(RunnerKey, NodeLoad),
    /// The demand that it sees for one model or adapter.
    Demand(ModelDemand),
    /// A runner that is leaving or gone.
    Leaving(RunnerKey),
    /// A change of what a runner holds, with its number.
    Note(u64, ResidencyChange),
    /// A runner that it could not reach.
    Unreachable(RunnerKey),
    /// The load of several nodes on a runner; none ends it.
    Sum(RunnerHash, LoadSum),
    /// The requests of several nodes at a runner by variant.
    Use(RunnerUsage),
    /// Urgent news of any node.
    News(News),
    /// The newest configuration that was heard of, and who has it.
    Config(NodeName, u64),
}

/// Urgent news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The node that tells it first.
    pub origin: NodeName,
    /// The start of that node.
    pub start: u64,
    /// Counts the news of that start.
    pub number: u64,
    /// What happened.
    pub event: Event,
}

/// What urgent news is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A runner is leaving or gone.
    Leaving(RunnerKey),
    /// A runner could not be reached.
    Unreachable(RunnerKey),
    /// A change of what a runner holds.
    Held(ResidencyChange),
    /// The origin has a newer configuration.
    Config(u64),
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A node tells a peer of itself.
    Direct,
    /// A node tells its aggregator all of itself.
    Report(ReportHead),
    /// An aggregator tells a node of all.
    Digest(DigestHead),
    /// An aggregator tells another the sum of the nodes that report to it.
    Sum(SumHead),
    /// A node asks whether another lives.
    Ping,
    /// The answer; it names the aggregator of a node in a large system.
    Pong(Option<(NodeName, SocketAddr)>),
}

/// The head of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHead {
    /// Counts the reports.
    pub round: u32,
    /// The number of this part.
    pub part: u8,
    /// How many parts the report has.
    pub parts: u8,
    /// Whether it has the demand and the loads by variant.
    pub has_plan: bool,
    /// Whether the node has to know those of all nodes.
    pub plan_wanted: bool,
}

/// The head of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestHead {
    /// Whether it tells all; otherwise what changed.
    pub full: bool,
    /// Whether the sender's own list of peers is long.
    pub large: bool,
    /// The last report of the receiver that the sums include.
    pub heard: Option<Heard>,
}

/// The head of a sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumHead {
    /// Counts the sums.
    pub round: u32,
    /// The nodes that report to the sender.
    pub members: u16,
    /// Whether one of these has to know demand and loads by variant.
    pub plan_wanted: bool,
    /// The last sum that was heard from the receiver.
    pub heard: Option<Heard>,
}

/// The last round that was heard from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The start of the node.
    pub start: u64,
    /// The round.
    pub round: u32,
}
