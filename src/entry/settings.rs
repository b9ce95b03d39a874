//! Settings of an entry.

use {
    crate::{
        security::TlsFiles,
        settings::{SettingsChecker, SettingsFault},
        settings_struct,
        telemetry::{LogFormat, LogLevel},
        units::{DataCentreName, VmName},
    },
    std::net::SocketAddr,
};

settings_struct! {
    /// Settings of an entry.
    pub struct EntrySettings check check {
        #[doc = " The name of this VM."]
        vm: VmName,
        #[doc = " The data centre of this VM."]
        data_centre: DataCentreName,
        #[doc = " Where callers reach this entry."]
        callers_address: SocketAddr,
        #[doc = " Where other entries reach this entry."]
        peer_address: SocketAddr,
        #[doc = " Where health and metrics are served."]
        operations_address: SocketAddr,
        #[doc = " Where the keeper of this VM listens."]
        keeper_address: SocketAddr,
        #[doc = " The key-value service's addresses, tried in turn."]
        store_addresses: Vec<SocketAddr>,
        #[doc = " The shared key of the system's processes."]
        peer_key: String,
        #[doc = " The files of TLS: `certificate_file`, `key_file` and `authorities_file`; no TLS when null."]
        tls: Option<TlsFiles> = "null",
        #[doc = " Worker threads."]
        threads: usize = "2",
        #[doc = " The largest request body, in bytes."]
        body_max_bytes: usize = "4194304",
        #[doc = " The memory for the bodies of all open requests, in bytes."]
        bodies_max_bytes: u64 = "268435456",
        #[doc = " Connections of callers that may be open at once; at the limit, the one without a request in work that was used longest ago closes for a new one."]
        connections_max: usize = "4096",
        #[doc = " The longest wait for a caller's request head or body, in milliseconds."]
        read_timeout_ms: u64 = "10000",
        #[doc = " The longest wait for a caller to take bytes of its answer, in milliseconds."]
        write_timeout_ms: u64 = "30000",
        #[doc = " The longest wait for a connection to a backend server, in milliseconds."]
        connect_timeout_ms: u64 = "500",
        #[doc = " The longest silence before the first token, in milliseconds."]
        first_token_timeout_ms: u64 = "5000",
        #[doc = " The longest silence between two tokens, in milliseconds."]
        between_tokens_timeout_ms: u64 = "2000",
        #[doc = " The longest wait for an answer that is not streamed, in milliseconds."]
        whole_answer_timeout_ms: u64 = "60000",
        #[doc = " The longest wait for a copy of a model or adapter that is not ready, in milliseconds."]
        copy_wait_ms: u64 = "2000",
        #[doc = " Requests that may be open at once."]
        open_requests_max: usize = "8192",
        #[doc = " Retries allowed per hundred requests of a service."]
        retry_budget_percent: u32 = "10",
        #[doc = " The wait between failing readiness and closing the listener, in milliseconds."]
        drain_delay_ms: u64 = "1000",
        #[doc = " The longest that a planned stop waits for open requests, in milliseconds."]
        drain_max_ms: u64 = "120000",
        #[doc = " How often demand is reported to the keeper, in milliseconds."]
        report_interval_ms: u64 = "1000",
        #[doc = " The least severe log messages: error, warn, info or debug."]
        log_level: LogLevel = "\"info\"",
        #[doc = " The shape of log lines: text or json."]
        log_format: LogFormat = "\"text\"",
    }
}

fn check(settings: &EntrySettings, faults: &mut Vec<SettingsFault>) {
    let mut checker = SettingsChecker::new(faults);
    checker.require_at_least("threads", settings.threads as u64, 1);
    checker.require_addresses("store_addresses", &settings.store_addresses);
    checker.require_key("peer_key", &settings.peer_key);
    checker.require(
        settings.bodies_max_bytes >= settings.body_max_bytes as u64,
        "bodies_max_bytes",
        "must be at least body_max_bytes",
    );
    checker.require_at_least("connections_max", settings.connections_max as u64, 1);
    checker.require_at_least("report_interval_ms", settings.report_interval_ms, 1);
}
