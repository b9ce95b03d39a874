//! The commands that read from a keeper, and the planned stop.

use {
    super::{CliError, OperatorClient, Output, describe_head},
    crate::{
        config::{HISTORY_MAX, Head},
        units::Revision,
    },
    serde_json::{Value, json},
};

/// Prints the configuration in force, or the record of an older revision.
pub(super) async fn show(
    client: &OperatorClient,
    revision: Option<Revision>,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let in_force = client.show().await?;
    match (in_force, revision) {
        (Some((head, catalog)), wanted) if wanted.is_none_or(|wanted| wanted == head.revision) => {
            let objects = catalog.objects();
            let text = || {
                let lines = objects
                    .iter()
                    .filter_map(|object| serde_json::to_string(object).ok());
                let lines: Vec<String> = lines.collect();
                format!("{}\n{}", describe_head(&head), lines.join("\n"))
            };
            output.print(text, &json!({"head": head, "objects": objects}))
        }
        (_, Some(wanted)) => show_record(client, wanted, output).await,
        (_, None) => Err(CliError::NotFound("nothing has been published".to_owned())),
    }
}

async fn show_record(
    client: &OperatorClient,
    wanted: Revision,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let heads = client.history(HISTORY_MAX as u32).await?;
    match heads.iter().find(|head| head.revision == wanted) {
        Some(head) => output.print(|| describe_head(head), &json!({"head": head})),
        None => Err(CliError::NotFound(format!("revision {wanted} is not kept"))),
    }
}

/// Lists published revisions.
pub(super) async fn history(
    client: &OperatorClient,
    limit: u32,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let heads: Vec<Head> = client.history(limit).await?;
    let text = || {
        let lines: Vec<String> = heads.iter().map(describe_head).collect();
        lines.join("\n")
    };
    output.print(text, &json!({"heads": heads}))
}

/// Lists audit records.
pub(super) async fn audit(
    client: &OperatorClient,
    limit: u32,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let records = client.audit(limit).await?;
    let parse = |record: &String| {
        let parsed = serde_json::from_str(record);
        parsed.unwrap_or_else(|_| Value::String(record.clone()))
    };
    let json: Vec<Value> = records.iter().map(parse).collect();
    output.print(|| records.join("\n"), &json!({"records": json}))
}

/// Prints what the keeper knows.
pub(super) async fn status(
    client: &OperatorClient,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let status = client.status().await?;
    let text = || serde_json::to_string_pretty(&status).unwrap_or_default();
    output.print(text, &status)
}

/// Starts the planned stop.
pub(super) async fn drain(
    client: &OperatorClient,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    client.drain().await?;
    output.print(|| "draining".to_owned(), &json!({"draining": true}))
}
