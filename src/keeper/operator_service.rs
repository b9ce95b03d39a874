//! Serves the RPC calls of operators.

use {
    super::{KeeperState, KeeperStatus},
    crate::{
        config::{
            Catalog, ConfigFault, EncodedSnapshot, Head, ParsedObjects, Publication,
            PublishOutcome, Publisher, check_parsed, collect_garbage, read_revision,
        },
        fleet::read_audit,
        peer::{list_len, read_head, write_head, write_texts},
        peer_capnp::{operator, publish_outcome},
        store::SharedStore,
        units::{Incarnation, Revision, VmName, unix_now_ms},
    },
    capnp::Error,
    std::{rc::Rc, sync::Arc},
};

/// The largest number of audit records that one call returns.
const AUDIT_RECORDS_MAX: u32 = 1000;
/// The file name in faults of published objects.
const PUBLICATION_NAME: &str = "published objects";

/// Serves the RPC calls of operators.
pub struct OperatorService {
    vm: VmName,
    incarnation: Incarnation,
    state: KeeperState,
    store: SharedStore,
    publisher: Publisher,
}

impl OperatorService {
    /// Creates the service and returns a capability for it.
    pub fn client(
        vm: VmName,
        incarnation: Incarnation,
        state: KeeperState,
        store: SharedStore,
    ) -> operator::Client {
        capnp_rpc::new_client(Self {
            vm,
            incarnation,
            state,
            publisher: Publisher::new(store.clone()),
            store,
        })
    }

    async fn publish_checked(
        &self,
        catalog: &Catalog,
        wanted: Head,
        expected: Revision,
    ) -> Result<PublishOutcome, Error> {
        let snapshot = EncodedSnapshot::encode(catalog).map_err(failed)?;
        let publication = Publication {
            snapshot,
            publish_id: wanted.publish_id,
            author: wanted.author,
            message: wanted.message,
            published_at_ms: unix_now_ms(),
            expected,
        };
        let outcome = self
            .publisher
            .publish(&publication, || self.state.newest_known())
            .await
            .map_err(failed)?;
        if let PublishOutcome::Published(head) = &outcome {
            log::info!(
                "keeper: {} published revision {}.",
                head.author,
                head.revision
            );
            if let Err(error) = self
                .state
                .activate_if_newer(head.clone(), publication.snapshot)
            {
                log::error!("keeper: revision {} was rejected: {error}", head.revision);
            }
            tokio::task::spawn_local(collect_old_blobs(self.store.clone()));
        }
        Ok(outcome)
    }

    /// Returns the configuration of a revision; revision 0 stands for the one in force.
    async fn find_revision(
        &self,
        wanted: Revision,
    ) -> Result<Option<(Head, Option<Arc<Catalog>>)>, Error> {
        let in_force = self.state.in_force();
        if wanted == Revision::default() {
            return Ok(in_force.map(|current| (current.head, Some(current.catalog))));
        }
        match in_force {
            Some(current) if current.head.revision == wanted => {
                Ok(Some((current.head, Some(current.catalog))))
            }
            _ => {
                let found = read_revision(self.store.as_ref(), wanted).await;
                let found = found.map_err(failed)?;
                Ok(found.map(|(head, catalog)| (head, catalog.map(Arc::new))))
            }
        }
    }

    async fn read_audit(&self, limit: usize) -> Result<Vec<String>, Error> {
        let records = read_audit(self.store.as_ref(), limit)
            .await
            .map_err(failed)?;
        let lines = records.iter().map(serde_json::to_string);
        lines.collect::<Result<_, _>>().map_err(failed)
    }
}

/// Removes blobs of revisions that are no longer retained. Runs after the reply to the operator.
async fn collect_old_blobs(store: SharedStore) {
    match collect_garbage(store.as_ref()).await {
        Ok(removed) => log::debug!("config: removed {removed} old blobs."),
        Err(error) => log::debug!("config: removing old blobs failed: {error}"),
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}

fn parse_objects(bytes: &[u8]) -> Result<Catalog, Vec<ConfigFault>> {
    let mut parsed = ParsedObjects::default();
    parsed.parse_file(PUBLICATION_NAME, bytes);
    check_parsed(&parsed)
}

fn write_outcome(outcome: &PublishOutcome, to: &mut publish_outcome::Builder<'_>) {
    match outcome {
        PublishOutcome::Published(head) => write_head(head, to.reborrow().init_published()),
        PublishOutcome::Conflict(head) => write_head(head, to.reborrow().init_conflict()),
        PublishOutcome::Unknown(id) => to.set_unknown(id.to_string()),
    }
}

impl operator::Server for OperatorService {
    async fn publish(
        self: Rc<Self>,
        params: operator::PublishParams,
        mut results: operator::PublishResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let expected = Revision(params.get_expected());
        let wanted = read_head(params.get_head()?)?;
        let wanted = wanted.ok_or_else(|| failed("the publication has no head"))?;
        let mut reply = results.get().init_outcome();
        match parse_objects(params.get_snapshot()?) {
            Ok(catalog) => {
                let outcome = self.publish_checked(&catalog, wanted, expected).await?;
                write_outcome(&outcome, &mut reply);
            }
            Err(faults) => {
                let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
                write_texts(&texts, reply.init_refused(list_len(texts.len())));
            }
        }
        Ok(())
    }

    async fn show(
        self: Rc<Self>,
        params: operator::ShowParams,
        mut results: operator::ShowResults,
    ) -> Result<(), Error> {
        let wanted = Revision(params.get()?.get_revision());
        let Some((head, catalog)) = self.find_revision(wanted).await? else {
            return Ok(());
        };
        let mut reply = results.get();
        write_head(&head, reply.reborrow().init_head());
        if let Some(catalog) = catalog {
            reply.set_snapshot(&serde_json::to_vec(&catalog.objects()).map_err(failed)?);
        }
        Ok(())
    }

    async fn history(
        self: Rc<Self>,
        params: operator::HistoryParams,
        mut results: operator::HistoryResults,
    ) -> Result<(), Error> {
        let limit = params.get()?.get_limit() as usize;
        let heads = self.publisher.history(limit).await.map_err(failed)?;
        let mut slots = results.get().init_heads(list_len(heads.len()));
        for (index, head) in (0..).zip(&heads) {
            write_head(head, slots.reborrow().get(index));
        }
        Ok(())
    }

    async fn audit(
        self: Rc<Self>,
        params: operator::AuditParams,
        mut results: operator::AuditResults,
    ) -> Result<(), Error> {
        let limit = params.get()?.get_limit().min(AUDIT_RECORDS_MAX) as usize;
        let records = self.read_audit(limit).await?;
        write_texts(
            &records,
            results.get().init_records(list_len(records.len())),
        );
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> Result<(), Error> {
        let status = KeeperStatus::collect(&self.vm, self.incarnation, &self.state);
        let text = serde_json::to_string(&status).map_err(failed)?;
        results.get().set_status(&text);
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        _params: operator::DrainParams,
        _results: operator::DrainResults,
    ) -> Result<(), Error> {
        log::info!("keeper: an operator requested a drain.");
        self.state.start_draining();
        Ok(())
    }
}
