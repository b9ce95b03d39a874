//! Measures what TLS and authenticated datagrams cost: a connection, a call, a datagram.
//!
//! Each figure is the processor time of both ends, and the time that passed.
//!
//! `cargo run --release --example tls_cost`

#[path = "../tests/common/authority.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod authority;

use {
    authority::{Authority, FilesDir, NODE},
    bytes::Bytes,
    greengagetrail::{
        gossip::{DATAGRAM_BYTES_MAX, append_mac, verify_mac},
        http::{Body, CallLimits, Client, ListenerLimits, serve_http_with},
        security::{AllowedRoles, KeyRing, SharedKey, Tls},
    },
    hyper::{Request, Response, body::Incoming},
    rustix::time::{ClockId, clock_gettime},
    std::{
        future::ready,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

const CONNECTIONS: usize = 1_000;
const CALLS: usize = 5_000;
const DATAGRAMS: usize = 100_000;
const ROUNDS: usize = 5;

const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 64,
    stop_max: Duration::from_secs(1),
};

const CALL: CallLimits = CallLimits {
    timeout: Duration::from_secs(5),
    answer_max_bytes: 1 << 20,
};

async fn listen(tls: Option<&Tls>, answer_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let page = Bytes::from(vec![b'x'; answer_bytes]);
    let handle = move |_: Request<Incoming>| ready(Response::new(Body::from(page.clone())));
    let tls = tls.map(|tls| tls.server(AllowedRoles::Nodes));
    let stop = CancellationToken::new();
    tokio::spawn(serve_http_with(listener, LIMITS, tls, stop, handle));
    address
}

async fn call(client: &Client, address: SocketAddr) {
    let request = Request::get("/").body(Body::empty()).unwrap();
    client.call(address, request, CALL).await.unwrap();
}

/// Returns the time of one call over a connection of its own, in microseconds.
async fn connecting(tls: Option<&Tls>) -> Cost {
    let address = listen(tls, 0).await;
    let start = Start::now();
    for _ in 0..CONNECTIONS {
        let client = Client::new(CALL.timeout).with_tls(tls.cloned());
        call(&client, address).await;
    }
    start.micros(CONNECTIONS)
}

/// Returns the time of one call over a kept connection, in microseconds.
async fn calling(tls: Option<&Tls>, answer_bytes: usize) -> Cost {
    let address = listen(tls, answer_bytes).await;
    let client = Client::new(CALL.timeout).with_tls(tls.cloned());
    call(&client, address).await;
    let start = Start::now();
    for _ in 0..CALLS {
        call(&client, address).await;
    }
    start.micros(CALLS)
}

/// Returns the time to authenticate one datagram and to verify it with `accepted`, in microseconds.
fn mac_cost(keys: &KeyRing, accepted: &KeyRing) -> Cost {
    let start = Start::now();
    for _ in 0..DATAGRAMS {
        let authenticated = append_mac(&[7; DATAGRAM_BYTES_MAX], keys);
        assert!(std::hint::black_box(verify_mac(&authenticated, accepted)).is_some());
    }
    start.micros(DATAGRAMS)
}

/// Processor time and time that passed, in microseconds.
type Cost = [f64; 2];

/// The start of a measurement.
struct Start {
    processor: Duration,
    clock: Instant,
}

impl Start {
    fn now() -> Self {
        Self {
            processor: processor_time(),
            clock: Instant::now(),
        }
    }

    /// Returns what each of `count` cost since then.
    fn micros(&self, count: usize) -> Cost {
        let spent = [processor_time() - self.processor, self.clock.elapsed()];
        spent.map(|time| time.as_secs_f64() * 1e6 / count as f64)
    }
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Prints the medians and the ranges of the rounds.
fn print(what: &str, rounds: Vec<Cost>) {
    let column = |index: usize| {
        let mut values: Vec<_> = rounds.iter().map(|round| round[index]).collect();
        values.sort_by(f64::total_cmp);
        let (low, high) = (values[0], values[ROUNDS - 1]);
        format!("{:.2} us ({low:.2} to {high:.2})", values[ROUNDS / 2])
    };
    println!("{what}: processor {}, passed {}", column(0), column(1));
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let authority = Authority::new("cost");
    let files = FilesDir::new("cost", &authority.issue(NODE), &[&authority]);
    let tls = Tls::load(files.files.clone()).unwrap();
    for (name, tls) in [("without TLS", None), ("with TLS", Some(&tls))] {
        let mut rounds = Vec::new();
        for _ in 0..ROUNDS {
            rounds.push(connecting(tls).await);
        }
        print(&format!("connection with one call, {name}"), rounds);
        for answer_bytes in [100, 100_000] {
            let mut rounds = Vec::new();
            for _ in 0..ROUNDS {
                rounds.push(calling(tls, answer_bytes).await);
            }
            print(
                &format!("call answered with {answer_bytes} bytes, {name}"),
                rounds,
            );
        }
    }
    let ring = |keys: &[&str]| KeyRing::new(keys.iter().map(|&key| SharedKey::new(key)).collect());
    let (none, one) = (KeyRing::default(), ring(&["one"]));
    let second = ring(&["two", "one"]);
    for (name, keys, accepted) in [
        ("not sealed", &none, &none),
        ("sealed", &one, &one),
        ("sealed with the second accepted key", &one, &second),
    ] {
        let rounds = (0..ROUNDS).map(|_| mac_cost(keys, accepted)).collect();
        print(
            &format!("datagram of {DATAGRAM_BYTES_MAX} bytes, {name}"),
            rounds,
        );
    }
}
