//! Builds the components of a keeper and starts its tasks.

use {
    super::{
        AdapterLoader, ConfigurationTask, DemandReport, DemandTask, EntryService, FleetTask,
        GateService, HeadOffer, KeeperGossip, KeeperSettings, KeeperState, ListedVm,
        LoginCapabilities, MembershipTask, OperatorService, PeerChannels, PeerService,
        PlanningTask, Proposer, follow_live_keys, follow_vm_list,
    },
    crate::{
        config::Runner,
        engine::{Engine, HttpEngine},
        fleet::{FleetKeeper, FleetTiming, Owner},
        membership::{Heartbeat, Member},
        peer::{Credentials, SharedKey, serve_with_tls},
        security::{AllowedRoles, Tls, reload_tls_on_change},
        store::{EtcdStore, SharedStore, StoreTimeouts},
        units::Incarnation,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::spawn_local,
    },
};

/// The capacity of the channels between tasks, in messages.
const CHANNEL_CAPACITY: usize = 256;
/// The longest time without messages after which a watch of the store has failed.
const WATCH_SILENCE_MAX_MS: u64 = 7000;

/// The components that the tasks of a keeper share.
pub(super) struct KeeperParts {
    member: Member,
    credentials: Credentials,
    store: SharedStore,
    pub(super) state: KeeperState,
    pub(super) fleet: Rc<FleetKeeper>,
    demand: RefCell<Option<Rc<DemandTask>>>,
}

impl KeeperParts {
    /// Creates the components without starting any task.
    pub(super) fn new(settings: &KeeperSettings, tls: Option<Tls>) -> Self {
        let member = Member {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings
                .advertised_peer_address
                .unwrap_or(settings.peer_address),
            entry_address: settings.entry_peer_address,
            incarnation: Incarnation::from_current_time(),
        };
        let timeouts = StoreTimeouts {
            call_ms: settings.store_timeout_ms,
            watch_silence_ms: WATCH_SILENCE_MAX_MS,
        };
        let addresses = settings.store_addresses.clone();
        let store: SharedStore = Arc::new(EtcdStore::new(addresses, timeouts));
        let fleet = Rc::new(new_fleet(settings, &member, store.clone()));
        Self {
            member,
            credentials: Credentials {
                key: SharedKey::new(settings.peer_key.as_bytes()),
                tls,
            },
            store,
            state: KeeperState::default(),
            fleet,
            demand: RefCell::default(),
        }
    }

    /// Creates the heartbeat that keeps this VM's membership key alive.
    pub(super) fn heartbeat(&self, ttl_s: u64) -> Heartbeat {
        Heartbeat::new(self.store.clone(), self.member.clone(), ttl_s)
    }

