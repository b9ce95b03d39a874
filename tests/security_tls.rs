//! Mutual TLS over real sockets: accepted and refused certificates, and replacement of the files
//! during calls.

mod common {
    pub mod authority;
}

use {
    common::authority::{Authority, FilesDir, Issued, NODE, OPERATOR},
    greengagetrail::{
        http::{Body, CallLimits, Client, ListenerLimits, SendError, serve_http_with},
        security::{AllowedRoles, Role, Tls},
    },
    hyper::{Request, Response, body::Incoming},
    std::{
        future::ready,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::sync::{CancellationToken, DropGuard},
};

const LIMITS: ListenerLimits = ListenerLimits {
    head_max_bytes: 16 * 1024,
    head_timeout: Duration::from_secs(5),
    write_timeout: Duration::from_secs(5),
    connections_max: 64,
    stop_max: Duration::from_secs(1),
};

const CALL: CallLimits = CallLimits {
    timeout: Duration::from_secs(5),
    answer_max_bytes: 4096,
};

/// Writes TLS files under a directory name, and loads them.
fn load_tls(name: &str, issued: &Issued, authorities: &[&Authority]) -> (FilesDir, Tls) {
    let dir = FilesDir::new(name, issued, authorities);
    let tls = Tls::load(dir.files.clone()).unwrap();
    (dir, tls)
}

/// Starts a listener that responds with the client's role.
async fn listen(tls: &Tls, allowed_roles: AllowedRoles) -> (SocketAddr, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handle = |request: Request<Incoming>| {
        let role = request.extensions().get::<Role>().map(Role::to_string);
        ready(Response::new(Body::from(role.unwrap_or_default())))
    };
    let tls = Some(tls.server(allowed_roles));
    tokio::spawn(serve_http_with(listener, LIMITS, tls, stop.clone(), handle));
    (address, stop.drop_guard())
}

async fn call(address: SocketAddr, tls: Option<&Tls>) -> Result<String, SendError> {
    let client = Client::new(CALL.timeout).with_tls(tls.cloned());
    let request = Request::get("/").body(Body::empty()).unwrap();
    let answer = client.call(address, request, CALL).await?;
    Ok(String::from_utf8(answer.into_body().to_vec()).unwrap())
}

/// Performs one handshake; returns the error text of each end, the client's first, or empty texts.
async fn handshake(caller: &Tls, server: &Tls, allowed_roles: AllowedRoles) -> [String; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (stream, peer) = listener.accept().await.unwrap();
        let accepted = server.server(allowed_roles).accept(stream, peer).await;
        (peer, accepted.map(drop))
    };
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        caller.connect(stream, address).await.map(drop)
    };
    let ((peer, accepted), connected) = tokio::join!(accepting, connecting);
    let [connected, accepted] = [connected, accepted].map(|end| match end {
        Ok(()) => String::new(),
        Err(error) => error.to_string(),
    });
    if !accepted.is_empty() {
        assert!(accepted.contains(&peer.to_string()), "{accepted}");
        assert!(connected.contains(&address.to_string()), "{connected}");
    }
    [connected, accepted]
}

#[tokio::test]
async fn both_ends_present_certificates_and_the_role_is_read_from_them() {
    let authority = Authority::new("a");
    let (_files, server) = load_tls("both-server", &authority.issue(NODE), &[&authority]);
    let (_more, operator) = load_tls("both-operator", &authority.issue(OPERATOR), &[&authority]);
    let (address, _serving) = listen(&server, AllowedRoles::All).await;
    assert_eq!(call(address, Some(&server)).await.unwrap(), "node");
    assert_eq!(call(address, Some(&operator)).await.unwrap(), "operator");
    assert!(call(address, None).await.is_err());
}

