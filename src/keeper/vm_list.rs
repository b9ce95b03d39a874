//! Reads the platform's list of live and leaving VMs.

use {
    crate::{
        http::{Body, Client, read_body},
        membership::with_jitter,
        units::VmName,
    },
    hyper::Request,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::sync::watch,
};

/// How often the list is read.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The timeout of a request for the list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest list accepted, in bytes.
const LIST_MAX_BYTES: usize = 1024 * 1024;

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedVm {
    /// The name of the VM.
    pub vm: VmName,
    /// The address of the VM's backend server or entry.
    pub address: SocketAddr,
    /// The state of the VM in the list.
    pub state: VmState,
}

#[derive(Debug, Deserialize)]
struct VmList {
    vms: Vec<ListedVm>,
}

/// Why the list could not be read.
#[derive(Debug, Error)]
enum VmListError {
    #[error("the VM list could not be read: {0}")]
    NoResponse(String),
    #[error("the VM list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Periodically reads the list and sends it to `list`; the last list stays after a failure.
pub async fn follow_vm_list(address: SocketAddr, list: watch::Sender<Option<Vec<ListedVm>>>) {
    let client = Client::new(REQUEST_TIMEOUT);
    loop {
        match read_list(&client, address).await {
            Ok(vms) => {
                list.send_replace(Some(vms));
            }
            Err(error) => log::warn!("vm-list: {error}"),
        }
        tokio::time::sleep(with_jitter(POLL_INTERVAL)).await;
    }
}

async fn read_list(client: &Client, address: SocketAddr) -> Result<Vec<ListedVm>, VmListError> {
    let no_response = |cause: String| VmListError::NoResponse(cause);
    let request = Request::get("/vms")
        .header("host", address.to_string())
        .body(Body::empty())
        .map_err(|cause| no_response(cause.to_string()))?;
    let sent = tokio::time::timeout(REQUEST_TIMEOUT, client.send(address, request)).await;
    let exchange = sent
        .map_err(|_| no_response("timed out".to_owned()))?
        .map_err(|cause| no_response(cause.to_string()))?;
    let body = read_body(
        exchange.response.into_body(),
        LIST_MAX_BYTES,
        REQUEST_TIMEOUT,
    )
    .await
    .map_err(|cause| no_response(cause.to_string()))?;
    let list: VmList = serde_json::from_slice(&body)?;
    Ok(list.vms)
}
