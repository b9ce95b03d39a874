//! Requests reach a runner that leaves, long after the store acknowledged it, as the nodes' watches
//! hang since the store was silent.

#[path = "../standin/lib.rs"]
mod standin;

use {
    standin::*,
    std::{
        net::{Ipv4Addr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const NODES: usize = 3;
const RUNNERS: usize = 3;
const DRAIN: Duration = Duration::from_millis(2000);

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"r-price","host":"desk.example","pathPrefix":"/price/","kind":"idempotent",
"timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":2}],"services":[{"name":"desk",
"healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn play(record: &Record, dir: &PathBuf) -> bool {
    let store = Store::new();
    let runs = Runs::default();
    // What the runners run is taken from `runs`; their own lines would fill the record.
    let quiet = Record::quiet();
    let work = |_: &str| Duration::from_millis(15);
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|at| Runner::start(&format!("i-desk{at}"), "desk", "ashburton", runs.clone(), quiet.clone(), work))
        .collect();
    store.put("op/config", &config());
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    store.serve(listener, Arc::new(|_: &str, value: &[u8]| value.to_vec()));
    heartbeats(runners.clone(), store.clone());

    let ips: Vec<Ipv4Addr> = (0..NODES).map(|at| Ipv4Addr::new(127, 0, 40, 1 + at as u8)).collect();
    let ports = Ports::find(&ips);
    let nodes: Vec<Node> = ips
        .iter()
        .enumerate()
        .map(|(at, ip)| Node::start(dir, &format!("front-{at}"), "ashburton", *ip, ports, &ips, address))
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    thread::sleep(Duration::from_secs(3));

    if has_trouble() {
        record.add("the store is silent");
        store.silent.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(4500));
        store.silent.store(false, Ordering::SeqCst);
        record.add("the store answers again");
    }
    // contactMs (3 s) and one more second.
    thread::sleep(Duration::from_secs(4));
    *runners[0].state.lock().unwrap() = "draining";
    runners[0].register(&store);
    let acknowledged_at = Instant::now();
    record.add("i-desk0 reports that it is draining; the store acknowledges it");

    // Requests to all nodes for 9 s; the runner goes on serving meanwhile.
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let clients: Vec<_> = fronts
        .into_iter()
        .enumerate()
        .map(|(node, front)| {
            thread::spawn(move || {
                let (mut served, mut sent) = (0, 0);
                while acknowledged_at.elapsed() < Duration::from_secs(9) {
                    let head = format!(
                        "GET /price/1 HTTP/1.1\r\nHost: desk.example\r\nGreengagetrail-Request-Id: n{node}r{sent}\r\n\
                         Greengagetrail-Request-Deadline-Ms: 1500\r\nConnection: close\r\n"
                    );
                    sent += 1;
                    served += u32::from(call(front, &head, b"", Duration::from_secs(2)).status == 200);
                    thread::sleep(Duration::from_millis(50));
                }
                (served, sent)
            })
        })
        .collect();
    for (node, client) in clients.into_iter().enumerate() {
        let (served, sent) = client.join().unwrap();
        record.add(format!("front-{node}: {served} of {sent} requests were answered 200"));
        if served * 2 < sent {
            could_not_run("the nodes don't serve");
        }
    }
    let mut late = 0;
    for run in runs.0.lock().unwrap().iter().filter(|run| run.runner == "i-desk0") {
        let after = run.began.saturating_duration_since(acknowledged_at);
        if after > DRAIN {
            late += 1;
            if late <= 10 {
                record.add(format!("{} reached i-desk0 {:.3} s after the acknowledgement", run.request_id, after.as_secs_f64()));
            }
        }
    }
    record.add(format!("{late} requests reached i-desk0 later than drainMs after the acknowledgement"));
    late > 0
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let dir = PathBuf::from(arguments.next().expect("a folder for settings and logs"));
    let file = arguments.next().expect("the file of the record");
    // A case that hangs has not run.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(100));
        end_processes();
        exit(2);
    });
    let record = Record::new();
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&record, &dir)));
    record.write(&file);
    exit(match played {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}
