//! The schemas of all kinds of object.

use {
    super::schema::{FieldSchema, Schema},
    crate::{
        config::{Fencing, ObjectKind},
        units::{
            AdapterName, BackendName, DataCentreName, MemoryMib, ModelName, PlacementName,
            RegionName, RunnerName, ServiceName,
        },
    },
    std::net::SocketAddr,
};

const DEPLOYMENT: &[FieldSchema] = &[
    FieldSchema::required("move_weight", Schema::of::<f64>()),
    FieldSchema::required("model_loads_per_s", Schema::of::<f64>()),
    FieldSchema::required("model_loads_at_once_max", Schema::of::<u32>()),
    FieldSchema::required("adapter_loads_at_once_max", Schema::of::<u32>()),
];

const DATA_CENTRE: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<DataCentreName>()),
    FieldSchema::required("region", Schema::of::<RegionName>()),
];

const RUNNER: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<RunnerName>()),
    FieldSchema::required("address", Schema::of::<SocketAddr>()),
    FieldSchema::required("data_centre", Schema::of::<DataCentreName>()),
    FieldSchema::required("accelerators", Schema::of::<u32>()),
    FieldSchema::required("memory_mib", Schema::of::<MemoryMib>()),
    FieldSchema::required("adapter_pool_mib", Schema::of::<MemoryMib>()),
    FieldSchema::required("fencing", Schema::of::<Fencing>()),
    FieldSchema::required("order_lateness_max_ms", Schema::of::<u64>()),
];

const MODEL: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<ModelName>()),
    FieldSchema::required("version", Schema::of::<String>()),
    FieldSchema::required("memory_mib", Schema::of::<MemoryMib>()),
];

const ADAPTER: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<AdapterName>()),
    FieldSchema::required("model", Schema::of::<ModelName>()),
    FieldSchema::required("memory_mib", Schema::of::<MemoryMib>()),
];

const SERVICE: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<ServiceName>()),
    FieldSchema::required("target", Schema::Tagged("type", SERVICE_TARGETS)),
];

const SERVICE_TARGETS: &[(&str, &[FieldSchema])] =
    &[("models", MODELS_TARGET), ("plain", PLAIN_TARGET)];

const MODELS_TARGET: &[FieldSchema] = &[
    FieldSchema::required("priority", Schema::of::<u8>()),
    FieldSchema::required("first_token_target_ms", Schema::of::<u64>()),
    FieldSchema::required("between_tokens_target_ms", Schema::of::<u64>()),
];

const PLAIN_TARGET: &[FieldSchema] = &[
    FieldSchema::required("backends", Schema::List(&Schema::Object(BACKEND))),
    FieldSchema::required("idempotent_methods", Schema::List(&Schema::of::<String>())),
    FieldSchema::required("timeout_ms", Schema::of::<u64>()),
];

const BACKEND: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<BackendName>()),
    FieldSchema::required("address", Schema::of::<SocketAddr>()),
    FieldSchema::required("data_centre", Schema::of::<DataCentreName>()),
];

const PLACEMENT: &[FieldSchema] = &[
    FieldSchema::required("name", Schema::of::<PlacementName>()),
    FieldSchema::required("model", Schema::of::<ModelName>()),
    FieldSchema::optional(
        "data_centres",
        Schema::List(&Schema::of::<DataCentreName>()),
    ),
    FieldSchema::required("copies_min", Schema::of::<u32>()),
    FieldSchema::required("copies_max", Schema::of::<u32>()),
];

/// Returns the field schemas of a kind of object.
pub(super) fn fields_of(kind: ObjectKind) -> &'static [FieldSchema] {
    match kind {
        ObjectKind::Deployment => DEPLOYMENT,
        ObjectKind::DataCentre => DATA_CENTRE,
        ObjectKind::Runner => RUNNER,
        ObjectKind::Model => MODEL,
        ObjectKind::Adapter => ADAPTER,
        ObjectKind::Service => SERVICE,
        ObjectKind::Placement => PLACEMENT,
    }
}
