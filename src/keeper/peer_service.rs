//! Serves the RPC calls of other keepers.

use {
    super::{DemandReport, HeadOffer, KeeperGossip, KeeperState},
    crate::{
        config::Digest,
        fleet::{Move, RunnerState},
        peer::{
            PeerError, list_len, read_demands, read_head, read_moves, read_runners, read_texts,
            write_head, write_member, write_runner,
        },
        peer_capnp::peer,
        units::VmName,
    },
    capnp::Error,
    std::{net::SocketAddr, rc::Rc},
    tokio::sync::{mpsc, oneshot},
};

/// The largest number of blobs that one call may fetch.
const FETCHED_BLOBS_MAX: u32 = 64;

/// Moves proposed for runners that this VM owns.
#[derive(Debug)]
pub struct Proposal {
    /// The VM that proposes the moves.
    pub sender: VmName,
    /// The proposed moves.
    pub moves: Vec<Move>,
    /// Receives the current states of the runners concerned.
    pub reply: oneshot::Sender<Vec<RunnerState>>,
}

/// Channels to the tasks that process the calls of other keepers.
#[derive(Debug, Clone)]
pub struct PeerChannels {
    /// Announced heads.
    pub offers: mpsc::Sender<HeadOffer>,
    /// Demand counts for the planner.
    pub demand: mpsc::Sender<DemandReport>,
    /// Moves for owned runners.
    pub proposals: mpsc::Sender<Proposal>,
    /// Runner states reported by their owners.
    pub states: mpsc::Sender<Vec<RunnerState>>,
}

/// Serves the RPC calls of other keepers.
pub struct PeerService {
    state: KeeperState,
    gossip: Rc<KeeperGossip>,
    channels: PeerChannels,
}

impl PeerService {
    /// Creates the service and returns a capability for it.
    pub fn client(
        state: KeeperState,
        gossip: Rc<KeeperGossip>,
        channels: PeerChannels,
    ) -> peer::Client {
        capnp_rpc::new_client(Self {
            state,
            gossip,
            channels,
        })
    }
}

impl peer::Server for PeerService {
    async fn exchange_head(
        self: Rc<Self>,
        params: peer::ExchangeHeadParams,
        mut results: peer::ExchangeHeadResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let sender: Option<SocketAddr> = params.get_sender()?.to_str()?.parse().ok();
        if let Some(head) = read_head(params.get_head()?)? {
            let _ = self
                .channels
                .offers
                .try_send(HeadOffer { head, peer: sender });
        }
        if let Some(head) = self.state.head() {
            write_head(&head, results.get().init_head());
        }
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: peer::FetchParams,
        mut results: peer::FetchResults,
    ) -> Result<(), Error> {
        let digests = params.get()?.get_digests()?;
        if digests.len() > FETCHED_BLOBS_MAX {
            return Err(Error::failed("too many digests in one call".to_owned()));
        }
        let wanted: Vec<Digest> = read_texts(digests)?;
        let blobs = self.state.blobs(&wanted);
        let mut slots = results.get().init_blobs(list_len(blobs.len()));
        for (index, blob) in (0..).zip(&blobs) {
            let mut slot = slots.reborrow().get(index);
            slot.set_digest(blob.digest().to_string());
            slot.set_data(blob.data());
        }
        Ok(())
    }

    async fn report_demand(
        self: Rc<Self>,
        params: peer::ReportDemandParams,
        _results: peer::ReportDemandResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let report = DemandReport {
            sender: read_vm(params.get_sender()?)?,
            demand: read_demands(params.get_demand()?)?,
        };
        self.channels.demand.send(report).await.map_err(stopping)
    }

    async fn propose(
        self: Rc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let (reply, states) = oneshot::channel();
        let proposal = Proposal {
            sender: read_vm(params.get_sender()?)?,
            moves: read_moves(params.get_moves()?)?,
            reply,
        };
        self.channels
            .proposals
            .send(proposal)
            .await
            .map_err(stopping)?;
        let states = states.await.map_err(stopping)?;
        let mut slots = results.get().init_runners(list_len(states.len()));
        for (index, state) in (0..).zip(&states) {
            write_runner(state, slots.reborrow().get(index));
        }
        Ok(())
    }

    async fn report_runners(
        self: Rc<Self>,
        params: peer::ReportRunnersParams,
        _results: peer::ReportRunnersResults,
    ) -> Result<(), Error> {
        let states = read_runners(params.get()?.get_runners()?)?;
        let urgent = self.state.find_urgent(&states);
        let _ = self.channels.states.send(states).await;
        if !urgent.is_empty() {
            self.gossip.push_urgent_states(urgent);
        }
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        _params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let members = self.state.members();
        let mut slots = results.get().init_members(list_len(members.len()));
        for (index, member) in (0..).zip(&members) {
            write_member(member, slots.reborrow().get(index));
        }
        Ok(())
    }
}

fn read_vm(text: capnp::text::Reader<'_>) -> Result<VmName, PeerError> {
    Ok(text.to_str()?.parse()?)
}

fn stopping(_: impl std::error::Error) -> Error {
    Error::overloaded("this keeper is stopping".to_owned())
}
