//! Commands that compare a directory with the configuration in force and publish it.

use {
    super::{CliError, OperatorClient, OperatorPublication, Output, describe_head},
    crate::{
        config::{Catalog, ObjectChange, PublishOutcome, diff_catalogs},
        units::{PublishId, Revision},
    },
    serde_json::{Value, json},
};

/// Number of newest heads searched for a publication whose response was lost.
const SEARCHED_HEADS_MAX: u32 = 20;

/// Builds a publication; without `expected`, the revision in force must still be the newest.
pub(super) async fn prepare(
    client: &OperatorClient,
    catalog: Catalog,
    author: &str,
    message: &str,
    expected: Option<Revision>,
) -> Result<OperatorPublication, CliError> {
    let expected = match expected {
        Some(expected) => expected,
        None => match client.show(Revision::default()).await? {
            Some((head, _)) => head.revision,
            None => Revision::default(),
        },
    };
    Ok(OperatorPublication {
        catalog,
        publish_id: PublishId::random(),
        author: author.to_owned(),
        message: message.to_owned(),
        expected,
    })
}

/// Publishes a configuration and prints the outcome.
pub(super) async fn publish(
    client: &OperatorClient,
    publication: &OperatorPublication,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let outcome = match client.publish(publication).await {
        Err(CliError::Keeper(error)) => match find_published(client, publication).await {
            Some(published) => published,
            None => return Err(CliError::Keeper(error)),
        },
        result => result?,
    };
    match outcome {
        PublishOutcome::Published(head) => output.print(
            || format!("published {}", describe_head(&head)),
            &json!({"outcome": "published", "head": head}),
        ),
        PublishOutcome::Conflict(head) => {
            if output.json {
                let json = json!({"outcome": "conflict", "head": head});
                output.print(String::new, &json)?;
            }
            Err(CliError::Unsuccessful(format!(
                "not published: another revision is newer than {}: {}",
                publication.expected,
                describe_head(&head)
            )))
        }
        PublishOutcome::Unknown(id) => {
            if output.json {
                let json = json!({"outcome": "unknown", "publish_id": id});
                output.print(String::new, &json)?;
            }
            Err(CliError::Unsuccessful(format!(
                "the outcome is unknown: look for publish id {id} in ggt history"
            )))
        }
    }
}

/// Searches the keeper's history for a publication whose response was lost.
async fn find_published(
    client: &OperatorClient,
    publication: &OperatorPublication,
) -> Option<PublishOutcome> {
    let heads = client.history(SEARCHED_HEADS_MAX).await.ok()?;
    let mut heads = heads.into_iter();
    let found = heads.find(|head| head.publish_id == publication.publish_id)?;
    Some(PublishOutcome::Published(found))
}

/// Prints what publishing a catalog would change.
pub(super) async fn diff(
    client: &OperatorClient,
    catalog: &Catalog,
    output: &mut Output<'_>,
) -> Result<(), CliError> {
    let in_force = client.show(Revision::default()).await?;
    let before = in_force.and_then(|(_, before)| before).unwrap_or_default();
    let changes = diff_catalogs(&before, catalog);
    let json: Vec<Value> = changes.iter().map(change_json).collect();
    let text = || match changes.as_slice() {
        [] => "no changes".to_owned(),
        changes => {
            let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    };
    output.print(text, &json!({"changes": json}))
}

fn change_json(change: &ObjectChange) -> Value {
    match change {
        ObjectChange::Added(object) => json!({"change": "added", "object": object}),
        ObjectChange::Removed(object) => json!({"change": "removed", "object": object}),
        ObjectChange::Changed { before, after } => {
            json!({"change": "changed", "before": before, "after": after})
        }
    }
}
