//! TCP proxies between processes that can stop carrying bytes, either on all open connections or
//! between two regions.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        fs,
        io::{self, Read},
        net::{SocketAddr, SocketAddrV4},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
        time::sleep,
    },
};

/// Attempts to find the process of a connection; a new socket may not belong to it yet.
const LOOKUP_ATTEMPTS: usize = 10;
/// The type of a netlink message about one socket.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// The offset of the inode in the kernel's reply, in bytes.
const INODE_OFFSET: usize = 84;

/// The current faults of all links.
#[derive(Debug, Clone, Copy, Default)]
struct LinkFaults {
    /// How often connections were silenced; those opened before the last time carry no more bytes.
    silences: u64,
    /// Whether connections between the regions hold back their bytes.
    cut: bool,
}

/// The links of one system.
#[derive(Debug, Default)]
pub struct Links {
    faults: watch::Sender<LinkFaults>,
    /// Process ids with the regions of the processes.
    regions: Mutex<Vec<(u32, usize)>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Links {
    fn drop(&mut self) {
        for task in self.tasks.get_mut().unwrap() {
            task.abort();
        }
    }
}

impl Links {
    /// Assigns a process to a region.
    pub fn place(&self, process: u32, region: usize) {
        self.regions.lock().unwrap().push((process, region));
    }

    /// Makes all open connections stop carrying bytes permanently; new connections work.
    pub fn silence(&self) {
        self.faults.send_modify(|faults| faults.silences += 1);
    }

    /// Holds back all bytes between the regions, or lets them pass again.
    pub fn cut(&self, cut: bool) {
        self.faults.send_modify(|faults| faults.cut = cut);
    }

    /// Starts a proxy to an address in a region, and returns the proxy's address.
    pub fn link(self: &Arc<Self>, target: SocketAddr, region: usize) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let links = Arc::downgrade(self);
        let accepting = async move {
            while let Ok((inbound, from)) = listener.accept().await {
                let Some(links) = links.upgrade() else {
                    return;
                };
                // A connection whose process is not found is closed.
                let Some(from) = links.region_of(from, address).await else {
                    continue;
                };
                let crosses = from != region;
                let faults = links.faults.subscribe();
                let proxying = tokio::spawn(async move {
                    let _ = proxy_connection(inbound, target, faults, crosses).await;
                });
                links.tasks.lock().unwrap().push(proxying);
            }
        };
        let accepting = tokio::spawn(accepting);
        self.tasks.lock().unwrap().push(accepting);
        address
    }

    /// Returns the region of the process that owns this end of a connection.
    async fn region_of(&self, end: SocketAddr, other: SocketAddr) -> Option<usize> {
        for _ in 0..LOOKUP_ATTEMPTS {
            if let Some(region) = self.find_region(end, other) {
                return Some(region);
            }
            sleep(Duration::from_millis(1)).await;
        }
        None
    }

    fn find_region(&self, end: SocketAddr, other: SocketAddr) -> Option<usize> {
        let socket = format!("socket:[{}]", inode(end, other)?);
        let regions = self.regions.lock().unwrap().clone();
        let holds = |process: u32| {
            let open = fs::read_dir(format!("/proc/{process}/fd"));
            let mut open = open.into_iter().flatten().flatten();
            open.any(|file| fs::read_link(file.path()).is_ok_and(|it| it.as_os_str() == &*socket))
        };
        let found = regions.into_iter().find(|(process, _)| holds(*process));
        found.map(|(_, region)| region)
    }
}

/// Queries the kernel for the inode of the socket at this end of a connection.
///
/// Uses netlink, because reading the list of all sockets from `/proc` takes 0.2 s when there are
/// many, which delays every connection opened meanwhile.
fn inode(end: SocketAddr, other: SocketAddr) -> Option<u32> {
    let (SocketAddr::V4(end), SocketAddr::V4(other)) = (end, other) else {
        return None;
    };
    let protocol = Protocol::from(libc::NETLINK_SOCK_DIAG);
    let kernel = Socket::new(Domain::from(libc::AF_NETLINK), Type::DGRAM, Some(protocol));
    let mut kernel = kernel.unwrap();
    kernel.send(&inode_query(end, other)).unwrap();
    let mut reply = [0; 1024];
    let read = kernel.read(&mut reply).unwrap();
    let kind = u16::from_ne_bytes([reply[4], reply[5]]);
    if kind != SOCK_DIAG_BY_FAMILY || read < INODE_OFFSET + 4 {
        return None;
    }
    let inode = reply[INODE_OFFSET..INODE_OFFSET + 4].try_into().unwrap();
    Some(u32::from_ne_bytes(inode))
}

/// Returns the netlink message that requests the TCP socket of one connection.
fn inode_query(end: SocketAddrV4, other: SocketAddrV4) -> Vec<u8> {
    const LENGTH: u32 = 72;
    const REQUEST: u16 = 1;
    const ALL_STATES: u32 = u32::MAX;
    const NO_COOKIE: [u8; 8] = [0xff; 8];
    let mut query = Vec::new();
    query.extend(LENGTH.to_ne_bytes());
    query.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    query.extend(REQUEST.to_ne_bytes());
    query.extend([0; 8]);
    query.extend([libc::AF_INET as u8, libc::IPPROTO_TCP as u8, 0, 0]);
    query.extend(ALL_STATES.to_ne_bytes());
    for address in [end, other] {
        query.extend(address.port().to_be_bytes());
    }
    for address in [end, other] {
        query.extend(address.ip().octets());
        query.extend([0; 12]);
    }
    query.extend([0; 4]);
    query.extend(NO_COOKIE);
    query
}

async fn proxy_connection(
    inbound: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    crosses: bool,
) -> io::Result<()> {
    let opened = faults.borrow().silences;
    wait_for_link(&mut faults, crosses).await;
    let (from_caller, to_caller) = inbound.into_split();
    let (from_target, to_target) = TcpStream::connect(target).await?.into_split();
    let there = copy_bytes(from_caller, to_target, faults.clone(), opened, crosses);
    let back = copy_bytes(from_target, to_caller, faults, opened, crosses);
    futures::try_join!(there, back).map(|_| ())
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    opened: u64,
    crosses: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        wait_for_link(&mut faults, crosses).await;
        if faults.borrow().silences != opened {
            std::future::pending::<()>().await;
        }
        match read? {
            0 => return to.shutdown().await,
            read => to.write_all(&buffer[..read]).await?,
        }
    }
}

async fn wait_for_link(faults: &mut watch::Receiver<LinkFaults>, crosses: bool) {
    let _ = faults.wait_for(|faults| !(faults.cut && crosses)).await;
}
