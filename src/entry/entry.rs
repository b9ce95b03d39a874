//! The state shared by all requests of an entry, and the dispatch by path.

use {
    super::{
        DemandCounter, EntryMetrics, EntryReport, EntrySettings, Forwarder, IdempotencyKeys,
        InferenceRequest, LeavingRunners, OpenRequestGuard, OpenRequestLimit, RouteCache,
        ViewReceiver,
    },
    crate::{
        admission::{AdmissionController, RetryBudget},
        fleet::Demand,
        http::{Body, Client, Problem, REQUEST_ID, ReadError},
        request_memory::{MemoryLimits, MemoryShare, RequestMemory},
        routing::LoadTracker,
        store::SharedStore,
        telemetry::REQUESTS,
        units::{Incarnation, RequestId, RunnerName, ServiceName},
    },
    bytes::Bytes,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// The `Retry-After` of a refusal because the entry is at its limit of requests or body memory.
const ENTRY_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The dependencies of an entry besides its settings.
pub struct EntryParts {
    /// The views received from the keeper.
    pub views: ViewReceiver,
    /// The key-value service.
    pub store: SharedStore,
    /// Forwards calls to other entries.
    pub forwarder: Arc<dyn Forwarder>,
}

/// The state shared by all requests of an entry.
#[derive(Debug)]
pub struct Entry {
    pub(super) settings: EntrySettings,
    pub(super) client: Client,
    pub(super) routes: RouteCache,
    pub(super) admission: Arc<AdmissionController>,
    pub(super) load_tracker: Arc<LoadTracker>,
    pub(super) leaving: LeavingRunners,
    pub(super) budget: RetryBudget,
    pub(super) report_requested: Notify,
    pub(super) metrics: EntryMetrics,
    pub(super) keys: IdempotencyKeys,
    demand: DemandCounter,
    open_requests: OpenRequestLimit,
    body_memory: RequestMemory,
    suspects: Mutex<Vec<RunnerName>>,
}

impl Entry {
    /// Creates an entry.
    pub fn new(settings: EntrySettings, parts: EntryParts) -> Arc<Self> {
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        let admission = Arc::new(AdmissionController::new());
        let local_data_centre = settings.data_centre.clone();
        Arc::new(Self {
            client: Client::new(connect_timeout),
            routes: RouteCache::new(local_data_centre, admission.clone(), parts.views),
            admission,
            load_tracker: Arc::default(),
            leaving: LeavingRunners::default(),
            budget: RetryBudget::new(settings.retry_budget_percent),
            report_requested: Notify::new(),
            metrics: EntryMetrics::new(),
            keys: IdempotencyKeys::new(&settings, parts.store, parts.forwarder),
            demand: DemandCounter::default(),
            body_memory: RequestMemory::new(bodies_limits(settings.bodies_max_bytes)),
            open_requests: OpenRequestLimit::new(settings.open_requests_max),
            suspects: Mutex::default(),
            settings,
        })
    }

    /// Handles a caller's request; every response carries a request id.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = RequestId::random();
        let result = match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/models") => Ok(self.list_models()),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.infer(id, request).await
            }
            (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
                Err(wrong_method_problem(request.method()))
            }
            (_, path) if path.starts_with("/services/") => self.call_service(id, request).await,
            (_, path) => Err(no_such_path_problem(path)),
        };
        let outcome = if result.is_ok() {
            "answered"
        } else {
            "problem"
        };
        metrics::counter!(REQUESTS, "outcome" => outcome).increment(1);
        let mut response = result.unwrap_or_else(Problem::into_response);
        if let Ok(id) = id.to_string().try_into() {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }

    /// Returns the demand and the suspected runners since the last call, for the keeper.
    pub fn collect_report(&self) -> EntryReport {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        EntryReport {
            demand: self.demand.collect_and_reset(),
            suspects: std::mem::take(&mut suspects),
        }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.count()
    }

    /// Returns the memory for heads and bodies of requests.
    pub(super) fn body_memory(&self) -> &RequestMemory {
        &self.body_memory
    }

    /// Counts another open request, or returns a problem document at the limit.
    pub(super) fn acquire_open_request(&self) -> Result<OpenRequestGuard, Problem> {
        self.open_requests
            .try_acquire()
            .ok_or_else(entry_full_problem)
    }

    /// Reads the body of a caller's request within the memory for bodies.
    pub(super) async fn read_body(&self, body: Incoming) -> Result<ReadBody, Problem> {
        let limit_bytes = self.settings.body_max_bytes;
        let timeout = Duration::from_millis(self.settings.read_timeout_ms);
        let read = self
            .body_memory
            .read_body_with_share(body, limit_bytes, timeout);
        let (bytes, body_memory) = read.await.map_err(read_problem)?;
        Ok(ReadBody { bytes, body_memory })
    }

    /// Updates the demand counts of the model and adapter of a request.
    pub(super) fn update_demand(
        &self,
        request: &InferenceRequest,
        change: impl FnOnce(&mut Demand),
    ) {
        let adapter = request.adapter.as_ref();
        self.demand
            .update(request.id, &request.model, adapter, change);
    }

    /// Records that a runner refused a connection, lost a request or timed out.
    pub(super) fn record_runner_failure(&self, runner: &RunnerName) {
        self.load_tracker.record_failure(runner, Instant::now());
        self.add_suspect(runner);
    }

    /// Records that this incarnation of a runner is leaving.
    pub(super) fn record_leaving_runner(&self, runner: &RunnerName, incarnation: Incarnation) {
        log::info!("entry: runner {runner} is leaving");
        self.leaving.insert(runner, incarnation);
        self.add_suspect(runner);
    }

    fn add_suspect(&self, runner: &RunnerName) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(position) = suspects.binary_search(runner) {
            suspects.insert(position, runner.clone());
        }
    }

    /// Takes one retry from the budget of a service and returns the delay before the retry.
    pub(super) fn try_retry(&self, service: &ServiceName, attempt: u32) -> Option<Duration> {
        self.budget.try_retry(service, attempt, &mut rand::rng())
    }

    /// Triggers an early report to the keeper, since no copy of a model is ready.
    pub(super) fn request_report(&self) {
        self.report_requested.notify_one();
    }
}