    /// Starts all tasks and listeners. Must run in a `LocalSet`.
    pub(super) fn start(
        &self,
        settings: &KeeperSettings,
        peers: TcpListener,
        operators: TcpListener,
    ) {
        if let Some(tls) = self.credentials.tls.clone() {
            spawn_local(reload_tls_on_change(tls));
        }
        let (offers, offer_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, event_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        // Without a VM list, every VM may own runners; with one, only the listed VMs may.
        let unread = settings.vm_list_address.map(|_| Vec::new());
        let (listed, listed_vms) = watch::channel(unread);
        let gossip = Rc::new(KeeperGossip::new(
            self.member.vm.clone(),
            self.member.address,
            self.credentials.clone(),
            settings.seed_addresses.clone(),
            self.state.clone(),
            offers.clone(),
        ));
        let channels = self.start_fleet(settings, gossip.clone(), listed_vms, offers.clone());
        spawn_local(follow_live_keys(self.store.clone(), events));
        if let Some(address) = settings.vm_list_address {
            spawn_local(follow_vm_list(address, listed));
        }
        let membership = MembershipTask::new(self.state.clone(), self.fleet.clone(), offers);
        spawn_local(async move { membership.run(event_inbox).await });
        self.start_configuration(offer_inbox);
        self.start_gossip(
            &gossip,
            Duration::from_millis(settings.exchange_interval_ms),
        );
        self.start_listeners(settings, gossip, channels, peers, operators);
    }

    fn start_configuration(&self, offers: mpsc::Receiver<HeadOffer>) {
        let new_task = || {
            ConfigurationTask::new(
                self.state.clone(),
                self.store.clone(),
                self.credentials.clone(),
            )
        };
        let following = new_task();
        spawn_local(async move { following.run(offers).await });
        let repairing = new_task();
        spawn_local(async move { repairing.repair_history().await });
    }

    fn start_gossip(&self, gossip: &Rc<KeeperGossip>, interval: Duration) {
        spawn_local(gossip.clone().push_revisions());
        let gossip = gossip.clone();
        spawn_local(async move { gossip.exchange_periodically(interval).await });
    }

    fn start_fleet(
        &self,
        settings: &KeeperSettings,
        gossip: Rc<KeeperGossip>,
        listed: watch::Receiver<Option<Vec<ListedVm>>>,
        offers: mpsc::Sender<HeadOffer>,
    ) -> PeerChannels {
        let (proposals, proposal_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (states, state_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let task = Rc::new(FleetTask::new(
            self.member.vm.clone(),
            self.member.data_centre.clone(),
            self.state.clone(),
            self.fleet.clone(),
            gossip,
        ));
        let following = task.clone();
        spawn_local(async move { following.update_fleet_view(listed).await });
        let publishing = task.clone();
        spawn_local(async move { publishing.publish_states().await });
        let receiving = task.clone();
        spawn_local(async move { receiving.receive_reports(state_inbox).await });
        let proposing = task.clone();
        spawn_local(async move { proposing.receive_proposals(proposal_inbox).await });
        spawn_local(async move { task.flush_audit_periodically().await });
        let proposer = Proposer::new(
            self.member.vm.clone(),
            self.credentials.clone(),
            self.state.clone(),
            proposals.clone(),
            states.clone(),
        );
        let demand = self.start_planning(settings, proposer);
        PeerChannels {
            offers,
            demand,
            proposals,
            states,
        }
    }

    fn start_planning(
        &self,
        settings: &KeeperSettings,
        proposer: Proposer,
    ) -> mpsc::Sender<DemandReport> {
        let (demand, demand_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let tracker = Rc::default();
        let own_data_centre = self.member.data_centre.clone();
        let adapter_loader =
            AdapterLoader::new(own_data_centre, self.state.clone(), proposer.clone());
        let task = Rc::new(DemandTask::new(
            self.member.vm.clone(),
            self.member.data_centre.clone(),
            self.credentials.clone(),
            self.state.clone(),
            Rc::clone(&tracker),
            adapter_loader,
        ));
        let receiving = task.clone();
        spawn_local(async move { receiving.receive_peer_reports(demand_inbox).await });
        let reporting = task.clone();
        spawn_local(async move { reporting.report_to_planner().await });
        let sharing = task.clone();
        spawn_local(async move { sharing.share_with_planners().await });
        *self.demand.borrow_mut() = Some(task);
        let vm = self.member.vm.clone();
        let planning = PlanningTask::new(vm, self.state.clone(), tracker, proposer);
        let interval = Duration::from_millis(settings.planning_interval_ms);
        spawn_local(async move { planning.run(interval).await });
        demand
    }

    fn start_listeners(
        &self,
        settings: &KeeperSettings,
        gossip: Rc<KeeperGossip>,
        channels: PeerChannels,
        peers: TcpListener,
        operators: TcpListener,
    ) {
        let (reports, report_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        if let Some(task) = self.demand.take() {
            spawn_local(async move { task.receive_entry_reports(report_inbox).await });
        }
        let tls = |allowed_roles| Some(self.credentials.tls.as_ref()?.server(allowed_roles));
        let processes = LoginCapabilities::Processes {
            key: self.credentials.key.clone(),
            peer: PeerService::client(self.state.clone(), gossip, channels),
            entry: EntryService::client(self.state.clone(), reports),
        };
        spawn_local(serve_with_tls(
            peers,
            tls(AllowedRoles::Nodes),
            move |login| GateService::client(processes.clone(), login),
        ));
        let operator = OperatorService::client(
            self.member.vm.clone(),
            self.member.incarnation,
            self.state.clone(),
            self.store.clone(),
        );
        let key = SharedKey::new(settings.operator_key.as_bytes());
        let roles = LoginCapabilities::Operators { key, operator };
        spawn_local(serve_with_tls(
            operators,
            tls(AllowedRoles::Operators),
            move |login| GateService::client(roles.clone(), login),
        ));
    }
}

fn new_fleet(settings: &KeeperSettings, member: &Member, store: SharedStore) -> FleetKeeper {
    let owner = Owner {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    };
    let timing = FleetTiming {
        status_interval: Duration::from_millis(settings.status_interval_ms),
        order_timeout: Duration::from_millis(settings.order_timeout_ms),
    };
    let timeout = timing.order_timeout;
    let engines = move |runner: &Runner| -> Arc<dyn Engine> {
        Arc::new(HttpEngine::new(runner.address, timeout))
    };
    FleetKeeper::new(
        store,
        Box::new(engines),
        owner,
        settings.data_centre.clone(),
        timing,
    )
}
