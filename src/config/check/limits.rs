//! Checks the field values of each object on their own.

use {
    super::context::CheckContext,
    crate::{
        config::{
            Adapter, Backend, Deployment, Fencing, Model, Object, Placement, Runner, Service,
            ServiceTarget, SourcedObject,
        },
        units::MemoryMib,
    },
};

/// The largest memory of one runner, model or adapter: one PiB.
const MEMORY_MAX_MIB: MemoryMib = MemoryMib(1 << 30);
/// The longest accepted duration, one day.
const DURATION_MAX_MS: u64 = 24 * 60 * 60 * 1000;
/// The highest accepted rate of model loads.
const LOADS_PER_S_MAX: f64 = 1_000_000.0;
/// The longest version of a model, in bytes.
const VERSION_MAX_BYTES: usize = 128;

/// Adds a fault for each value that is out of range.
pub(super) fn check(objects: &[SourcedObject], context: &mut CheckContext) {
    for sourced in objects {
        let mut checker = LimitChecker { sourced, context };
        match &sourced.object {
            Object::Deployment(object) => checker.check_deployment(object),
            Object::DataCentre(_) => {}
            Object::Runner(object) => checker.check_runner(object),
            Object::Model(object) => checker.check_model(object),
            Object::Adapter(object) => checker.check_adapter(object),
            Object::Service(object) => checker.check_service(object),
            Object::Placement(object) => checker.check_placement(object),
        }
    }
}

/// Checks the values of one object.
struct LimitChecker<'a> {
    sourced: &'a SourcedObject,
    context: &'a mut CheckContext,
}

impl LimitChecker<'_> {
    /// Adds a fault unless a condition holds.
    fn require(&mut self, holds: bool, field: &str, problem: &str) {
        if !holds {
            self.context.fault_at(self.sourced, field, problem);
        }
    }

    fn require_memory(&mut self, memory_mib: MemoryMib) {
        self.require(memory_mib > MemoryMib(0), "memory_mib", "must not be zero");
        let fits = memory_mib <= MEMORY_MAX_MIB;
        self.require(fits, "memory_mib", "is larger than a PiB; is the unit MiB?");
    }

    fn require_duration(&mut self, duration_ms: u64, field: &str) {
        self.require(duration_ms > 0, field, "must not be zero");
        let fits = duration_ms <= DURATION_MAX_MS;
        self.require(
            fits,
            field,
            "is longer than a day; is the unit milliseconds?",
        );
    }

    fn check_deployment(&mut self, object: &Deployment) {
        let weight = object.move_weight;
        let valid = weight.is_finite() && weight >= 0.0;
        self.require(valid, "move_weight", "must not be negative");
        let rate = object.model_loads_per_s;
        self.require(rate > 0.0, "model_loads_per_s", "must be above zero");
        let fits = rate <= LOADS_PER_S_MAX;
        self.require(fits, "model_loads_per_s", "must be at most 1000000");
        let at_once = object.model_loads_at_once_max;
        self.require(at_once > 0, "model_loads_at_once_max", "must not be zero");
        let at_once = object.adapter_loads_at_once_max;
        self.require(at_once > 0, "adapter_loads_at_once_max", "must not be zero");
    }

    fn check_runner(&mut self, object: &Runner) {
        self.require(object.accelerators > 0, "accelerators", "must not be zero");
        self.require_memory(object.memory_mib);
        self.require(
            object.adapter_pool_mib < object.memory_mib,
            "adapter_pool_mib",
            "leaves no memory for models",
        );
        let lateness_ms = object.order_lateness_max_ms;
        match object.fencing {
            Fencing::Ignored => self.require_duration(lateness_ms, "order_lateness_max_ms"),
            Fencing::Honoured => self.require(
                lateness_ms <= DURATION_MAX_MS,
                "order_lateness_max_ms",
                "is longer than a day; is the unit milliseconds?",
            ),
        }
    }

    fn check_model(&mut self, object: &Model) {
        self.require_memory(object.memory_mib);
        let valid = !object.version.is_empty() && object.version.len() <= VERSION_MAX_BYTES;
        self.require(valid, "version", "must have 1 to 128 bytes");
    }

    fn check_adapter(&mut self, object: &Adapter) {
        self.require_memory(object.memory_mib);
    }

    fn check_service(&mut self, object: &Service) {
        match &object.target {
            ServiceTarget::Models {
                first_token_target_ms,
                between_tokens_target_ms,
                ..
            } => {
                self.require_duration(*first_token_target_ms, "target.first_token_target_ms");
                self.require_duration(*between_tokens_target_ms, "target.between_tokens_target_ms");
            }
            ServiceTarget::Plain {
                backends,
                idempotent_methods,
                timeout_ms,
            } => {
                self.check_backends(backends);
                self.check_methods(idempotent_methods);
                self.require_duration(*timeout_ms, "target.timeout_ms");
            }
        }
    }

    fn check_backends(&mut self, backends: &[Backend]) {
        self.require(
            !backends.is_empty(),
            "target.backends",
            "must name a backend",
        );
        let mut names: Vec<_> = backends.iter().map(|backend| &backend.name).collect();
        names.sort();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            let problem = format!("names {} twice", pair[0]);
            self.require(false, "target.backends", &problem);
        }
    }

    fn check_methods(&mut self, methods: &[String]) {
        for (index, method) in methods.iter().enumerate() {
            let upper_case = method.bytes().all(|byte| byte.is_ascii_uppercase());
            self.require(
                upper_case && !method.is_empty() && method != "CONNECT",
                &format!("target.idempotent_methods[{}]", index + 1),
                "must be an HTTP method in upper case",
            );
        }
    }

    fn check_placement(&mut self, object: &Placement) {
        self.require(object.copies_max > 0, "copies_max", "must not be zero");
        self.require(
            object.copies_min <= object.copies_max,
            "copies_min",
            "must not be above copies_max",
        );
        let mut names: Vec<_> = object.data_centres.iter().collect();
        names.sort();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            let problem = format!("names {} twice", pair[0]);
            self.require(false, "data_centres", &problem);
        }
    }
}
