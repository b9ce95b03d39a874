//! Asks the homes of workspaces for allowance, and answers as a home.

use {
    super::{
        ANSWER_TTL, AllowanceAnswer, AskOutcome, HomeAnswer, HomeLedger, HomeList, HomeShare,
        LeasedAllowance, QuotaBounds, QuotaCounters, QuotaMessage, SpendDecision, SpentAllowance,
        fair_level,
    },
    crate::{
        gossip::{append_mac, verify_mac},
        leader::PeerNode,
        security::KeyRing,
        telemetry::MetricText,
        traffic::{ActiveConfig, NodeName},
        workspaces::{Quota, WorkspaceName},
    },
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{oneshot, watch},
        time::{self, Instant, MissedTickBehavior},
    },
};

/// How long a node waits for the answer of a home before it asks the next one.
const ASK_TIMEOUT: Duration = Duration::from_millis(80);

/// How long a home that did not answer is not asked.
const SILENT_SPAN: Duration = Duration::from_millis(250);

/// How often a node checks whether it may grant.
const STANDING_INTERVAL: Duration = Duration::from_millis(250);

/// The largest message, in bytes.
const MESSAGE_BYTES_MAX: usize = 1_200;

/// Why a request gets no allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceRefusal {
    /// The quota is used up; the amount is expected after this time.
    OverQuota(Duration),
    /// No home of the workspace answers.
    NoAnswer,
}

/// Where a node exchanges allowance with others.
#[derive(Debug)]
pub struct QuotaLink {
    /// The socket of this node.
    pub socket: UdpSocket,
    /// The port of all nodes.
    pub port: u16,
    /// The keys that authenticate messages.
    pub keys: KeyRing,
}

/// A question that is not answered yet.
#[derive(Debug)]
struct PendingAsk {
    number: u64,
    workspace: WorkspaceName,
    least: u64,
    asked_at: Instant,
    reply: oneshot::Sender<AllowanceAnswer>,
}

/// The state that messages and requests change.
#[derive(Debug)]
struct ExchangeState {
    ledger: HomeLedger,
    /// Sorted by workspace.
    leased: Vec<(WorkspaceName, LeasedAllowance)>,
    /// Sorted by number.
    pending: Vec<PendingAsk>,
    next_number: u64,
    /// The homes that did not answer, with until when they are not asked.
    silent: Vec<(NodeName, Instant)>,
    counters: QuotaCounters,
}

/// The allowance of workspaces at this node.
pub struct QuotaExchange {
    me: NodeName,
    traffic: Arc<ActiveConfig>,
    peers: watch::Receiver<Vec<PeerNode>>,
    bounds: Mutex<QuotaBounds>,
    /// `None` if nodes exchange nothing; each then uses an equal share of each quota.
    link: Option<QuotaLink>,
    /// Whether this node is registered, so that the other nodes take it for a home too.
    may_grant: Box<dyn Fn() -> bool + Send + Sync>,
    state: Mutex<ExchangeState>,
}

impl fmt::Debug for QuotaExchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("QuotaExchange")
    }
}

impl QuotaExchange {
    /// Creates the exchange of a node; [`Self::run`] must run too.
    pub fn new(
        me: NodeName,
        traffic: Arc<ActiveConfig>,
        peers: watch::Receiver<Vec<PeerNode>>,
        bounds: QuotaBounds,
        link: Option<QuotaLink>,
        may_grant: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let ledger = HomeLedger::new(HomeList::new(&me, []), Instant::now());
        let exchange = Self {
            me,
            traffic,
            peers,
            bounds: Mutex::new(bounds),
            link,
            may_grant: Box::new(may_grant),
            state: Mutex::new(ExchangeState {
                ledger,
                leased: Vec::new(),
                pending: Vec::new(),
                // Answers to an earlier process of this node must not match.
                next_number: rand::random::<u64>() >> 1,
                silent: Vec::new(),
                counters: QuotaCounters::default(),
            }),
        };
        exchange.update_list();
        Arc::new(exchange)
    }

