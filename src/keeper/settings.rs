//! Settings of a keeper.

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
    /// Settings of a keeper.
    pub struct KeeperSettings check check {
        #[doc = " The name of this VM."]
        vm: VmName,
        #[doc = " The data centre of this VM."]
        data_centre: DataCentreName,
        #[doc = " Where other processes of the system reach this keeper."]
        peer_address: SocketAddr,
        #[doc = " Where others reach this keeper, if not at `peer_address`."]
        advertised_peer_address: Option<SocketAddr> = "null",
        #[doc = " Where operators reach this keeper."]
        operator_address: SocketAddr,
        #[doc = " Where health and metrics are served."]
        operations_address: SocketAddr,
        #[doc = " Where the entry of this VM listens for other entries."]
        entry_peer_address: SocketAddr,
        #[doc = " The key-value service's addresses, tried in turn."]
        store_addresses: Vec<SocketAddr>,
        #[doc = " Where the platform's VM list is served."]
        vm_list_address: Option<SocketAddr> = "null",
        #[doc = " Other keepers to start from while the key-value service is down."]
        seed_addresses: Vec<SocketAddr> = "[]",
        #[doc = " The shared key of the system's processes."]
        peer_key: String,
        #[doc = " The files of TLS: `certificate_file`, `key_file` and `authorities_file`; no TLS when null."]
        tls: Option<TlsFiles> = "null",
        #[doc = " The shared key of the operators."]
        operator_key: String,
        #[doc = " How long the lease of this VM lasts without renewal, in seconds."]
        lease_ttl_s: u64 = "15",
        #[doc = " How often the configuration is compared with a peer, in milliseconds."]
        exchange_interval_ms: u64 = "4000",
        #[doc = " How often an owned runner is asked for its status, in milliseconds."]
        status_interval_ms: u64 = "2000",
        #[doc = " How often placement is decided, in milliseconds."]
        planning_interval_ms: u64 = "5000",
        #[doc = " The longest wait for an answer of the key-value service, in milliseconds."]
        store_timeout_ms: u64 = "2000",
        #[doc = " The longest wait for an engine's answer to an order, in milliseconds."]
        order_timeout_ms: u64 = "2000",
        #[doc = " The least severe log messages: error, warn, info or debug."]
        log_level: LogLevel = "\"info\"",
        #[doc = " The shape of log lines: text or json."]
        log_format: LogFormat = "\"text\"",
    }
}

fn check(settings: &KeeperSettings, faults: &mut Vec<SettingsFault>) {
    let mut checker = SettingsChecker::new(faults);
    checker.require_addresses("store_addresses", &settings.store_addresses);
    checker.require_key("peer_key", &settings.peer_key);
    checker.require_key("operator_key", &settings.operator_key);
    checker.require_at_least("lease_ttl_s", settings.lease_ttl_s, 2);
    checker.require_at_least("status_interval_ms", settings.status_interval_ms, 1);
    checker.require_at_least("planning_interval_ms", settings.planning_interval_ms, 1);
    checker.require_at_least("exchange_interval_ms", settings.exchange_interval_ms, 1);
}
