//! The nodes: processes of `ggt-node`, with settings as the deploy file's template gives them.

use {
    super::record::Record,
    std::{
        fs,
        net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = "target/release/ggt-node";

/// Running nodes, which are killed when the value is dropped.
pub struct Nodes {
    pub callers: Vec<SocketAddr>,
    children: Vec<Child>,
    folder: PathBuf,
}

impl Nodes {
    /// Starts nodes on loopback addresses of their own, and waits until each is ready.
    pub fn start(count: usize, store: SocketAddr, record: &Record) -> Result<Self, String> {
        if !fs::exists(PROGRAM).unwrap_or(false) {
            return Err(format!("{PROGRAM} is not built"));
        }
        let folder = std::env::temp_dir().join(format!("ggt-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        let ip = |at: usize| format!("127.0.0.{}", 11 + at);
        let ports = free_ports((0..count).map(ip).collect())?;
        let [callers, ready, control, metrics, gossip, quotas] = ports;
        let seeds: Vec<_> = (0..count.min(3)).map(|at| format!("\"{}:{control}\"", ip(at))).collect();
        let mut nodes = Self { callers: Vec::new(), children: Vec::new(), folder };
        for at in 0..count {
            let (ip, seeds) = (ip(at), seeds.join(","));
            let settings = format!(
                r#"{{"node": "front-{at}", "data_centre": "z{at}", "ip": "{ip}", "threads": 1,
                "callers_address": "{ip}:{callers}", "ready_address": "{ip}:{ready}",
                "control_address": "{ip}:{control}", "seed_addresses": [{seeds}],
                "metrics_port": {metrics}, "gossip_port": {gossip}, "quota_port": {quotas},
                "link_mbps": 1000.0, "store_address": "{store}", "store_history_s": 20,
                "descriptors_max": 4100, "memory_mb": 260,
                "bounds": {{"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
                "lease_ms": 3000, "thaw_slack_ms": 300, "fencing_enforced": true,
                "ceiling_window_s": 5, "contact_ms": 3000, "lease_min_ms": 1000}}}}"#
            );
            let file = nodes.folder.join(format!("settings-{at}.json"));
            fs::write(&file, settings).map_err(|cause| cause.to_string())?;
            let child = Command::new(PROGRAM)
                .env("GREENGAGETRAIL_CONFIG", &file)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .map_err(|cause| cause.to_string())?;
            record.line(&format!("node front-{at} started"));
            nodes.children.push(child);
            let address = format!("{ip}:{callers}").parse();
            nodes.callers.push(address.map_err(|_| "an address is invalid".to_owned())?);
        }
        for at in 0..count {
            nodes.wait_until_ready(&format!("{}:{ready}", ip(at)))?;
        }
        Ok(nodes)
    }

    fn wait_until_ready(&self, address: &str) -> Result<(), String> {
        use std::io::{Read, Write};
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                let mut answer = [0; 12];
                if stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200") {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the node at {address} did not become ready"))
    }

    /// Returns the nodes that have ended.
    pub fn ended(&mut self) -> usize {
        let mut ended = 0;
        for child in &mut self.children {
            ended += usize::from(!matches!(child.try_wait(), Ok(None)));
        }
        ended
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns ports that are free on all addresses.
fn free_ports(ips: Vec<String>) -> Result<[u16; 6], String> {
    let mut found = Vec::new();
    for _ in 0..1000 {
        let probe = TcpListener::bind("127.0.0.1:0").map_err(|cause| cause.to_string())?;
        let port = probe.local_addr().map_err(|cause| cause.to_string())?.port();
        let is_free = |ip: &String| {
            TcpListener::bind(format!("{ip}:{port}")).is_ok()
                && UdpSocket::bind(format!("{ip}:{port}")).is_ok()
        };
        if !found.contains(&port) && ips.iter().all(is_free) {
            found.push(port);
        }
        if let Ok(ports) = <[u16; 6]>::try_from(found.as_slice()) {
            return Ok(ports);
        }
    }
    Err("there are no free ports".to_owned())
}