    /// Follows the list of nodes and serves messages; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut peers = self.peers.clone();
        let mut buffer = [0; MESSAGE_BYTES_MAX];
        let mut checks = time::interval(STANDING_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // Due at once after a freeze, before the questions that arrived meanwhile.
                biased;
                _ = checks.tick() => {
                    self.check_standing();
                }
                Ok(()) = peers.changed() => self.update_list(),
                (length, from) = self.receive(&mut buffer) => {
                    self.accept(&buffer[..length], from).await;
                }
            }
        }
    }

    /// Applies changed bounds.
    pub fn set_bounds(&self, bounds: QuotaBounds) {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Appends the counters to a page of metrics.
    pub fn render(&self, text: &mut MetricText) {
        self.state().counters.render(text);
    }

    /// Gets the allowance for a request that counts `amount`, from the homes if need be.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn acquire(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        amount: u64,
    ) -> Result<SpentAllowance, AllowanceRefusal> {
        let acquired = self.acquire_until(workspace, amount).await;
        match acquired {
            Ok(end) => {
                self.state().counters.record_allowed(workspace, amount);
                Ok(SpentAllowance {
                    exchange: self.clone(),
                    workspace: workspace.clone(),
                    amount,
                    end,
                    is_sent: false,
                })
            }
            Err(refusal) => {
                let now = Instant::now();
                let due = self.state().counters.record_refused(workspace, amount, now);
                if let Some(requests) = due {
                    log::info!(
                        workspace:% = workspace, requests;
                        "quotas: requests are refused: {refusal:?}."
                    );
                }
                Err(refusal)
            }
        }
    }

    /// Returns whether a request is beyond its workspace's fair share, by a `draw` from 0 to 1 that
    /// stays the same for the request.
    pub fn is_excess(&self, workspace: &WorkspaceName, draw: f64) -> bool {
        let now = Instant::now();
        let state = self.state();
        let demands = state.leased.iter();
        let demands = demands.filter_map(|(name, leased)| Some((name, leased.system_demand(now)?)));
        let demands: Vec<_> = demands.collect();
        let own = demands.iter().find(|(name, _)| *name == workspace);
        let own = own.map_or(0.0, |(_, demand)| *demand);
        let level = fair_level(demands.iter().map(|(_, demand)| *demand).collect());
        level.is_some_and(|level| own * draw > level)
    }

    /// Takes back the allowance of a request that was not sent.
    pub(super) fn give_back(&self, workspace: &WorkspaceName, amount: u64, end: Instant) {
        let now = Instant::now();
        self.state().leased(workspace, now).give_back(amount, end);
    }

    async fn acquire_until(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        amount: u64,
    ) -> Result<Instant, AllowanceRefusal> {
        let now = Instant::now();
        let decision = self.state().leased(workspace, now).spend(amount, now);
        let most = match decision {
            SpendDecision::Spent(end, None) => return Ok(end),
            SpendDecision::Spent(end, Some(spare)) => {
                tokio::spawn(self.clone().refill(workspace.clone(), spare));
                return Ok(end);
            }
            SpendDecision::Refuse(wait) => return Err(AllowanceRefusal::OverQuota(wait)),
            SpendDecision::Ask(most) => most,
        };
        let mut shortest_wait = None;
        for home in self.homes_to_ask(workspace) {
            let asked_at = Instant::now();
            match self.ask(&home, workspace, amount, most).await {
                Some(AllowanceAnswer::Granted(_)) => return Ok(asked_at + ANSWER_TTL),
                Some(AllowanceAnswer::Denied(wait)) => {
                    let known = shortest_wait.into_iter();
                    shortest_wait = known.chain([wait]).min();
                }
                None => {}
            }
        }
        let wait = shortest_wait.ok_or(AllowanceRefusal::NoAnswer)?;
        let now = Instant::now();
        self.state()
            .leased(workspace, now)
            .record_denied(amount, wait, now);
        Err(AllowanceRefusal::OverQuota(wait))
    }

    /// Asks a home for spare allowance.
    async fn refill(self: Arc<Self>, workspace: WorkspaceName, spare: u64) {
        if let Some(home) = self.homes_to_ask(&workspace).first() {
            self.ask(home, &workspace, 0, spare).await;
        }
        let now = Instant::now();
        self.state().leased(&workspace, now).end_refill();
    }

    /// Returns the homes that are expected to answer.
    fn homes_to_ask(&self, workspace: &WorkspaceName) -> Vec<NodeName> {
        let now = Instant::now();
        let mut state = self.state();
        state.silent.retain(|(_, until)| now < *until);
        let mut homes = state.ledger.list().homes_to_ask(workspace);
        homes.retain(|home| state.silent.iter().all(|(silent, _)| silent != home));
        homes
    }

    /// Asks a home; `None` if it does not answer in time or is no home.
    async fn ask(
        &self,
        home: &NodeName,
        workspace: &WorkspaceName,
        least: u64,
        most: u64,
    ) -> Option<AllowanceAnswer> {
        let answer = match *home == self.me {
            true => self.ask_myself(workspace, least, most),
            false => self.ask_peer(home, workspace, least, most).await,
        };
        let mut state = self.state();
        state.counters.record_ask(match answer {
            Some(AllowanceAnswer::Granted(_)) => AskOutcome::Granted,
            Some(AllowanceAnswer::Denied(_)) => AskOutcome::Denied,
            None => AskOutcome::Unanswered,
        });
        if answer.is_none() {
            let until = Instant::now() + SILENT_SPAN;
            state.silent.push((home.clone(), until));
        }
        answer
    }

    fn ask_myself(
        &self,
        workspace: &WorkspaceName,
        least: u64,
        most: u64,
    ) -> Option<AllowanceAnswer> {
        let HomeAnswer {
            answer,
            demand_permille,
        } = self.take_as_home(workspace, least, most)?;
        let now = Instant::now();
        let mut state = self.state();
        state
            .leased(workspace, now)
            .record_system_demand(demand_permille, now);
        if let AllowanceAnswer::Granted(amount) = answer {
            state
                .leased(workspace, now)
                .credit(amount, least, least, now);
        }
        Some(answer)
    }

    async fn ask_peer(
        &self,
        home: &NodeName,
        workspace: &WorkspaceName,
        least: u64,
        most: u64,
    ) -> Option<AllowanceAnswer> {
        let link = self.link.as_ref()?;
        let address = self.address_of(home, link.port)?;
        let (reply, answered) = oneshot::channel();
        let number = self.state().add_pending(workspace, least, reply);
        let question = QuotaMessage::Ask {
            number,
            workspace: workspace.clone(),
            least,
            most,
        };
        self.send(link, &question, address).await;
        time::timeout(ASK_TIMEOUT, answered).await.ok()?.ok()
    }

    fn address_of(&self, node: &NodeName, port: u16) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        let peer = peers.iter().find(|peer| peer.name == *node)?;
        Some(SocketAddr::new(peer.gossip_address.ip(), port))
    }

    /// Hands out allowance as a home; `None` if this node is no home now.
    fn take_as_home(&self, workspace: &WorkspaceName, least: u64, most: u64) -> Option<HomeAnswer> {
        if !self.check_standing() {
            return None;
        }
        let config = self.traffic.current()?;
        let found = config.config().workspaces.find_by_name(workspace)?;
        let Some(quota) = &found.quota else {
            return Some(HomeAnswer {
                answer: AllowanceAnswer::Granted(least),
                demand_permille: 0,
            });
        };
        let share = self.share_of(quota);
        let now = Instant::now();
        let mut state = self.state();
        state.ledger.take(workspace, least, most, &share, now)
    }

    /// Returns whether this node may grant; if not, others may be homes in its place.
    fn check_standing(&self) -> bool {
        let may_grant = self.link.is_none() || (self.may_grant)();
        if !may_grant {
            self.state().ledger.forget(Instant::now());
        }
        may_grant
    }

    fn share_of(&self, quota: &Quota) -> HomeShare {
        let homes = match self.link {
            Some(_) => self.state().ledger.list().home_count(),
            None => self.peers.borrow().len() + 1,
        };
        let bounds = *self.bounds.lock().unwrap_or_else(PoisonError::into_inner);
        HomeShare::of(quota, &bounds, homes)
    }

    /// Applies the list of nodes; without a link this node is the only home of its share.
    fn update_list(&self) {
        let peers = self.peers.borrow().clone();
        let names = peers.iter().map(|peer| &peer.name);
        let names = names.filter(|_| self.link.is_some());
        let list = HomeList::new(&self.me, names);
        self.state().ledger.set_list(list, Instant::now());
    }

    async fn receive(&self, buffer: &mut [u8]) -> (usize, SocketAddr) {
        let Some(link) = &self.link else {
            return std::future::pending().await;
        };
        loop {
            match link.socket.recv_from(buffer).await {
                Ok(received) => return received,
                // A peer refused an earlier message.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    async fn accept(&self, bytes: &[u8], from: SocketAddr) {
        let Some(link) = &self.link else { return };
        let content = verify_mac(bytes, &link.keys);
        match content.and_then(QuotaMessage::decode) {
            Some(QuotaMessage::Ask {
                number,
                workspace,
                least,
                most,
            }) => {
                let answer = self.take_as_home(&workspace, least, most);
                let answer = QuotaMessage::answer(number, answer);
                self.send(link, &answer, from).await;
            }
            Some(answer) => self.state().finish_pending(answer),
            None => log::debug!("quotas: unreadable bytes arrived from {from}"),
        }
    }

    async fn send(&self, link: &QuotaLink, message: &QuotaMessage, to: SocketAddr) {
        let bytes = message.encode();
        let sent = link
            .socket
            .send_to(&append_mac(&bytes, &link.keys), to)
            .await;
        if let Err(cause) = sent {
            log::debug!("quotas: a message to {to} is not sent: {cause}");
        }
    }

    fn state(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExchangeState {
    fn leased(&mut self, workspace: &WorkspaceName, now: Instant) -> &mut LeasedAllowance {
        let found = self
            .leased
            .binary_search_by(|(name, _)| name.cmp(workspace));
        let position = found.unwrap_or_else(|position| {
            let leased = LeasedAllowance::new(now);
            self.leased.insert(position, (workspace.clone(), leased));
            position
        });
        &mut self.leased[position].1
    }

    /// Adds a question and returns its number; forgets those whose answers are of no use any more.
    fn add_pending(
        &mut self,
        workspace: &WorkspaceName,
        least: u64,
        reply: oneshot::Sender<AllowanceAnswer>,
    ) -> u64 {
        let (number, asked_at) = (self.next_number, Instant::now());
        self.next_number += 1;
        self.pending
            .retain(|pending| asked_at < pending.asked_at + ANSWER_TTL);
        self.pending.push(PendingAsk {
            number,
            workspace: workspace.clone(),
            least,
            asked_at,
            reply,
        });
        number
    }

    /// Ends a question; what its request no longer waits for is kept for others.
    fn finish_pending(&mut self, message: QuotaMessage) {
        let (number, answer) = match message {
            QuotaMessage::Ask { .. } => return,
            QuotaMessage::Granted {
                number,
                amount,
                demand_permille,
            } => (
                number,
                Some((AllowanceAnswer::Granted(amount), demand_permille)),
            ),
            QuotaMessage::Denied {
                number,
                wait_ms,
                demand_permille,
            } => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                (
                    number,
                    Some((AllowanceAnswer::Denied(wait), demand_permille)),
                )
            }
            QuotaMessage::NoHome { number } => (number, None),
        };
        let found = self
            .pending
            .binary_search_by(|pending| pending.number.cmp(&number));
        let Ok(position) = found else { return };
        let pending = self.pending.remove(position);
        let Some((answer, demand_permille)) = answer else {
            return;
        };
        self.leased(&pending.workspace, pending.asked_at)
            .record_system_demand(demand_permille, pending.asked_at);
        let is_used = pending.reply.send(answer).is_ok();
        if let AllowanceAnswer::Granted(amount) = answer {
            let (least, asked_at) = (pending.least, pending.asked_at);
            let used = if is_used { least } else { 0 };
            self.leased(&pending.workspace, asked_at)
                .credit(amount, least, used, asked_at);
        }
    }
}
