//! Checks the shared key of a new connection and returns the capability it asks for.

use {
    crate::{
        peer::{LoginState, SharedKey},
        peer_capnp::{entry_link, gate, operator, peer},
    },
    capnp::Error,
    std::rc::Rc,
};

/// The key that a listener accepts, and the capabilities that it grants after login.
#[derive(Clone)]
pub enum LoginCapabilities {
    /// The listener for processes of the system.
    Processes {
        /// The shared key of the processes.
        key: SharedKey,
        /// The capability granted to other keepers.
        peer: peer::Client,
        /// The capability granted to the entry of this VM.
        entry: entry_link::Client,
    },
    /// The listener for operators.
    Operators {
        /// The shared key of the operators.
        key: SharedKey,
        /// The capability granted to operators.
        operator: operator::Client,
    },
}

/// The login service of one connection; implements the `Gate` interface.
pub struct GateService {
    roles: LoginCapabilities,
    login: LoginState,
}

impl GateService {
    /// Creates the login service of one connection and returns a capability for it.
    pub fn client(roles: LoginCapabilities, login: LoginState) -> gate::Client {
        capnp_rpc::new_client(Self { roles, login })
    }

    fn log_in(&self, key: &SharedKey, offered: &[u8]) -> Result<(), Error> {
        if !key.matches(offered) {
            log::warn!("gate: login refused: wrong key.");
            return Err(refused());
        }
        self.login.mark_logged_in();
        Ok(())
    }
}

fn refused() -> Error {
    Error::failed("login refused: wrong key or wrong port".to_owned())
}

impl gate::Server for GateService {
    async fn peer(
        self: Rc<Self>,
        params: gate::PeerParams,
        mut results: gate::PeerResults,
    ) -> Result<(), Error> {
        let LoginCapabilities::Processes { key, peer, .. } = &self.roles else {
            return Err(refused());
        };
        self.log_in(key, params.get()?.get_key()?)?;
        results.get().set_peer(peer.clone());
        Ok(())
    }

    async fn entry(
        self: Rc<Self>,
        params: gate::EntryParams,
        mut results: gate::EntryResults,
    ) -> Result<(), Error> {
        let LoginCapabilities::Processes { key, entry, .. } = &self.roles else {
            return Err(refused());
        };
        self.log_in(key, params.get()?.get_key()?)?;
        results.get().set_link(entry.clone());
        Ok(())
    }

    async fn operator(
        self: Rc<Self>,
        params: gate::OperatorParams,
        mut results: gate::OperatorResults,
    ) -> Result<(), Error> {
        let LoginCapabilities::Operators { key, operator } = &self.roles else {
            return Err(refused());
        };
        self.log_in(key, params.get()?.get_key()?)?;
        results.get().set_operator(operator.clone());
        Ok(())
    }
}
