//! RPC service for the calls that other entries forward to this one.

use {
    super::forward_wire::{read_call, write_reply},
    crate::{
        entry::Entry,
        peer::{LoginState, SharedKey},
        peer_capnp::{forward, gate},
    },
    capnp::Error,
    std::{rc::Rc, sync::Arc},
    tokio::runtime::Handle,
};

/// Login service of a connection from another entry.
pub(super) struct ForwardGate {
    entry: Arc<Entry>,
    runtime: Handle,
    key: SharedKey,
    login: LoginState,
}

/// Dispatches the forwarded calls of an authenticated connection.
struct ForwardService {
    entry: Arc<Entry>,
    runtime: Handle,
}

impl ForwardGate {
    /// Creates the login service of one connection; forwarded calls run on `runtime`.
    pub(super) fn client(
        entry: Arc<Entry>,
        runtime: Handle,
        key: SharedKey,
        login: LoginState,
    ) -> gate::Client {
        capnp_rpc::new_client(Self {
            entry,
            runtime,
            key,
            login,
        })
    }
}

impl gate::Server for ForwardGate {
    async fn forward(
        self: Rc<Self>,
        params: gate::ForwardParams,
        mut results: gate::ForwardResults,
    ) -> Result<(), Error> {
        if !self.key.matches(params.get()?.get_key()?) {
            log::warn!("entry: refused the login of a process with a wrong key");
            return Err(Error::failed("login refused".to_owned()));
        }
        self.login.mark_logged_in();
        let service = ForwardService {
            entry: self.entry.clone(),
            runtime: self.runtime.clone(),
        };
        results.get().set_forward(capnp_rpc::new_client(service));
        Ok(())
    }
}

impl forward::Server for ForwardService {
    async fn call(
        self: Rc<Self>,
        params: forward::CallParams,
        mut results: forward::CallResults,
    ) -> Result<(), Error> {
        let call = read_call(params.get()?)?;
        let entry = self.entry.clone();
        let result = self
            .runtime
            .spawn(async move { entry.handle_forwarded(call).await });
        let reply = result
            .await
            .map_err(|cause| Error::failed(cause.to_string()))?;
        write_reply(&reply, results.get());
        Ok(())
    }
}
