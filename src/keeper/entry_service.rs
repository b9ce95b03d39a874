//! Serves the RPC calls of the entry of this VM.

use {
    super::KeeperState,
    crate::{
        entry::EntryReport,
        peer::{
            LONG_POLL_MAX, list_len, read_demands, read_texts, write_head, write_member,
            write_runner, write_texts,
        },
        peer_capnp::entry_link,
        units::Revision,
    },
    capnp::Error,
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// How long a reply waits after a change, so that it carries further changes as well.
const CHANGE_BATCH_WINDOW: Duration = Duration::from_millis(10);

/// Serves the RPC calls of the entry of this VM.
pub struct EntryService {
    state: KeeperState,
    reports: mpsc::Sender<EntryReport>,
}

impl EntryService {
    /// Creates the service and returns a capability for it; entry reports are sent to `reports`.
    pub fn client(state: KeeperState, reports: mpsc::Sender<EntryReport>) -> entry_link::Client {
        capnp_rpc::new_client(Self { state, reports })
    }
}

impl entry_link::Server for EntryService {
    async fn configuration(
        self: Rc<Self>,
        params: entry_link::ConfigurationParams,
        mut results: entry_link::ConfigurationResults,
    ) -> Result<(), Error> {
        let known = Revision(params.get()?.get_known());
        let mut revisions = self.state.watch_revision();
        let _ = timeout(
            LONG_POLL_MAX,
            revisions.wait_for(|revision| *revision > known),
        )
        .await;
        let Some(in_force) = self.state.in_force() else {
            return Ok(());
        };
        let mut reply = results.get();
        write_head(&in_force.head, reply.reborrow().init_head());
        if in_force.head.revision > known {
            let objects = serde_json::to_vec(&in_force.catalog.objects())
                .map_err(|error| Error::failed(error.to_string()))?;
            reply.set_snapshot(&objects);
        }
        Ok(())
    }

    async fn runners(
        self: Rc<Self>,
        params: entry_link::RunnersParams,
        mut results: entry_link::RunnersResults,
    ) -> Result<(), Error> {
        let known = params.get()?.get_known();
        let mut versions = self.state.watch_version();
        let waited = timeout(LONG_POLL_MAX, versions.wait_for(|version| *version > known));
        let changed = waited.await.is_ok();
        if changed && known > 0 {
            tokio::time::sleep(CHANGE_BATCH_WINDOW).await;
        }
        let changes = self.state.changes_since(known);
        let mut reply = results.get();
        reply.set_version(changes.version);
        reply.set_draining(changes.draining);
        let mut runners = reply
            .reborrow()
            .init_runners(list_len(changes.runners.len()));
        for (index, state) in (0..).zip(&changes.runners) {
            write_runner(state, runners.reborrow().get(index));
        }
        let leaving: Vec<String> = changes.leaving.iter().map(ToString::to_string).collect();
        write_texts(
            &leaving,
            reply.reborrow().init_leaving(list_len(leaving.len())),
        );
        let mut members = reply.init_members(list_len(changes.members.len()));
        for (index, member) in (0..).zip(&changes.members) {
            write_member(member, members.reborrow().get(index));
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: entry_link::ReportParams,
        _results: entry_link::ReportResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let report = EntryReport {
            demand: read_demands(params.get_demand()?)?,
            suspects: read_texts(params.get_suspects()?)?,
        };
        if self.reports.try_send(report).is_err() {
            log::warn!("keeper: dropped a report of the entry; the report queue is full.");
        }
        Ok(())
    }
}
