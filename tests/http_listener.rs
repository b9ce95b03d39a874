//! Tests the planned stop of a listener: requests on pending and new connections are answered.

use {
    bytes::Bytes,
    greengagetrail::http::{Body, ListenerLimits, serve_http},
    hyper::{Request, Response, body::Incoming},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 8 << 10,
    head_timeout: Duration::from_secs(20),
    write_timeout: Duration::from_secs(5),
    connections_max: 100,
    stop_max: Duration::from_secs(5),
};

/// Longer than a stop takes when no request is open.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn serve(listener: TcpListener, stop: &CancellationToken) -> JoinHandle<bool> {
    let handle =
        async |_: Request<Incoming>| Response::new(Body::from(Bytes::from_static(b"whole")));
    let handle = move |request| handle(request);
    tokio::spawn(serve_http(listener, LIMITS, stop.clone(), handle))
}

async fn send(caller: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.write_all(request).await.unwrap();
}

async fn assert_answered(mut caller: TcpStream) {
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("whole"), "{response}");
}

#[tokio::test]
async fn requests_on_pending_connections_are_answered() {
    let (listener, address) = listen().await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        let mut caller = TcpStream::connect(address).await.unwrap();
        send(&mut caller).await;
        callers.push(caller);
    }
    let stop = CancellationToken::new();
    stop.cancel();
    let served = serve(listener, &stop);
    for caller in callers {
        assert_answered(caller).await;
    }
    assert!(timeout(STOP_TIMEOUT, served).await.unwrap().unwrap());
    assert!(TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn a_request_just_after_the_stop_is_answered() {
    let (listener, address) = listen().await;
    let stop = CancellationToken::new();
    let served = serve(listener, &stop);
    let mut caller = TcpStream::connect(address).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    stop.cancel();
    sleep(Duration::from_millis(5)).await;
    send(&mut caller).await;
    assert_answered(caller).await;
    assert!(timeout(STOP_TIMEOUT, served).await.unwrap().unwrap());
}

#[tokio::test]
async fn connections_without_a_request_do_not_delay_the_stop() {
    let (listener, address) = listen().await;
    let stop = CancellationToken::new();
    let served = serve(listener, &stop);
    let _idle = TcpStream::connect(address).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    stop.cancel();
    assert!(timeout(STOP_TIMEOUT, served).await.unwrap().unwrap());
}

#[tokio::test]
async fn new_connections_do_not_delay_the_stop() {
    let (listener, address) = listen().await;
    let stop = CancellationToken::new();
    let served = serve(listener, &stop);
    let connecting = tokio::spawn(async move {
        let mut callers = Vec::new();
        while let Ok(caller) = TcpStream::connect(address).await {
            callers.push(caller);
            sleep(Duration::from_millis(1)).await;
        }
    });
    sleep(Duration::from_millis(20)).await;
    stop.cancel();
    assert!(timeout(STOP_TIMEOUT, served).await.unwrap().unwrap());
    timeout(STOP_TIMEOUT, connecting).await.unwrap().unwrap();
}
