//! The links between entries, on a thread of their own since capnp-rpc is bound to one thread.

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

/// Calls that may wait for the links' thread.
const CALLS_MAX: usize = 1024;

/// The longest wait for the answer of another entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// A call to be forwarded to another entry.
#[derive(Debug)]
pub struct OutgoingCall {
    address: SocketAddr,
    call: ForwardedCall,
    reply: oneshot::Sender<Result<ForwardedReply, ForwardError>>,
}

/// Forwards calls over the links of this entry.
#[derive(Debug)]
pub struct ForwardLink {
    calls: mpsc::Sender<OutgoingCall>,
}

/// Makes a forwarder, and the receiver that [`spawn_forward_link`] serves.
pub fn forward_link() -> (ForwardLink, mpsc::Receiver<OutgoingCall>) {
    let (calls, receiver) = mpsc::channel(CALLS_MAX);
    (ForwardLink { calls }, receiver)
}

impl Forwarder for ForwardLink {
    fn forward<'a>(
        &'a self,
        member: &'a Member,
        call: ForwardedCall,
    ) -> BoxFuture<'a, Result<ForwardedReply, ForwardError>> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let outgoing = OutgoingCall {
                address: member.entry_address,
                call,
                reply,
            };
            let gone = || ForwardError("the links are closed".to_owned());
            self.calls.send(outgoing).await.map_err(|_| gone())?;
            answer.await.map_err(|_| gone())?
        })
    }
}

/// Starts the links' thread; it runs as long as the process.
///
/// # Errors
///
/// Fails when the listener cannot be registered or no thread can be had.
pub fn spawn_forward_link(
    entry: Arc<Entry>,
    listener: std::net::TcpListener,
    credentials: Credentials,
    calls: mpsc::Receiver<OutgoingCall>,
) -> io::Result<()> {
    let requests = Handle::current();
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
                ForwardGate::client(entry.clone(), requests.clone(), gate_key.clone(), login)
            };
            let served = async {
                let answering = serve_with_tls(listener, tls, new_gate);
                tokio::join!(answering, send_calls(credentials, calls))
            };
            LocalSet::new().block_on(&runtime, served);
        })?;
    Ok(())
}

/// The open connection to one entry.
struct Link {
    address: SocketAddr,
    client: forward::Client,
    _connection: Connection,
}

type Links = Rc<RefCell<Vec<Link>>>;

async fn send_calls(credentials: Credentials, mut calls: mpsc::Receiver<OutgoingCall>) {
    let links = Links::default();
    while let Some(outgoing) = calls.recv().await {
        let (credentials, links) = (credentials.clone(), links.clone());
        spawn_local(async move {
            let answer = send_call(&credentials, &links, outgoing.address, &outgoing.call).await;
            if answer.is_err() {
                forget(&links, outgoing.address);
            }
            let answer = answer.map_err(|cause| ForwardError(cause.to_string()));
            let _ = outgoing.reply.send(answer);
        });
    }
}

async fn send_call(
    credentials: &Credentials,
    links: &Links,
    address: SocketAddr,
    call: &ForwardedCall,
) -> Result<ForwardedReply, PeerError> {
    let client = match find(links, address) {
        Some(client) => client,
        None => open(credentials, links, address).await?,
    };
    let mut request = client.call_request();
    write_call(call, request.get());
    let answer = with_timeout(ANSWER_TIMEOUT, request.send().promise).await?;
    read_reply(answer.get()?)
}

async fn open(
    credentials: &Credentials,
    links: &Links,
    address: SocketAddr,
) -> Result<forward::Client, PeerError> {
    let (connection, client) = connect_forward(address, credentials).await?;
    forget(links, address);
    links.borrow_mut().push(Link {
        address,
        client: client.clone(),
        _connection: connection,
    });
    Ok(client)
}

fn find(links: &Links, address: SocketAddr) -> Option<forward::Client> {
    let links = links.borrow();
    let link = links.iter().find(|link| link.address == address)?;
    Some(link.client.clone())
}

fn forget(links: &Links, address: SocketAddr) {
    links.borrow_mut().retain(|link| link.address != address);
}