#[tokio::test]
async fn certificates_of_other_authorities_or_roles_and_expired_ones_are_refused_with_the_cause() {
    let (own, other) = (Authority::new("own"), Authority::new("other"));
    let (_node_files, node) = load_tls("refused-node", &own.issue(NODE), &[&own]);
    let (_foreign_files, foreign) = load_tls("refused-foreign", &other.issue(NODE), &[&own]);
    let (_expired_files, expired) =
        load_tls("refused-expired", &own.issue_until(NODE, 2001), &[&own]);
    let (_operator_files, operator) = load_tls("refused-operator", &own.issue(OPERATOR), &[&own]);
    let (_nobody_files, nobody) =
        load_tls("refused-nobody", &own.issue(&["other.example"]), &[&own]);
    assert_eq!(handshake(&node, &node, AllowedRoles::Nodes).await, ["", ""]);
    let refused_callers = [
        (&foreign, "UnknownCA", "UnknownIssuer"),
        (&expired, "CertificateExpired", "expired"),
        (&operator, "role", "role"),
        (&nobody, "role", "role"),
    ];
    for (caller, there, here) in refused_callers {
        let [connected, accepted] = handshake(caller, &node, AllowedRoles::Nodes).await;
        assert!(connected.contains(there), "{connected}");
        assert!(accepted.contains(here), "{accepted}");
    }
    let refused_servers = [
        (&foreign, "UnknownIssuer", "UnknownCA"),
        (&expired, "expired", "CertificateExpired"),
        (&operator, "not valid for name", "refused there"),
    ];
    for (server, here, there) in refused_servers {
        let [connected, accepted] = handshake(&node, server, AllowedRoles::All).await;
        assert!(connected.contains(here), "{connected}");
        assert!(accepted.contains(there), "{accepted}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_the_files_during_calls_refuses_none() {
    let (old, new) = (Authority::new("old"), Authority::new("new"));
    let (server_files, server) = load_tls("replace-server", &old.issue(NODE), &[&old]);
    let (caller_files, caller) = load_tls("replace-caller", &old.issue(NODE), &[&old]);
    let (_left, left_behind) = load_tls("replace-left", &old.issue(NODE), &[&old, &new]);
    let (address, _serving) = listen(&server, AllowedRoles::Nodes).await;
    let (done, answered) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let calls = [(); 4].map(|()| {
        let (caller, done, answered) = (caller.clone(), done.clone(), answered.clone());
        tokio::spawn(async move {
            while !done.load(Ordering::Relaxed) {
                assert_eq!(call(address, Some(&caller)).await.unwrap(), "node");
                answered.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    let ends = [(&server_files, &server), (&caller_files, &caller)];
    let mut seen = 0;
    for step in 0..3 {
        for (files, tls) in ends {
            match step {
                0 => files.accept(&[&old, &new]),
                1 => files.replace(&new.issue(NODE)),
                _ => files.accept(&[&new]),
            }
            assert!(tls.reload().unwrap());
            assert!(!tls.reload().unwrap());
            while answered.load(Ordering::Relaxed) < seen + 20 {
                assert!(calls.iter().all(|call| !call.is_finished()));
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            seen = answered.load(Ordering::Relaxed);
        }
    }
    done.store(true, Ordering::Relaxed);
    for call in calls {
        call.await.unwrap();
    }
    assert!(call(address, Some(&left_behind)).await.is_err());
}

#[tokio::test]
async fn invalid_files_leave_the_previous_ones_in_use() {
    let authority = Authority::new("a");
    let (files, tls) = load_tls("unfit", &authority.issue(NODE), &[&authority]);
    let original = std::fs::read(&files.files.certificate_file).unwrap();
    for broken in [
        &original[..original.len() / 2],
        b"",
        authority.pem.as_bytes(),
    ] {
        std::fs::write(&files.files.certificate_file, broken).unwrap();
        assert!(tls.reload().is_err());
        assert!(Tls::load(files.files.clone()).is_err());
    }
    assert_eq!(handshake(&tls, &tls, AllowedRoles::Nodes).await, ["", ""]);
    std::fs::write(&files.files.certificate_file, original).unwrap();
    assert!(!tls.reload().unwrap());
}
