//! The fields of each kind of object.

use {
    super::schema::{FieldShape, Shape},
    crate::{
        config::{Fencing, ObjectKind},
        units::{
            AdapterName, BackendName, DataCentreName, MemoryMib, ModelName, PlacementName,
            RegionName, RunnerName, ServiceName,
        },
    },
    std::net::SocketAddr,
};

const DEPLOYMENT: &[FieldShape] = &[
    FieldShape::required("move_weight", Shape::of::<f64>()),
    FieldShape::required("model_loads_per_s", Shape::of::<f64>()),
    FieldShape::required("model_loads_at_once_max", Shape::of::<u32>()),
    FieldShape::required("adapter_loads_at_once_max", Shape::of::<u32>()),
];

const DATA_CENTRE: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<DataCentreName>()),
    FieldShape::required("region", Shape::of::<RegionName>()),
];

const RUNNER: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<RunnerName>()),
    FieldShape::required("address", Shape::of::<SocketAddr>()),
    FieldShape::required("data_centre", Shape::of::<DataCentreName>()),
    FieldShape::required("accelerators", Shape::of::<u32>()),
    FieldShape::required("memory_mib", Shape::of::<MemoryMib>()),
    FieldShape::required("adapter_pool_mib", Shape::of::<MemoryMib>()),
    FieldShape::required("fencing", Shape::of::<Fencing>()),
    FieldShape::required("order_lateness_max_ms", Shape::of::<u64>()),
];

const MODEL: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<ModelName>()),
    FieldShape::required("version", Shape::of::<String>()),
    FieldShape::required("memory_mib", Shape::of::<MemoryMib>()),
];

const ADAPTER: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<AdapterName>()),
    FieldShape::required("model", Shape::of::<ModelName>()),
    FieldShape::required("memory_mib", Shape::of::<MemoryMib>()),
];

const SERVICE: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<ServiceName>()),
    FieldShape::required("target", Shape::Tagged("type", SERVICE_TARGETS)),
];

const SERVICE_TARGETS: &[(&str, &[FieldShape])] =
    &[("models", MODELS_TARGET), ("plain", PLAIN_TARGET)];

const MODELS_TARGET: &[FieldShape] = &[
    FieldShape::required("priority", Shape::of::<u8>()),
    FieldShape::required("first_token_target_ms", Shape::of::<u64>()),
    FieldShape::required("between_tokens_target_ms", Shape::of::<u64>()),
];

const PLAIN_TARGET: &[FieldShape] = &[
    FieldShape::required("backends", Shape::List(&Shape::Object(BACKEND))),
    FieldShape::required("idempotent_methods", Shape::List(&Shape::of::<String>())),
    FieldShape::required("timeout_ms", Shape::of::<u64>()),
];

const BACKEND: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<BackendName>()),
    FieldShape::required("address", Shape::of::<SocketAddr>()),
    FieldShape::required("data_centre", Shape::of::<DataCentreName>()),
];

const PLACEMENT: &[FieldShape] = &[
    FieldShape::required("name", Shape::of::<PlacementName>()),
    FieldShape::required("model", Shape::of::<ModelName>()),
    FieldShape::optional("data_centres", Shape::List(&Shape::of::<DataCentreName>())),
    FieldShape::required("copies_min", Shape::of::<u32>()),
    FieldShape::required("copies_max", Shape::of::<u32>()),
];

/// Returns the fields of a kind of object.
pub(super) fn fields_of(kind: ObjectKind) -> &'static [FieldShape] {
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
