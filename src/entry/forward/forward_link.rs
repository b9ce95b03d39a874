//! Connections between entries, on a thread of their own since capnp-rpc is single-threaded.

use {
    super::{
        ForwardError, ForwardedCall, ForwardedReply, Forwarder,
        forward_service::ForwardGate,
        forward_wire::{read_reply, write_call},
    },
    crate::{
        entry::Entry,
        membership::Member,
        peer::{Connection, Credentials, PeerError, connect_forward, serve_with_tls, with_timeout},
        peer_capnp::forward,
        security::AllowedRoles,
    },
    futures::future::BoxFuture,
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::{Builder, Handle},
        sync::{mpsc, oneshot},
        task::{LocalSet, spawn_local},
    },
};

/// The most calls queued for the connection thread.
const QUEUED_CALLS_MAX: usize = 1024;

/// The longest wait for the reply of another entry.
const REPLY_TIMEOUT: Duration = Duration::from_secs(120);

/// A call queued for another entry, with the channel for its reply.
#[derive(Debug)]
pub struct OutgoingCall {
    address: SocketAddr,
    call: ForwardedCall,
    reply: oneshot::Sender<Result<ForwardedReply, ForwardError>>,
}

/// Forwards calls over the connections of this entry to other entries.
#[derive(Debug)]
pub struct ForwardLink {
    calls: mpsc::Sender<OutgoingCall>,
}

/// Creates a forwarder and the receiver of its calls, to be passed to [`spawn_forward_link`].
pub fn forward_link() -> (ForwardLink, mpsc::Receiver<OutgoingCall>) {
    let (calls, receiver) = mpsc::channel(QUEUED_CALLS_MAX);
    (ForwardLink { calls }, receiver)
}

impl Forwarder for ForwardLink {
    fn forward<'a>(
        &'a self,
        member: &'a Member,
        call: ForwardedCall,
    ) -> BoxFuture<'a, Result<ForwardedReply, ForwardError>> {
        Box::pin(async move {
            let (reply, result) = oneshot::channel();
            let outgoing = OutgoingCall {
                address: member.entry_address,
                call,
                reply,
            };
            let closed = || ForwardError("the connection thread has stopped".to_owned());
            self.calls.send(outgoing).await.map_err(|_| closed())?;
            result.await.map_err(|_| closed())?
        })
    }
}

/// Starts the thread that sends calls to other entries and serves theirs; the thread runs until the
/// process ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be registered or the thread cannot be started.
pub fn spawn_forward_link(
    entry: Arc<Entry>,
    listener: std::net::TcpListener,
    credentials: Credentials,
    calls: mpsc::Receiver<OutgoingCall>,
) -> io::Result<()> {
    let request_runtime = Handle::current();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    listener.set_nonblocking(true)?;
    let listener = {
        let _context = runtime.enter();
        TcpListener::from_std(listener)?
    };
    std::thread::Builder::new()
        .name("forward-link".to_owned())
        .spawn(move || {
            let gate_key = credentials.key.clone();
            let tls = credentials.tls.as_ref();
            let tls = tls.map(|tls| tls.server(AllowedRoles::Nodes));
            let new_gate = move |login| {
                ForwardGate::client(
                    entry.clone(),
                    request_runtime.clone(),
                    gate_key.clone(),
                    login,
                )
            };
            let served = async {
                let serving_calls = serve_with_tls(listener, tls, new_gate);
                tokio::join!(serving_calls, send_calls(credentials, calls))
            };
            LocalSet::new().block_on(&runtime, served);
        })?;
    Ok(())
}

/// An open connection to another entry.
struct EntryConnection {
    address: SocketAddr,
    client: forward::Client,
    _connection: Connection,
}

type EntryConnections = Rc<RefCell<Vec<EntryConnection>>>;

async fn send_calls(credentials: Credentials, mut calls: mpsc::Receiver<OutgoingCall>) {
    let connections = EntryConnections::default();
    while let Some(outgoing) = calls.recv().await {
        let (credentials, connections) = (credentials.clone(), connections.clone());
        spawn_local(async move {
            let result =
                send_call(&credentials, &connections, outgoing.address, &outgoing.call).await;
            if result.is_err() {
                remove_connection(&connections, outgoing.address);
            }
            let result = result.map_err(|cause| ForwardError(cause.to_string()));
            let _ = outgoing.reply.send(result);
        });
    }
}

async fn send_call(
    credentials: &Credentials,
    connections: &EntryConnections,
    address: SocketAddr,
    call: &ForwardedCall,
) -> Result<ForwardedReply, PeerError> {
    let client = match find_connection(connections, address) {
        Some(client) => client,
        None => open_connection(credentials, connections, address).await?,
    };
    let mut request = client.call_request();
    write_call(call, request.get());
    let result = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
    read_reply(result.get()?)
}

async fn open_connection(
    credentials: &Credentials,
    connections: &EntryConnections,
    address: SocketAddr,
) -> Result<forward::Client, PeerError> {
    let (connection, client) = connect_forward(address, credentials).await?;
    remove_connection(connections, address);
    connections.borrow_mut().push(EntryConnection {
        address,
        client: client.clone(),
        _connection: connection,
    });
    Ok(client)
}

fn find_connection(connections: &EntryConnections, address: SocketAddr) -> Option<forward::Client> {
    let connections = connections.borrow();
    let connection = connections
        .iter()
        .find(|connection| connection.address == address)?;
    Some(connection.client.clone())
}

fn remove_connection(connections: &EntryConnections, address: SocketAddr) {
    connections
        .borrow_mut()
        .retain(|connection| connection.address != address);
}
