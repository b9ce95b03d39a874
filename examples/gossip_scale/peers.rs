//! Simulated peers that return the datagrams sent to them.

use {
    greengagetrail::gossip::{Item, Sender, decode, encode},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::JoinHandle,
        time::Duration,
    },
};

/// How long a peer waits for a datagram before it checks whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The datagrams and bytes so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub at_one_peer: u64,
    pub bytes_at_one_peer: u64,
    /// The bytes of demand items.
    pub demand_bytes: u64,
    pub returned: u64,
    pub bytes_returned: u64,
}

impl Counts {
    /// Returns the difference to earlier counts.
    pub fn since(self, before: Self) -> Self {
        Self {
            at_one_peer: self.at_one_peer - before.at_one_peer,
            bytes_at_one_peer: self.bytes_at_one_peer - before.bytes_at_one_peer,
            demand_bytes: self.demand_bytes - before.demand_bytes,
            returned: self.returned - before.returned,
            bytes_returned: self.bytes_returned - before.bytes_returned,
        }
    }
}

/// The peers: the first one reads its datagrams and responds for all; the others share a socket
/// that is not read.
pub struct PeerSet {
    first: UdpSocket,
    others: UdpSocket,
    count: usize,
    counts: Arc<Mutex<Counts>>,
}

/// The thread that sends the datagrams of all peers.
pub struct ReturnTask {
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl PeerSet {
    /// Binds the sockets.
    pub fn new(count: usize) -> io::Result<Self> {
        let first = UdpSocket::bind("127.0.0.1:0")?;
        first.set_read_timeout(Some(POLL_INTERVAL))?;
        Ok(Self {
            first,
            others: UdpSocket::bind("127.0.0.1:0")?,
            count,
            counts: Arc::default(),
        })
    }

    /// Returns the address of each peer.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let first = self.first.local_addr().into_iter();
        let others = self.others.local_addr().into_iter();
        first.chain(others.cycle().take(self.count - 1)).collect()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Sends each datagram that the first peer receives back to the node, once for each peer.
    pub fn return_datagrams(&self, node: SocketAddr) -> ReturnTask {
        let stopping = Arc::new(AtomicBool::new(false));
        let (stop, counts, count) = (stopping.clone(), self.counts.clone(), self.count);
        let first = self.first.try_clone();
        let thread = std::thread::spawn(move || {
            let Ok(socket) = first else { return };
            let mut buffer = vec![0; 8_192];
            while !stop.load(Ordering::Relaxed) {
                let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                {
                    let mut counts = lock(&counts);
                    counts.at_one_peer += 1;
                    counts.bytes_at_one_peer += length as u64;
                }
                answer_for_all(&socket, &buffer[..length], node, count, &counts);
            }
        });
        ReturnTask { stopping, thread }
    }
}

fn answer_for_all(
    socket: &UdpSocket,
    bytes: &[u8],
    node: SocketAddr,
    count: usize,
    counts: &Mutex<Counts>,
) {
    let Ok(datagram) = decode(bytes) else { return };
    lock(counts).demand_bytes += demand_bytes(&datagram.items);
    for peer in 0..count {
        let sender = Sender {
            node: format!("peer-{peer}").as_str().into(),
            start: peer as u64,
            config_version: datagram.sender.config_version,
        };
        for bytes in encode(&sender, datagram.items.iter().cloned()) {
            if socket.send_to(&bytes, node).is_ok() {
                let mut counts = lock(counts);
                counts.returned += 1;
                counts.bytes_returned += bytes.len() as u64;
            }
        }
        // Datagrams of all peers at once would overflow the receive buffer of the node's socket.
        if peer % 16 == 15 {
            std::thread::sleep(Duration::from_micros(300));
        }
    }
}

fn demand_bytes(items: &[Item]) -> u64 {
    let demand = items.iter().filter(|item| matches!(item, Item::Demand(_)));
    let bytes = demand.filter_map(|item| postcard::to_allocvec(item).ok());
    bytes.map(|bytes| bytes.len() as u64).sum()
}

impl ReturnTask {
    /// Stops the thread.
    pub fn stop(self) {
        self.stopping.store(true, Ordering::Relaxed);
        drop(self.thread.join());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
