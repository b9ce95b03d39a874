//! Checks that names are unique and that there is exactly one deployment.

use {
    super::context::CheckContext,
    crate::config::{ObjectKind, SourcedObject},
};

/// Adds a fault for each object whose name is already in use.
///
/// Models and adapters share one name space, because callers give either in the same request field.
pub(super) fn check(objects: &[SourcedObject], context: &mut CheckContext) {
    let mut sorted: Vec<&SourcedObject> = objects
        .iter()
        .filter(|sourced| sourced.object.kind() != ObjectKind::Deployment)
        .collect();
    sorted.sort_by(|a, b| {
        let key = |sourced: &SourcedObject| (name_space(sourced), sourced.object.name().to_owned());
        key(a).cmp(&key(b)).then_with(|| a.source.cmp(&b.source))
    });
    for pair in sorted.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        let same_name = first.object.name() == second.object.name();
        if same_name && name_space(first) == name_space(second) {
            let problem = format!("is also the name of the {}", describe(first));
            context.fault_at(second, "name", problem);
        }
    }
}

/// Adds a fault unless there is exactly one deployment.
pub(super) fn check_deployment(objects: &[SourcedObject], context: &mut CheckContext) {
    let deployments: Vec<&SourcedObject> = objects
        .iter()
        .filter(|sourced| sourced.object.kind() == ObjectKind::Deployment)
        .collect();
    if deployments.is_empty() {
        context.fault(
            ObjectKind::Deployment,
            "",
            "",
            "is missing; exactly one is needed",
        );
    }
    for extra in deployments.iter().skip(1) {
        let problem = format!("is the second one; the first is {}", deployments[0].source);
        context.fault_at(extra, "", problem);
    }
}

/// Returns the kind whose name space an object's name belongs to.
fn name_space(sourced: &SourcedObject) -> ObjectKind {
    match sourced.object.kind() {
        ObjectKind::Adapter => ObjectKind::Model,
        kind => kind,
    }
}

/// Returns the kind and name of an object, and its source if that is known.
fn describe(sourced: &SourcedObject) -> String {
    let id = sourced.object.id();
    if sourced.source.file.is_empty() {
        return id.to_string();
    }
    format!("{id} in {}", sourced.source)
}
