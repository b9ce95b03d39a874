//! Links between processes, which can go silent or be cut between two regions.

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

/// Questions for a connection's process, which may not hold its socket yet.
const LOOKUPS: usize = 10;
/// The kind of the kernel's messages about one socket.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Where the inode stands in its answer.
const INODE_AT: usize = 84;

/// What all links do now.
#[derive(Debug, Clone, Copy, Default)]
struct Weather {
    /// Connections opened before the last silence carry nothing for good.
    silences: u64,
    /// Connections from one region to the other carry nothing until this is over.
    cut: bool,
}

/// The links of one system.
#[derive(Debug, Default)]
pub struct Links {
    weather: watch::Sender<Weather>,
    /// The processes with their regions.
    places: Mutex<Vec<(u32, usize)>>,
    carried: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Links {
    fn drop(&mut self) {
        for task in self.carried.get_mut().unwrap() {
            task.abort();
        }
    }
}

impl Links {
    /// Notes in which region a process runs.
    pub fn place(&self, process: u32, region: usize) {
        self.places.lock().unwrap().push((process, region));
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.weather.send_modify(|weather| weather.silences += 1);
    }

    /// Holds up all bytes between the regions, or lets them through again.
    pub fn cut(&self, cut: bool) {
        self.weather.send_modify(|weather| weather.cut = cut);
    }

    /// Makes a link to an address in a region, and returns where it is reached.
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
                // A connection whose process is not found is not carried.
                let Some(from) = links.region_of(from, address).await else {
                    continue;
                };
                let crosses = from != region;
                let weather = links.weather.subscribe();
                let carrying = tokio::spawn(async move {
                    let _ = carry(inbound, target, weather, crosses).await;
                });
                links.carried.lock().unwrap().push(carrying);
            }
        };
        let accepting = tokio::spawn(accepting);
        self.carried.lock().unwrap().push(accepting);
        address
    }

    /// Returns the region of the process that holds this end of a connection.
    async fn region_of(&self, end: SocketAddr, other: SocketAddr) -> Option<usize> {
        for _ in 0..LOOKUPS {
            if let Some(region) = self.find_region(end, other) {
                return Some(region);
            }
            sleep(Duration::from_millis(1)).await;
        }
        None
    }

    fn find_region(&self, end: SocketAddr, other: SocketAddr) -> Option<usize> {
        let socket = format!("socket:[{}]", inode(end, other)?);
        let places = self.places.lock().unwrap().clone();
        let holds = |process: u32| {
            let open = fs::read_dir(format!("/proc/{process}/fd"));
            let mut open = open.into_iter().flatten().flatten();
            open.any(|file| fs::read_link(file.path()).is_ok_and(|it| it.as_os_str() == &*socket))
        };
        let found = places.into_iter().find(|(process, _)| holds(*process));
        found.map(|(_, region)| region)
    }
}

/// Asks the kernel for the inode of the socket at this end of a connection.
///
/// The text of all sockets takes a fifth of a second where there are many, which holds up every
/// connection that comes meanwhile.
fn inode(end: SocketAddr, other: SocketAddr) -> Option<u32> {
    let (SocketAddr::V4(end), SocketAddr::V4(other)) = (end, other) else {
        return None;
    };
    let protocol = Protocol::from(libc::NETLINK_SOCK_DIAG);
    let kernel = Socket::new(Domain::from(libc::AF_NETLINK), Type::DGRAM, Some(protocol));
    let mut kernel = kernel.unwrap();
    kernel.send(&inode_query(end, other)).unwrap();
    let mut answer = [0; 1024];
    let read = kernel.read(&mut answer).unwrap();
    let kind = u16::from_ne_bytes([answer[4], answer[5]]);
    if kind != SOCK_DIAG_BY_FAMILY || read < INODE_AT + 4 {
        return None;
    }
    let inode = answer[INODE_AT..INODE_AT + 4].try_into().unwrap();
    Some(u32::from_ne_bytes(inode))
}

/// Returns the message that asks for the TCP socket of one connection.
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

async fn carry(
    inbound: TcpStream,
    target: SocketAddr,
    mut weather: watch::Receiver<Weather>,
    crosses: bool,
) -> io::Result<()> {
    let opened = weather.borrow().silences;
    hold_up(&mut weather, crosses).await;
    let (from_caller, to_caller) = inbound.into_split();
    let (from_target, to_target) = TcpStream::connect(target).await?.into_split();
    let there = pump(from_caller, to_target, weather.clone(), opened, crosses);
    let back = pump(from_target, to_caller, weather, opened, crosses);
    futures::try_join!(there, back).map(|_| ())
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut weather: watch::Receiver<Weather>,
    opened: u64,
    crosses: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        hold_up(&mut weather, crosses).await;
        if weather.borrow().silences != opened {
            std::future::pending::<()>().await;
        }
        match read? {
            0 => return to.shutdown().await,
            read => to.write_all(&buffer[..read]).await?,
        }
    }
}

async fn hold_up(weather: &mut watch::Receiver<Weather>, crosses: bool) {
    let _ = weather.wait_for(|weather| !(weather.cut && crosses)).await;
}
