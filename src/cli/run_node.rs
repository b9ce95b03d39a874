//! Commands that are sent to a node of a platform.

use {
    super::{
        CliError, Command, NodeClient, Output,
        node_text::{PeerStatusResult, describe_events, describe_history, describe_status},
    },
    crate::node::NodeStatus,
    futures::future::join_all,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::sleep,
};

/// Time between two status views of `ggt watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Escape sequence that clears the terminal and moves the cursor to the top left.
const CLEAR: &str = "\u{1b}[H\u{1b}[2J";

/// Runs a command against a node.
pub(super) async fn run(
    command: &Command,
    client: NodeClient,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    match command {
        Command::Status => {
            let (first, peers) = fetch_statuses(&client).await?;
            output.print(
                || describe_status(&first, &peers),
                &status_json(&first, &peers),
            )
        }
        Command::Watch { count } => watch(&client, *count, output).await,
        Command::Show { revision: None } => {
            let text = client.configuration().await?;
            let value: Value = serde_json::from_slice(&text)?;
            let pretty = || serde_json::to_string_pretty(&value).unwrap_or_default();
            output.print(pretty, &value)
        }
        Command::History { limit } => {
            let mut changes = client.history().await?;
            keep_newest(&mut changes, *limit);
            let json = json!({"configurations": changes});
            output.print(|| describe_history(&changes), &json)
        }
        Command::Audit { limit } => {
            let mut events = client.events().await?;
            keep_newest(&mut events, *limit);
            output.print(|| describe_events(&events), &json!({"events": events}))
        }
        Command::Drain => {
            client.drain().await?;
            output.print(|| "draining".to_owned(), &json!({"draining": true}))
        }
        _ => Err(CliError::Usage(
            "a node takes status, watch, show, history, audit and drain only".to_owned(),
        )),
    }
}

/// Fetches the status of a node and of all peers that it reports.
async fn fetch_statuses(
    client: &NodeClient,
) -> Result<(NodeStatus, Vec<PeerStatusResult>), CliError> {
    let first = client.status().await?;
    let peers = first.peers.iter().map(|peer| async {
        let address = peer.control_address;
        let result = client.status_of(address).await;
        (address, result.map_err(|cause| cause.to_string()))
    });
    let peers = join_all(peers).await;
    Ok((first, peers))
}

async fn watch(
    client: &NodeClient,
    count: Option<u32>,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let mut shown = 0;
    while count.is_none_or(|count| shown < count) {
        if shown > 0 {
            sleep(WATCH_INTERVAL).await;
        }
        shown += 1;
        // The view goes on if the node is unavailable for a while, as may happen in an incident.
        match fetch_statuses(client).await {
            Ok((first, peers)) => {
                let text = || format!("{CLEAR}{}", describe_status(&first, &peers));
                output.print(text, &status_json(&first, &peers))?;
            }
            Err(error) => output.print_error(&error),
        }
    }
    Ok(())
}

fn status_json(first: &NodeStatus, peers: &[PeerStatusResult]) -> Value {
    let peers = peers.iter().map(|(address, result)| match result {
        Ok(status) => json!({"control_address": address, "status": status}),
        Err(cause) => json!({"control_address": address, "error": cause}),
    });
    json!({"status": first, "peers": peers.collect::<Vec<_>>()})
}

fn keep_newest<T>(items: &mut Vec<T>, limit: u32) {
    let surplus = items.len().saturating_sub(limit as usize);
    items.drain(..surplus);
}
