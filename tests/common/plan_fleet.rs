//! A fleet on which plans are carried out step by step, without a clock.

use {
    super::engines::model_id,
    greengagetrail::{
        copies::{
            AdapterCopy, AdapterLoad, CopyState, ModelCopy, ModelLoad, PlanInput, PlannedOrder,
            RunnerState, plan,
        },
        discovery::RunnerKey,
        node::Order,
        traffic::{EngineSpec, ModelId},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// The time of one step.
pub const STEP: Duration = Duration::from_millis(200);

/// Runners with what they hold, and the orders that are being carried out.
pub struct PlanFleet {
    pub engine: EngineSpec,
    pub runners: Vec<RunnerState>,
    pub loads: Vec<ModelLoad>,
    pub now: Instant,
    /// The model moves of all steps.
    pub moves: usize,
    /// Whether runners keep the weights of what they loaded on their disks.
    pub keeps_weights: bool,
    under_way: Vec<(usize, Order, Instant)>,
    rng: SmallRng,
}

impl PlanFleet {
    /// Makes a fleet of empty runners.
    pub fn new(engine: EngineSpec, runner_count: usize, seed: u64, now: Instant) -> Self {
        let runner = |index: usize| RunnerState {
            key: RunnerKey {
                id: format!("r{index:02}").as_str().into(),
                born_unix_ms: 1,
            },
            zone: format!("z{}", index % 3).as_str().into(),
            is_ready: true,
            takes_orders: true,
            models: Vec::new(),
            goal: None,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            in_flight: 0,
            reserved_mb: 0.0,
            reserved_slots: 0,
            leaving: None,
        };
        Self {
            engine,
            runners: (0..runner_count).map(runner).collect(),
            loads: Vec::new(),
            now,
            moves: 0,
            keeps_weights: false,
            under_way: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the load of the models, by their numbers.
    pub fn set_loads(&mut self, loads: &[(usize, f64)]) {
        let mut loads: Vec<ModelLoad> = loads
            .iter()
            .map(|(index, in_flight)| ModelLoad {
                model: model_id(*index),
                in_flight: *in_flight,
                waiting: 0,
                adapters: Vec::new(),
            })
            .collect();
        loads.sort_by(|a, b| a.model.cmp(&b.model));
        self.loads = loads;
    }

    /// Adds requests for adapters of a loaded model.
    pub fn set_adapters(&mut self, index: usize, adapters: &[(usize, f64, u32)]) {
        let name = model_id(index);
        let mut loads = self.loads.iter_mut();
        let load = loads.find(|load| load.model == name).unwrap();
        load.adapters = adapters
            .iter()
            .map(|(adapter, in_flight, waiting)| AdapterLoad {
                adapter: format!("a{adapter:02}").as_str().into(),
                in_flight: *in_flight,
                waiting: *waiting,
            })
            .collect();
    }

    /// Returns how many ready runners hold a model.
    pub fn count_held(&self, model: &ModelId) -> usize {
        let ready = self.runners.iter().filter(|runner| runner.is_ready);
        let held = ready.filter(|runner| {
            let copy = runner.copy(model);
            copy.is_some_and(|copy| copy.state == CopyState::Held)
        });
        held.count()
    }

    /// Plans, checks and begins the orders, and finishes those that are due.
    pub fn step(&mut self) -> Vec<PlannedOrder> {
        self.now += STEP;
        self.finish_due();
        let coming = self.runners.iter().flat_map(|runner| &runner.models);
        let coming = coming.filter(|copy| copy.state == CopyState::Coming);
        let cold_loads_left = 3_usize.saturating_sub(coming.count());
        let input = PlanInput {
            engine: &self.engine,
            runners: &self.runners,
            loads: &self.loads,
            run_time_s: 1.5,
            moves_models: true,
            adds_copies: true,
            cold_loads_left,
            adapters_left: 16,
            now: self.now,
        };
        let orders = plan(&input);
        let cold = orders.iter().filter(|order| order.is_cold).count();
        assert!(cold <= cold_loads_left, "{cold} loads from the store");
        for order in &orders {
            self.begin(order);
        }
        orders
    }

    /// Makes steps for a number of seconds.
    pub fn run_s(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP.as_millis() as u64 {
            self.step();
        }
    }

    fn begin(&mut self, planned: &PlannedOrder) {
        let found = self.runners.iter().position(|r| r.key == planned.runner);
        let at = found.expect("an order to an unknown runner");
        let now = self.now;
        assert!(self.runners[at].takes_orders && self.runners[at].is_ready);
        let delay_ms = match &planned.order {
            Order::LoadModel(model) => {
                let copy = ModelCopy {
                    model: model.clone(),
                    state: CopyState::Coming,
                    since: now,
                    in_flight: 0,
                    adapters: Vec::new(),
                };
                let runner = &mut self.runners[at];
                let place = runner.position(model).expect_err("loaded twice");
                runner.models.insert(place, copy);
                self.moves += 1;
                1_200
            }
            Order::UnloadModel(model) => {
                let others = self.count_held(model) - 1;
                let goal = planned.goal.as_ref();
                let absent = goal.filter(|goal| {
                    let runners = self.runners.iter().filter(|runner| runner.is_ready);
                    runners.filter(|runner| runner.copy(goal).is_some()).count() == 0
                });
                let goal_load = absent.map(|goal| {
                    let load = self.loads.iter().find(|load| load.model == *goal);
                    load.map_or(0.0, |load| load.in_flight)
                });
                let load = self.loads.iter().find(|load| load.model == *model);
                let is_idle = load.is_none_or(|load| load.in_flight < 0.011 && load.waiting == 0);
                let runner = &mut self.runners[at];
                let may_rest = is_idle && runner.on_disk.contains(model);
                let load = load.map_or(0.0, |load| load.in_flight);
                let displaced = goal_load.is_some_and(|goal| goal >= load * 2.0 + 4.0);
                assert!(
                    others > 0 || may_rest || displaced,
                    "the last copy of {model} goes"
                );
                let place = runner.position(model).unwrap();
                runner.models[place].state = CopyState::Going;
                self.rng.random_range(1..2_000)
            }
            Order::LoadAdapter(model, adapter) => {
                let runner = &mut self.runners[at];
                let place = runner.position(model).unwrap();
                assert_eq!(runner.models[place].state, CopyState::Held);
                let adapters = &mut runner.models[place].adapters;
                assert!(adapters.iter().all(|known| known.adapter != *adapter));
                let position = adapters.partition_point(|known| known.adapter < *adapter);
                let copy = AdapterCopy {
                    adapter: adapter.clone(),
                    state: CopyState::Held,
                    in_flight: 0,
                    used_at: now,
                };
                adapters.insert(position, copy);
                0
            }
            Order::UnloadAdapter(model, adapter) => {
                let runner = &mut self.runners[at];
                let place = runner.position(model).unwrap();
                let adapters = &mut runner.models[place].adapters;
                assert!(
                    adapters
                        .iter()
                        .all(|a| a.adapter != *adapter || a.in_flight == 0)
                );
                adapters.retain(|known| known.adapter != *adapter);
                0
            }
        };
        let runner = &mut self.runners[at];
        runner.goal.clone_from(&planned.goal);
        assert!(runner.used_mb(&self.engine) <= self.engine.weights_memory_mb);
        assert!(runner.used_slots() <= self.engine.adapter_slots);
        if delay_ms > 0 {
            runner.takes_orders = false;
            let due = now + Duration::from_millis(delay_ms);
            self.under_way.push((at, planned.order.clone(), due));
        }
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let under_way = std::mem::take(&mut self.under_way);
        let (due, later) = under_way.into_iter().partition(|(.., due)| *due <= now);
        self.under_way = later;
        let due: Vec<_> = due;
        for (at, order, _) in due {
            let runner = &mut self.runners[at];
            runner.takes_orders = true;
            match order {
                Order::LoadModel(model) => {
                    let place = runner.position(&model).unwrap();
                    runner.models[place].state = CopyState::Held;
                    if self.keeps_weights
                        && let Err(place) = runner.on_disk.binary_search(&model)
                    {
                        runner.on_disk.insert(place, model);
                    }
                }
                Order::UnloadModel(model) => {
                    let place = runner.position(&model).unwrap();
                    runner.models.remove(place);
                }
                Order::LoadAdapter(..) | Order::UnloadAdapter(..) => {}
            }
        }
    }

    /// Loses a runner.
    pub fn lose(&mut self, at: usize) {
        self.runners[at].is_ready = false;
        self.runners[at].takes_orders = false;
    }
}
