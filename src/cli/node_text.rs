//! Formats node status, history and events as text for the terminal.

use {
    super::output::describe_time,
    crate::{
        node::{NodeStatus, RunnerStatus},
        telemetry::LoggedEvent,
        traffic::ConfigActivation,
    },
    std::{fmt::Write, net::SocketAddr},
};

/// The control address of a peer and its status, or why the status call failed.
pub(super) type PeerStatusResult = (SocketAddr, Result<NodeStatus, String>);

/// Returns a table of all nodes, followed by the leader, watches, refusals and runners that the
/// first node reports.
pub(super) fn describe_status(first: &NodeStatus, peers: &[PeerStatusResult]) -> String {
    let mut rows = vec![row([
        "node", "zone", "ready", "config", "leads", "waiting", "refused",
    ])];
    rows.push(node_row(first));
    for (address, result) in peers {
        rows.push(match result {
            Ok(status) => node_row(status),
            Err(cause) => row([&address.to_string(), "-", &format!("no answer: {cause}")]),
        });
    }
    let mut text = table(&rows);
    let _ = match (&first.leader, first.fencing_token) {
        (Some(leader), Some(token)) => {
            writeln!(text, "\nleader: {leader} with fencing token {token}")
        }
        _ => writeln!(text, "\nleader: none"),
    };
    for watch in &first.watches {
        let _ = writeln!(text, "watch {}: {} ms ago", watch.prefix, watch.age_ms);
    }
    for refused in &first.refused {
        let _ = writeln!(text, "refused as {}: {}", refused.reason, refused.requests);
    }
    for quarantined in &first.quarantined {
        let _ = writeln!(
            text,
            "{} crashes runners: refused for {} s more",
            quarantined.description(),
            quarantined.remaining_ms / 1_000
        );
    }
    let mut rows = vec![row([
        "runner", "service", "zone", "state", "running", "holds",
    ])];
    rows.extend(first.runners.iter().map(runner_row));
    text.push('\n');
    text.push_str(&table(&rows));
    text
}

/// Returns one line for each activated configuration.
pub(super) fn describe_history(changes: &[ConfigActivation]) -> String {
    let lines = changes.iter().map(|change| {
        let at = describe_time(change.at_unix_ms);
        format!("version {}  in force since {at}", change.version)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns one line for each event.
pub(super) fn describe_events(events: &[LoggedEvent]) -> String {
    let lines = events.iter().map(|event| {
        let mut line = format!("{} {}", describe_time(event.at_unix_ms), event.message);
        for (name, value) in event.fields.iter().filter(|(_, value)| !value.is_empty()) {
            let _ = write!(line, " {name}={value}");
        }
        line
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn node_row(status: &NodeStatus) -> Vec<String> {
    let number = |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
    let waiting: usize = status.waiting.iter().map(|waiting| waiting.requests).sum();
    let refused: u64 = status.refused.iter().map(|refused| refused.requests).sum();
    vec![
        status.node.to_string(),
        status.data_centre.to_string(),
        if status.is_ready { "yes" } else { "no" }.to_owned(),
        number(status.config_version),
        number(status.leads_with),
        waiting.to_string(),
        refused.to_string(),
    ]
}

fn runner_row(runner: &RunnerStatus) -> Vec<String> {
    let holds = runner.models.iter().map(|(model, adapters)| {
        let adapters: Vec<&str> = adapters.iter().map(|adapter| adapter.as_str()).collect();
        match adapters.is_empty() {
            true => model.to_string(),
            false => format!("{model}[{}]", adapters.join(",")),
        }
    });
    vec![
        runner.runner.to_string(),
        runner.service.to_string(),
        runner.data_centre.to_string(),
        if runner.is_draining {
            "leaving"
        } else {
            "ready"
        }
        .to_owned(),
        format!("{}/{}", runner.in_flight, runner.slots),
        holds.collect::<Vec<_>>().join(" "),
    ]
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.into_iter().map(str::to_owned).collect()
}

/// Formats rows as columns of equal width, without padding the last cell of a row.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter(|row| row.len() > column + 1);
        let widths = cells.map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
