//! RPC calls from one keeper to another.

use {
    super::{
        Connection, Credentials, PeerError, connect_peer, list_len, read_head, read_members,
        read_runners, with_timeout, write_demand, write_head, write_move, write_runner,
        write_texts,
    },
    crate::{
        config::{Digest, Head},
        fleet::{Demand, Move, RunnerState},
        membership::Member,
        peer_capnp::peer,
        units::VmName,
    },
    bytes::Bytes,
    std::{net::SocketAddr, time::Duration},
};

/// The longest wait for another keeper's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2000);

/// A logged-in connection to another keeper; each call has a timeout.
pub struct PeerClient {
    _connection: Connection,
    client: peer::Client,
}

impl PeerClient {
    /// Connects to a keeper. Must run in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails when connecting fails or times out, or the key is refused.
    pub async fn connect(
        address: SocketAddr,
        credentials: &Credentials,
    ) -> Result<Self, PeerError> {
        let (connection, client) = connect_peer(address, credentials).await?;
        Ok(Self {
            _connection: connection,
            client,
        })
    }

    /// Sends the own head in force, and returns that of the other keeper.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn exchange_head(
        &self,
        head: Option<&Head>,
        sender: SocketAddr,
    ) -> Result<Option<Head>, PeerError> {
        let mut request = self.client.exchange_head_request();
        if let Some(head) = head {
            write_head(head, request.get().init_head());
        }
        request.get().set_sender(sender.to_string());
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        read_head(reply.get()?.get_head()?)
    }

    /// Fetches blobs; those that the other keeper doesn't have are missing in the result.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn fetch(&self, digests: &[Digest]) -> Result<Vec<(Digest, Bytes)>, PeerError> {
        let mut request = self.client.fetch_request();
        let texts: Vec<_> = digests.iter().map(Digest::to_string).collect();
        write_texts(&texts, request.get().init_digests(list_len(texts.len())));
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        let mut blobs = Vec::new();
        for blob in reply.get()?.get_blobs()? {
            let digest = blob.get_digest()?.to_str()?.parse()?;
            blobs.push((digest, Bytes::copy_from_slice(blob.get_data()?)));
        }
        Ok(blobs)
    }

    /// Returns the members that the other keeper knows as live.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn members(&self) -> Result<Vec<Member>, PeerError> {
        let request = self.client.members_request();
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        read_members(reply.get()?.get_members()?)
    }

    /// Proposes moves to the owner of their runners, and returns the runners' current states.
    ///
    /// The call subscribes `sender` to changes of these runners for a limited time.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn propose(
        &self,
        sender: &VmName,
        moves: &[Move],
    ) -> Result<Vec<RunnerState>, PeerError> {
        let mut request = self.client.propose_request();
        request.get().set_sender(sender.as_str());
        let mut slots = request.get().init_moves(list_len(moves.len()));
        for (index, wanted) in (0..).zip(moves) {
            write_move(wanted, slots.reborrow().get(index));
        }
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        read_runners(reply.get()?.get_runners()?)
    }

    /// Reports demand that `sender` has collected.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn report_demand(&self, sender: &VmName, demand: &[Demand]) -> Result<(), PeerError> {
        let mut request = self.client.report_demand_request();
        request.get().set_sender(sender.as_str());
        let mut slots = request.get().init_demand(list_len(demand.len()));
        for (index, count) in (0..).zip(demand) {
            write_demand(count, slots.reborrow().get(index));
        }
        with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Reports changed runner states.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or times out, or the reply is invalid.
    pub async fn report_runners(&self, states: &[RunnerState]) -> Result<(), PeerError> {
        let mut request = self.client.report_runners_request();
        let mut slots = request.get().init_runners(list_len(states.len()));
        for (index, state) in (0..).zip(states) {
            write_runner(state, slots.reborrow().get(index));
        }
        with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        Ok(())
    }
}
