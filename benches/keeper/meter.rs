//! Counts the bytes that pass a relay, and reads what a process spends.

use {
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Bytes of TCP and IP headers that a segment brings with it.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// The bytes that passed some relays.
#[derive(Debug, Clone, Default)]
pub struct ByteCount(Arc<AtomicU64>);

impl ByteCount {
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Starts a relay to `target` and returns where it listens.
    pub async fn relay(&self, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let count = self.clone();
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                tokio::spawn(count.clone().connect(inner, target));
            }
        });
        address
    }

    async fn connect(self, inner: TcpStream, target: SocketAddr) {
        let Ok(outer) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
        let (from_inner, to_inner) = inner.into_split();
        let (from_outer, to_outer) = outer.into_split();
        let forth = self.copy(from_inner, to_outer);
        let back = self.copy(from_outer, to_inner);
        futures::join!(forth, back);
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
            let bytes = count as u64 + SEGMENT_HEADER_BYTES;
            self.0.fetch_add(bytes, Ordering::Relaxed);
        }
        let _ = to.shutdown().await;
    }
}

/// Returns the resident memory of a process in MiB.
pub fn resident_mib(process_id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| {
        text.trim()
            .trim_end_matches("kB")
            .trim()
            .parse::<f64>()
            .ok()
    });
    kib.unwrap_or_default() / 1024.0
}
