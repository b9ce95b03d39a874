//! A backend server over plain TCP that does byte for byte what a test asks for.

#![allow(dead_code)]

use {
    bytes::Bytes,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
};

/// A request that arrived whole.
#[derive(Debug, Clone)]
pub struct Received {
    /// Counts the requests of this backend server from 0.
    pub sequence: usize,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// One step of a response.
#[derive(Debug, Clone)]
pub enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Stays silent for good.
    Hang,
    /// Stays silent until the other end closes the connection.
    Watch,
    /// Ends the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    pub fn send(text: impl Into<String>) -> Self {
        Self::Send(text.into().into_bytes())
    }
}

/// What happens to a connection before a request is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    Serve,
    ResetAtOnce,
    /// Resets once this many bytes were read.
    ResetAfter(usize),
    /// Reads nothing and stays silent.
    Hang,
}

type Script = dyn Fn(&Received) -> Vec<Step> + Send + Sync;
type Greeting = dyn Fn(usize) -> Accept + Send + Sync;

struct Shared {
    received: Mutex<Vec<Received>>,
    script: Box<Script>,
    greeting: Box<Greeting>,
    connections: AtomicUsize,
    open: AtomicUsize,
}

/// A backend server that follows a script.
pub struct FakeBackend {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl FakeBackend {
    pub async fn start(script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start_with(|_| Accept::Serve, script).await
    }

    /// Starts with a say in what happens to the n-th connection, counted from 0.
    pub async fn start_with(
        greeting: impl Fn(usize) -> Accept + Send + Sync + 'static,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            received: Mutex::default(),
            script: Box::new(script),
            greeting: Box::new(greeting),
            connections: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
        });
        let task = tokio::spawn(accept_all(listener, shared.clone()));
        Self {
            address,
            shared,
            task,
        }
    }

    /// Returns the requests that arrived whole.
    pub fn received(&self) -> Vec<Received> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that are open.
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Stops listening; open connections are closed.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    let mut count = 0;
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let greeting = (shared.greeting)(count);
        count += 1;
        let shared = shared.clone();
        shared.connections.fetch_add(1, Ordering::SeqCst);
        shared.open.fetch_add(1, Ordering::SeqCst);
        connections.spawn(async move {
            serve(stream, greeting, shared.clone()).await;
            shared.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve(mut stream: TcpStream, greeting: Accept, shared: Arc<Shared>) {
    match greeting {
        Accept::Serve => {}
        Accept::ResetAtOnce => return reset(stream),
        Accept::ResetAfter(bytes) => {
            let mut read = vec![0; bytes];
            let _ = stream.read_exact(&mut read).await;
            return reset(stream);
        }
        Accept::Hang => std::future::pending().await,
    }
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        {
            let mut received = shared.received.lock().unwrap();
            request.sequence = received.len();
            received.push(request.clone());
        }
        for step in (shared.script)(&request) {
            match step {
                Step::Send(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(wait) => tokio::time::sleep(wait).await,
                Step::Hang => std::future::pending().await,
                Step::Watch => {
                    let _ = stream.read(&mut [0]).await;
                    return;
                }
                Step::Close => return,
                Step::Reset => return reset(stream),
            }
        }
    }
}

fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    let head_end = loop {
        if let Some(position) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..head_end].to_vec()).unwrap();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap());
    while buffer.len() < head_end + length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = Bytes::copy_from_slice(&buffer[head_end..head_end + length]);
    buffer.drain(..head_end + length);
    Some(Received {
        sequence: 0,
        method,
        path,
        headers,
        body,
    })
}

/// A whole response.
pub fn respond(status: u16, headers: &str, body: &str) -> Vec<Step> {
    let length = body.len();
    vec![Step::send(format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    ))]
}
