//! The connection of an entry to the keeper of its VM.

use {
    super::{Credentials, PeerError, connect_entry_link, convert, with_timeout},
    crate::{
        config::{Catalog, Object},
        entry::{EntryReport, EntryView},
        fleet::RunnerState,
        peer_capnp::entry_link,
        units::Revision,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        task::LocalSet,
    },
};

/// The longest time that a keeper holds a long poll open.
pub const LONG_POLL_MAX: Duration = Duration::from_secs(5);
/// The longest wait for a reply of the keeper; longer than [`LONG_POLL_MAX`].
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause before reconnecting.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// The largest number of reports queued while the keeper is unreachable; when the queue is full,
/// newer reports are dropped.
const QUEUED_REPORTS_MAX: usize = 64;

/// The entry's ends of the channels to the connection's thread.
#[derive(Debug)]
pub struct EntryLink {
    /// The newest view; the last value stays while the keeper is unreachable.
    pub views: watch::Receiver<Arc<EntryView>>,
    /// Queues reports for the keeper.
    pub reports: mpsc::Sender<EntryReport>,
}

/// Starts the connection on its own thread, because capnp-rpc is single-threaded.
///
/// # Errors
///
/// Fails when the thread or its runtime cannot be started.
pub fn spawn_entry_link(
    address: SocketAddr,
    credentials: Credentials,
) -> std::io::Result<EntryLink> {
    let (view_sender, views) = watch::channel(Arc::new(EntryView::default()));
    let (reports, report_receiver) = mpsc::channel(QUEUED_REPORTS_MAX);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("entry-link".to_owned())
        .spawn(move || {
            let link = run_link(address, credentials, view_sender, report_receiver);
            LocalSet::new().block_on(&runtime, link);
        })?;
    Ok(EntryLink { views, reports })
}

async fn run_link(
    address: SocketAddr,
    credentials: Credentials,
    views: watch::Sender<Arc<EntryView>>,
    mut reports: mpsc::Receiver<EntryReport>,
) {
    loop {
        tokio::select! {
            () = views.closed() => return,
            ended = follow_keeper(address, &credentials, &views, &mut reports) => {
                if let Err(error) = ended {
                    log::warn!("entry-link: the connection to the keeper failed: {error}");
                }
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_keeper(
    address: SocketAddr,
    credentials: &Credentials,
    views: &watch::Sender<Arc<EntryView>>,
    reports: &mut mpsc::Receiver<EntryReport>,
) -> Result<(), PeerError> {
    let (_connection, link) = connect_entry_link(address, credentials).await?;
    log::info!("entry-link: connected to the keeper.");
    let configuration = follow_configuration(&link, views);
    let runners = follow_runners(&link, views);
    let reporting = send_reports(&link, reports);
    futures::try_join!(configuration, runners, reporting)?;
    Ok(())
}

async fn follow_configuration(
    link: &entry_link::Client,
    views: &watch::Sender<Arc<EntryView>>,
) -> Result<(), PeerError> {
    loop {
        let known = views
            .borrow()
            .head
            .as_ref()
            .map_or(Revision(0), |head| head.revision);
        let mut request = link.configuration_request();
        request.get().set_known(known.0);
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        let reply = reply.get()?;
        let Some(head) = convert::read_head(reply.get_head()?)? else {
            continue;
        };
        if head.revision <= known {
            continue;
        }
        let objects: Vec<Object> = serde_json::from_slice(reply.get_snapshot()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let catalog = Arc::new(Catalog::from_objects(objects));
        log::info!("entry-link: revision {} is in force.", head.revision);
        update_view(views, |view| {
            view.head = Some(head);
            view.catalog = catalog;
        });
    }
}

async fn follow_runners(
    link: &entry_link::Client,
    views: &watch::Sender<Arc<EntryView>>,
) -> Result<(), PeerError> {
    let mut known = 0;
    loop {
        let mut request = link.runners_request();
        request.get().set_known(known);
        let reply = with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
        let reply = reply.get()?;
        let changed = convert::read_runners(reply.get_runners()?)?;
        let members = convert::read_members(reply.get_members()?)?;
        let leaving = convert::read_addresses(reply.get_leaving()?)?;
        let draining = reply.get_draining();
        let unchanged = reply.get_version() == known;
        known = reply.get_version();
        if unchanged {
            continue;
        }
        update_view(views, |view| {
            merge_runners(&mut view.runners, changed);
            view.draining = draining;
            view.leaving = leaving;
            if !members.is_empty() {
                view.members = members;
            }
        });
    }
}

async fn send_reports(
    link: &entry_link::Client,
    reports: &mut mpsc::Receiver<EntryReport>,
) -> Result<(), PeerError> {
    while let Some(report) = reports.recv().await {
        let mut request = link.report_request();
        let mut demand = request
            .get()
            .init_demand(convert::list_len(report.demand.len()));
        for (index, count) in (0..).zip(&report.demand) {
            convert::write_demand(count, demand.reborrow().get(index));
        }
        let suspects: Vec<_> = report
            .suspects
            .iter()
            .map(|runner| runner.as_str())
            .collect();
        let slots = request
            .get()
            .init_suspects(convert::list_len(suspects.len()));
        convert::write_texts(&suspects, slots);
        with_timeout(REPLY_TIMEOUT, request.send().promise).await?;
    }
    futures::future::pending().await
}

fn update_view(views: &watch::Sender<Arc<EntryView>>, change: impl FnOnce(&mut EntryView)) {
    views.send_modify(|view| change(Arc::make_mut(view)));
}

/// Replaces or inserts changed states, keeping the list sorted by name.
fn merge_runners(runners: &mut Vec<RunnerState>, changed: Vec<RunnerState>) {
    for state in changed {
        match runners.binary_search_by(|known| known.name.cmp(&state.name)) {
            Ok(position) => runners[position] = state,
            Err(position) => runners.insert(position, state),
        }
    }
}