/// The body of a caller's request, with the memory reserved for it.
pub(super) struct ReadBody {
    pub(super) bytes: Bytes,
    pub(super) body_memory: MemoryShare,
}

/// Returns the limits of the memory for bodies from the setting.
fn bodies_limits(bodies_max_bytes: u64) -> MemoryLimits {
    let bytes = usize::try_from(bodies_max_bytes).unwrap_or(usize::MAX);
    MemoryLimits {
        total_bytes: bytes,
        requests_bytes: bytes,
    }
}

fn entry_full_problem() -> Problem {
    let detail = "this entry is at its limit of open requests or of memory for request bodies";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "entry-full", detail)
        .retry_after(ENTRY_FULL_RETRY_AFTER)
}

/// Builds the problem document for a request that did not run, since its body was not received.
fn read_problem(cause: ReadError) -> Problem {
    let (status, kind) = match cause {
        ReadError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        ReadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "body-too-slow"),
        ReadError::NoMemory => return entry_full_problem(),
        ReadError::Cut(_) => (StatusCode::BAD_REQUEST, "body-cut"),
    };
    Problem::not_run(status, kind, cause.to_string())
}

fn wrong_method_problem(method: &Method) -> Problem {
    let detail = format!("the method {method} is not allowed for this path");
    Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, "wrong-method", detail)
}

fn no_such_path_problem(path: &str) -> Problem {
    let path: String = path.chars().take(200).collect();
    let detail = format!("unknown path {path}");
    Problem::not_run(StatusCode::NOT_FOUND, "no-such-path", detail)
}
