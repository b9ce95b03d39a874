//! Logs in processes and operators.

use {
    crate::{
        peer::{LoginState, SharedKey},
        peer_capnp::{entry_link, gate, operator, peer},
    },
    capnp::Error,
    std::rc::Rc,
};

/// Who may log in at a listener, and what each gets.
#[derive(Clone)]
pub enum LoginCapabilities {
    /// The listener for processes of the system.
    Processes {
        /// The shared key of the processes.
        key: SharedKey,
        /// What other keepers get.
        peer: peer::Client,
        /// What the entry of this VM gets.
        entry: entry_link::Client,
    },
    /// The listener for operators.
    Operators {
        /// The shared key of the operators.
        key: SharedKey,
        /// What operators get.
        operator: operator::Client,
    },
}

/// The gate of one connection.
pub struct GateService {
    roles: LoginCapabilities,
    login: LoginState,
}

impl GateService {
    /// Makes the gate of one connection.
    pub fn client(roles: LoginCapabilities, login: LoginState) -> gate::Client {
        capnp_rpc::new_client(Self { roles, login })
    }

    fn log_in(&self, key: &SharedKey, offered: &[u8]) -> Result<(), Error> {
        if !key.matches(offered) {
            log::warn!("gate: a wrong key was offered.");
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
