//! Commands that read from a keeper, and the command that starts its planned stop.

use {
    super::{CliError, OperatorClient, Output, describe_audit, describe_head},
    crate::{config::Head, fleet::AuditRecord, units::Revision},
    serde_json::json,
};

/// Prints the configuration in force, or an older revision.
pub(super) async fn show(
    client: &OperatorClient,
    revision: Option<Revision>,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let found = client.show(revision.unwrap_or_default()).await?;
    let Some((head, catalog)) = found else {
        return Err(CliError::Unsuccessful(match revision {
            Some(revision) => format!("revision {revision} is not kept"),
            None => "nothing has been published".to_owned(),
        }));
    };
    let objects = catalog.map(|catalog| catalog.objects());
    let text = || match &objects {
        Some(objects) => {
            let lines = objects
                .iter()
                .filter_map(|object| serde_json::to_string(object).ok());
            let lines: Vec<String> = lines.collect();
            format!("{}\n{}", describe_head(&head), lines.join("\n"))
        }
        None => format!(
            "{}\n    its objects are not kept any more",
            describe_head(&head)
        ),
    };
    output.print(text, &json!({"head": head, "objects": objects}))
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
    let parsed = records.iter().map(|record| serde_json::from_str(record));
    let records: Vec<AuditRecord> = parsed.collect::<Result<_, _>>()?;
    let text = || {
        let lines: Vec<String> = records.iter().map(describe_audit).collect();
        lines.join("\n")
    };
    output.print(text, &json!({"records": records}))
}

/// Prints the keeper's status.
pub(super) async fn status(
    client: &OperatorClient,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let status = client.status().await?;
    let text = || serde_json::to_string_pretty(&status).unwrap_or_default();
    output.print(text, &status)
}

/// Starts the planned stop of the keeper's VM.
pub(super) async fn drain(
    client: &OperatorClient,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    client.drain().await?;
    output.print(|| "draining".to_owned(), &json!({"draining": true}))
}
