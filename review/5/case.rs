//! Streams that a node passed on to another node stay open beyond the route's time-out while that
//! node is frozen.

#[path = "../standin/lib.rs"]
mod standin;

use {
    standin::*,
    std::{
        net::{Ipv4Addr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Four machines, so that one of them is a quarter.
const NODES: usize = 4;
const RUNNERS: usize = 3;
const REQUESTS: usize = 12;
const TIMEOUT: Duration = Duration::from_secs(8);
/// How long the runner's stream lasts, in events.
const EVENTS: u32 = 140;

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"r-draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming",
"timeoutMs":8000,"targetLatencyMs":1500,"priority":1,"service":"desk","maxAttempts":1,"resumable":false,
"gapTargetMs":250}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":100,"protocol":"h1",
"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}

fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nGreengagetrail-Request-Id: {id}\r\n\
         Greengagetrail-Request-Deadline-Ms: 15000\r\n"
    )
}

fn play(record: &Record, dir: &PathBuf) -> bool {
    let store = Store::new();
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|at| Runner::start_streaming(&format!("i-desk{at}"), "desk", "ashburton", record.clone(), |path: &str| {
            if path.starts_with("/draft/long") { EVENTS } else { 2 }
        }))
        .collect();
    store.put("op/config", &config());

    // The first node reaches the runners through links, whose addresses it reads in the store; the
    // others reach them directly.
    let ips: Vec<Ipv4Addr> = (0..NODES).map(|at| Ipv4Addr::new(127, 0, 41, 1 + at as u8)).collect();
    let links: Vec<Arc<Link>> = runners.iter().map(|runner| Link::new(ips[0], runner.address)).collect();
    let pairs: Vec<(String, String)> = runners
        .iter()
        .zip(&links)
        .map(|(runner, link)| (runner.address.to_string(), link.address.to_string()))
        .collect();
    let linked: View = Arc::new(move |key: &str, value: &[u8]| {
        let mut text = String::from_utf8_lossy(value).into_owned();
        if key.starts_with("servers/") {
            for (direct, link) in &pairs {
                text = text.replace(&format!("\"{direct}\""), &format!("\"{link}\""));
            }
        }
        text.into_bytes()
    });
    let direct: View = Arc::new(|_: &str, value: &[u8]| value.to_vec());
    let listen = || TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let (first, others) = (listen(), listen());
    let addresses = [first.local_addr().unwrap(), others.local_addr().unwrap()];
    store.serve(first, linked);
    store.serve(others, direct);
    heartbeats(runners, store.clone());

    let ports = Ports::find(&ips);
    let nodes: Vec<Node> = ips
        .iter()
        .enumerate()
        .map(|(at, ip)| {
            let store = addresses[at.min(1)];
            // The first two are in one zone: what front-0 passes on goes to front-1.
            let zone = if at < 2 { "ashburton" } else { "timaru" };
            Node::start(dir, &format!("front-{at}"), zone, *ip, ports, &ips[..3], store)
        })
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    for (at, node) in nodes.iter().enumerate() {
        let answer = call(node.front, &head("/draft/short", &format!("warm{at}")), b"a draft", Duration::from_secs(2));
        if answer.status != 200 {
            could_not_run(&format!("{} does not serve: {}", node.name, answer.status));
        }
    }
    // Idle connections to runners end meanwhile.
    thread::sleep(Duration::from_secs(2));

    let cut_at = Instant::now();
    if has_trouble() {
        record.add("the paths of front-0 to all runners are cut, silently");
        links.iter().for_each(|link| link.cut());
    }
    thread::sleep(Duration::from_millis(1000));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|at| {
            let (record, address) = (record.clone(), nodes[0].front);
            thread::spawn(move || {
                let id = format!("draft{at}");
                record.add(format!("client sends {id} to front-0"));
                let sent_at = Instant::now();
                let answer = call(address, &head("/draft/long", &id), b"a draft", Duration::from_secs(6));
                let took = sent_at.elapsed();
                record.add(format!(
                    "the answer of {id} ends after {:.3} s: {}, whole {}, {} bytes",
                    took.as_secs_f64(), answer.status, answer.whole, answer.body.len()
                ));
                took
            })
        })
        .collect();
    let sent_at = Instant::now();
    thread::sleep(Duration::from_millis(4500).saturating_sub(cut_at.elapsed()));
    if has_trouble() {
        links.iter().for_each(|link| link.heal());
        record.add("the paths of front-0 are whole again");
        thread::sleep(Duration::from_millis(5300).saturating_sub(sent_at.elapsed()));
        record.add("front-1 freezes");
        nodes[1].signal(Signal::Stop);
        thread::sleep(Duration::from_millis(3900));
        nodes[1].signal(Signal::Continue);
        record.add("front-1 wakes");
    }
    let times: Vec<Duration> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let lasted = times.iter().filter(|took| **took >= TIMEOUT - Duration::from_millis(100)).count();
    let late = times.iter().filter(|took| **took > TIMEOUT + Duration::from_millis(500)).count();
    record.add(format!("{late} of {lasted} requests that lasted to the time-out had no final answer 0.5 s after it"));
    if lasted < 8 {
        could_not_run("the streams ended before");
    }
    late >= 8 && late * 4 > lasted
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
