//! Applies changes of the live keys to the keeper's state and to the fleet.

use {
    super::{HeadOffer, KeeperState, LiveEvent},
    crate::fleet::{FleetKeeper, RunnerRecord},
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// How often members whose removal grace has ended are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changes of the live keys to the keeper's state and to the fleet.
pub struct MembershipTask {
    state: KeeperState,
    fleet: Rc<FleetKeeper>,
    offers: mpsc::Sender<HeadOffer>,
}

impl MembershipTask {
    /// Creates the task; heads read from the store are sent to `offers`.
    pub fn new(
        state: KeeperState,
        fleet: Rc<FleetKeeper>,
        offers: mpsc::Sender<HeadOffer>,
    ) -> Self {
        Self {
            state,
            fleet,
            offers,
        }
    }

    /// Applies events until their channel closes.
    pub async fn run(&self, mut events: mpsc::Receiver<LiveEvent>) {
        let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.apply(event).await,
                    None => return,
                },
                _ = expiry.tick() => {
                    self.state.update_members(|list| list.remove_expired(Instant::now()));
                }
            }
        }
    }

    async fn apply(&self, event: LiveEvent) {
        let now = Instant::now();
        match event {
            LiveEvent::Listed {
                head,
                members,
                records,
            } => {
                self.state.update_members(|list| list.replace(members, now));
                for (_, record) in records {
                    self.apply_record(&record);
                }
                if let Some(head) = head {
                    self.offer(head).await;
                }
            }
            LiveEvent::Head(head) => self.offer(head).await,
            LiveEvent::MemberWritten(member) => {
                self.state.update_members(|list| list.insert(member));
            }
            LiveEvent::MemberLeaving(vm) => {
                log::info!("membership: {vm} leaves (planned stop).");
                self.state.update_members(|list| list.remove(&vm));
            }
            LiveEvent::MemberKeyDeleted(vm) => {
                self.state.update_members(|list| {
                    list.mark_missing(&vm, now);
                    false
                });
            }
            LiveEvent::RecordWritten(_, record) => self.apply_record(&record),
        }
    }

    async fn offer(&self, head: crate::config::Head) {
        let _ = self.offers.send(HeadOffer { head, peer: None }).await;
    }

    fn apply_record(&self, record: &Bytes) {
        match serde_json::from_slice::<RunnerRecord>(record) {
            Ok(record) => self.fleet.apply_record(&record),
            Err(error) => log::error!("keeper: a runner record cannot be decoded: {error}"),
        }
    }
}
