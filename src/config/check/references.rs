//! Checks that every object that another object refers to exists.

use {
    super::context::CheckContext,
    crate::{
        config::{Catalog, ObjectKind, Service, ServiceTarget},
        units::DataCentreName,
    },
};

/// Adds a fault for each reference to an object that does not exist.
pub(super) fn check(catalog: &Catalog, context: &mut CheckContext) {
    check_runners(catalog, context);
    check_adapters(catalog, context);
    check_services(catalog, context);
    check_placements(catalog, context);
}

fn check_runners(catalog: &Catalog, context: &mut CheckContext) {
    for runner in &catalog.runners {
        if let Err(problem) = find_data_centre(catalog, &runner.data_centre) {
            let name = runner.name.as_str();
            context.fault(ObjectKind::Runner, name, "data_centre", problem);
        }
    }
}

fn check_adapters(catalog: &Catalog, context: &mut CheckContext) {
    for adapter in &catalog.adapters {
        if catalog.model(&adapter.model).is_none() {
            let problem = format!("there is no model {}", adapter.model);
            context.fault(ObjectKind::Adapter, adapter.name.as_str(), "model", problem);
        }
    }
}

fn check_services(catalog: &Catalog, context: &mut CheckContext) {
    for Service { name, target } in &catalog.services {
        let ServiceTarget::Plain { backends, .. } = target else {
            continue;
        };
        for (index, backend) in backends.iter().enumerate() {
            if let Err(problem) = find_data_centre(catalog, &backend.data_centre) {
                let field = format!("target.backends[{}].data_centre", index + 1);
                context.fault(ObjectKind::Service, name.as_str(), &field, problem);
            }
        }
    }
}

fn check_placements(catalog: &Catalog, context: &mut CheckContext) {
    for placement in &catalog.placements {
        let name = placement.name.as_str();
        if catalog.model(&placement.model).is_none() {
            let problem = format!("there is no model {}", placement.model);
            context.fault(ObjectKind::Placement, name, "model", problem);
        }
        for (index, data_centre) in placement.data_centres.iter().enumerate() {
            let field = format!("data_centres[{}]", index + 1);
            let problem = match find_data_centre(catalog, data_centre) {
                Err(problem) => problem,
                Ok(()) if has_runner(catalog, data_centre) => continue,
                Ok(()) => format!("data centre {data_centre} has no runners"),
            };
            context.fault(ObjectKind::Placement, name, &field, problem);
        }
    }
}

fn find_data_centre(catalog: &Catalog, name: &DataCentreName) -> Result<(), String> {
    match catalog.data_centre(name) {
        Some(_) => Ok(()),
        None => Err(format!("there is no data centre {name}")),
    }
}

fn has_runner(catalog: &Catalog, name: &DataCentreName) -> bool {
    catalog
        .runners
        .iter()
        .any(|runner| runner.data_centre == *name)
}
