//! The content of datagrams. `postcard` encodes fields and variants by position.

use {
    crate::{
        discovery::RunnerKey,
        dispatch::{
            LimitReport, LoadSum, ModelDemand, NodeLoad, PEER_SUSPICION, ResidencyChange,
            RunnerHash, RunnerUsage, SpeedReport,
        },
        quarantine::QuarantineMessage,
        traffic::NodeName,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// How long an event is kept for nodes that begin to report to an aggregator, unless it is outdated
/// before.
const EVENT_TTL: Duration = Duration::from_secs(3);

/// One element of a datagram's body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// The sending node's load on a runner.
    Load(RunnerKey, NodeLoad),
    /// The demand that the sender sees for one model or adapter.
    Demand(ModelDemand),
    /// A runner that is leaving or gone.
    Leaving(RunnerKey),
    /// A change of the models that a runner holds, with its sequence number.
    Note(u64, ResidencyChange),
    /// A runner that the sender could not reach.
    Unreachable(RunnerKey),
    /// The sum of several nodes' load on a runner; an empty sum ends an earlier one.
    Sum(RunnerHash, LoadSum),
    /// The sum of several nodes' requests at a runner by variant.
    Use(RunnerUsage),
    /// An urgent event of any node.
    News(UrgentEvent),
    /// The newest configuration version that the sender knows of, and a node that has it.
    Config(NodeName, u64),
    /// A crashed runner, or a content that is harmless or quarantined.
    Quarantine(QuarantineMessage),
    /// The limit that a runner names.
    Limit(LimitReport),
    /// A runner whose response said that it leaves.
    StatedLeaving(RunnerKey),
    /// How slow a runner is now; sent in datagrams of its own.
    Speed(SpeedReport),
}

/// An urgent event, which each node delivers once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentEvent {
    /// The node that published the event.
    pub origin: NodeName,
    /// Identifies the origin's process.
    pub start: u64,
    /// The sequence number within that process.
    pub number: u64,
    /// What happened.
    pub event: Event,
}

/// How much depends on an event; the first ones are sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A rule depends on the event: runners and versions that must not be used any more.
    Binding,
    /// Requests that could be served are refused until the event is known.
    Serving,
    /// The event counts besides others of its kind.
    Evidence,
    /// The event is a hint that others repeat.
    Hint,
}

/// The content of an urgent event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A runner is leaving or gone.
    Leaving(RunnerKey),
    /// A runner could not be reached.
    Unreachable(RunnerKey),
    /// A change of the models that a runner holds.
    Held(ResidencyChange),
    /// The origin has a configuration of this version.
    Config(u64),
    /// A crashed runner, or a content that is harmless or quarantined.
    Quarantine(QuarantineMessage),
    /// The limit that a runner names changed.
    Limit(LimitReport),
    /// A response of a runner said that it leaves.
    StatedLeaving(RunnerKey),
}

impl Event {
    /// Returns how much depends on the event.
    pub(super) fn urgency(&self) -> Urgency {
        match self {
            Self::Leaving(_) | Self::StatedLeaving(_) | Self::Config(_) | Self::Limit(_) => {
                Urgency::Binding
            }
            Self::Held(_) | Self::Quarantine(QuarantineMessage::Verdict(_)) => Urgency::Serving,
            Self::Quarantine(QuarantineMessage::Crash(_)) => Urgency::Evidence,
            Self::Unreachable(_) | Self::Quarantine(QuarantineMessage::Harmless(_)) => {
                Urgency::Hint
            }
        }
    }

    /// Returns the label of the event's kind in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Leaving(_) => "leaving",
            Self::Unreachable(_) => "unreachable",
            Self::Held(_) => "held",
            Self::Config(_) => "config",
            Self::Quarantine(QuarantineMessage::Crash(_)) => "crash",
            Self::Quarantine(QuarantineMessage::Harmless(_)) => "harmless",
            Self::Quarantine(QuarantineMessage::Verdict(_)) => "verdict",
            Self::Limit(_) => "limit",
            Self::StatedLeaving(_) => "stated_leaving",
        }
    }

    /// Returns how long the event is of use to nodes that receive it.
    pub fn ttl(&self) -> Duration {
        match self {
            Self::Unreachable(_) => PEER_SUSPICION,
            Self::Leaving(_)
            | Self::Held(_)
            | Self::Config(_)
            | Self::Quarantine(_)
            | Self::Limit(_)
            | Self::StatedLeaving(_) => EVENT_TTL,
        }
    }
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramKind {
    /// A node sends its own state to a peer.
    Direct,
    /// A node sends its whole state to its aggregator.
    Report(ReportHead),
    /// An aggregator sends the sums of the whole system to a node that reports to it.
    Digest(DigestHead),
    /// An aggregator sends the sums of the nodes that report to it to another aggregator.
    Sum(SumHead),
    /// A probe of a node that does not respond.
    Ping,
    /// The response to a probe or a direct datagram; names the sender's aggregator, if any.
    Pong(Option<(NodeName, SocketAddr)>),
}

/// The head of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHead {
    /// The number of the report, ascending.
    pub round: u32,
    /// The index of this datagram among the parts of the report.
    pub part: u8,
    /// The number of parts of the report.
    pub parts: u8,
    /// Whether the report has all demand and usage by variant.
    pub has_plan: bool,
    /// Whether the sender plans, and so needs the demand and usage of all nodes.
    pub plan_wanted: bool,
}

/// The head of a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestHead {
    /// Whether the digest holds all sums; otherwise only changed ones.
    pub full: bool,
    /// Whether the sender's own list of peers is long enough for aggregation.
    pub large: bool,
    /// The last report of the receiver that the sums include.
    pub heard: Option<ReceivedRound>,
}

/// The head of a sum round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumHead {
    /// The number of the sum round, ascending.
    pub round: u32,
    /// The number of nodes that report to the sender.
    pub members: u16,
    /// Whether one of these nodes plans, and so needs the demand and usage of all nodes.
    pub plan_wanted: bool,
    /// The last sum round that arrived from the receiver.
    pub heard: Option<ReceivedRound>,
}

/// Acknowledges the last round that arrived from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRound {
    /// Identifies the node's process.
    pub start: u64,
    /// The number of the round.
    pub round: u32,
}
