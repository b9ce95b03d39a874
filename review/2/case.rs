//! A request that a node passed on to another node is answered 503 when the first one is stopped,
//! though a runner runs it.

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
/// How long a sale takes at its runner; the route allows 15 s.
const WORK: Duration = Duration::from_secs(11);
const REQUESTS: usize = 4;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":15000,
"targetLatencyMs":1000,"priority":1,"service":"desk","maxAttempts":{attempts}}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"desk","healthPath":"/healthz","maxConnections":100,
"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}}}"#,
        route("r-sale", "/sale/", "non_idempotent", 1),
        route("r-price", "/price/", "idempotent", 2)
    )
}

fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nGreengagetrail-Request-Id: {id}\r\n\
         Greengagetrail-Request-Deadline-Ms: {deadline_ms}\r\n"
    )
}

fn play(record: &Record, dir: &PathBuf) -> bool {
    let store = Store::new();
    let runs = Runs::default();
    let work = |path: &str| match path.starts_with("/sale/") {
        true => WORK,
        false => Duration::from_millis(15),
    };
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
    let mut nodes: Vec<Node> = ips
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
    let clients: Vec<_> = (0..REQUESTS)
        .map(|at| {
            let (record, address) = (record.clone(), nodes[0].front);
            thread::spawn(move || {
                let id = format!("sale{at}");
                record.add(format!("client sends {id} (POST /sale/{at}, non_idempotent) to front-0"));
                let answer = call(address, &head("POST", &format!("/sale/{at}"), &id, 15_000), b"a sale", Duration::from_secs(17));
                let signed = header(&answer.headers, "greengagetrail-server-signature").is_some();
                record.add(format!(
                    "client gets {} for {id}, signature {signed}, whole {}: {}",
                    answer.status, answer.whole, String::from_utf8_lossy(&answer.body)
                ));
                (id, answer.status)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2000));
    if has_trouble() {
        record.add("front-0 gets SIGTERM (planned stop)");
        nodes[0].signal(Signal::Term);
    }
    let stopped_at = Instant::now();
    thread::sleep(Duration::from_millis(4500).saturating_sub(cut_at.elapsed()));
    if has_trouble() {
        record.add("the paths of front-0 are whole again");
        links.iter().for_each(|link| link.heal());
        // The platform's SIGKILL follows after graceS.
        while stopped_at.elapsed() < Duration::from_secs(8) {
            thread::sleep(Duration::from_millis(50));
            if nodes[0].child.try_wait().ok().flatten().is_some() {
                break;
            }
        }
        record.add("front-0 has ended or gets SIGKILL");
        let _ = nodes[0].child.kill();
    }
    let answers: Vec<(String, u16)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    thread::sleep(Duration::from_millis(500));
    let mut broken = false;
    for (id, status) in answers {
        let ran = runs.of(&id).len();
        let is_broken = [408, 421, 429, 503].contains(&status) && ran > 0;
        record.add(format!("{id}: answered {status}, run {ran} times{}", if is_broken { ": REFUSED is broken" } else { "" }));
        if !has_trouble() && status != 200 {
            could_not_run("without the disruption a sale is not served");
        }
        broken |= is_broken;
    }
    broken
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
