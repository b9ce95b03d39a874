//! Proper requests with long heads are answered 431 by a node that passes them on.

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
/// DENIED allows 5 + one in 500.
const REQUESTS: usize = 15;
/// The limit that the configuration sets for heads, and the length of the heads that clients send.
const HEAD_MAX_BYTES: usize = 65536;
const HEAD_BYTES: usize = 40000;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-price","host":"desk.example","pathPrefix":"/price/","kind":"idempotent",
"timeoutMs":4000,"targetLatencyMs":100,"priority":1,"service":"desk","maxAttempts":2}}],"services":[{{"name":"desk",
"healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":{HEAD_MAX_BYTES},
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nGreengagetrail-Request-Id: {id}\r\n\
         Greengagetrail-Request-Deadline-Ms: {deadline_ms}\r\n"
    )
}

/// A head of HEAD_BYTES, in a few headers of the client's own.
fn long_head(id: &str) -> String {
    let mut text = head("GET", "/price/1", id, 4000);
    let mut number = 0;
    while text.len() + 2 < HEAD_BYTES {
        let length = (HEAD_BYTES - 2 - text.len()).min(4000);
        text.push_str(&format!("X-Note-{number}: {}\r\n", "n".repeat(length)));
        number += 1;
    }
    text
}

fn play(record: &Record, dir: &PathBuf) -> bool {
    let store = Store::new();
    let runs = Runs::default();
    let work = |_: &str| Duration::from_millis(15);
    let runners: Vec<Arc<Runner>> = (0..RUNNERS)
        .map(|at| Runner::start(&format!("i-desk{at}"), "desk", "ashburton", runs.clone(), record.clone(), work))
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
            Node::start(dir, &format!("front-{at}"), "ashburton", *ip, ports, &ips[..3], store)
        })
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    thread::sleep(Duration::from_secs(3));
    for (at, node) in nodes.iter().enumerate() {
        let answer = call(node.front, &head("GET", "/price/1", &format!("warm{at}"), 1500), b"", Duration::from_secs(2));
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
    let mut denied = 0;
    for at in 0..REQUESTS {
        // One with a short head and one with a long head, both proper.
        let short = call(nodes[0].front, &head("GET", "/price/1", &format!("short{at}"), 4000), b"", Duration::from_secs(5));
        let long = call(nodes[0].front, &long_head(&format!("long{at}")), b"", Duration::from_secs(5));
        let signed = |answer: &Answer| header(&answer.headers, "greengagetrail-server-signature").is_some();
        for (what, answer) in [("short", &short), ("long", &long)] {
            record.add(format!("client gets {} for {what}{at}, signature {}", answer.status, signed(answer)));
        }
        let is_denied = |answer: &Answer| {
            (300..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status) && !signed(answer)
        };
        denied += usize::from(is_denied(&short)) + usize::from(is_denied(&long));
        if !has_trouble() && (short.status, long.status) != (200, 200) {
            could_not_run("without the disruption a request is not served");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let elapsed = cut_at.elapsed();
    if has_trouble() {
        links.iter().for_each(|link| link.heal());
        record.add(format!("the paths of front-0 are whole again, after {:.1} s", elapsed.as_secs_f64()));
    }
    let all = 2 * REQUESTS + NODES;
    record.add(format!("{denied} of {all} requests were denied; allowed are 5 + {all} / 500"));
    denied as f64 > 5.0 + all as f64 / 500.0
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
