//! Runs all checks of a whole configuration.

use {
    super::{addresses, capacity, context::CheckContext, duplicates, limits, references},
    crate::config::{Catalog, ConfigFault, ObjectSource, ParsedObjects, SourcedObject},
};

/// Checks a whole configuration and returns it as a catalog.
///
/// # Errors
///
/// Returns every fault at once, sorted by file, object and field.
pub fn check_objects(objects: &[SourcedObject]) -> Result<Catalog, Vec<ConfigFault>> {
    let mut context = CheckContext::new(objects);
    check_individual_objects(objects, &mut context);
    check_across_objects(objects, &mut context);
    context.finish()?;
    Ok(Catalog::from_objects(
        objects.iter().map(|sourced| sourced.object.clone()),
    ))
}

/// Checks a whole configuration that was read from files.
///
/// If some objects are malformed, references and capacity are not checked, because references to
/// the malformed objects would be reported as dangling.
///
/// # Errors
///
/// Returns every fault at once, sorted by file, object and field.
pub fn check_parsed(parsed: &ParsedObjects) -> Result<Catalog, Vec<ConfigFault>> {
    if parsed.faults.is_empty() {
        return check_objects(&parsed.objects);
    }
    let mut context = CheckContext::new(&parsed.objects);
    context.faults.extend(parsed.faults.iter().cloned());
    check_individual_objects(&parsed.objects, &mut context);
    context.finish()?;
    Ok(Catalog::default())
}

/// Checks a configuration that was received as a catalog, without files.
///
/// # Errors
///
/// Returns every fault at once, sorted by object and field.
pub fn check_catalog(catalog: &Catalog) -> Result<(), Vec<ConfigFault>> {
    let sourced = |object| SourcedObject {
        source: ObjectSource::default(),
        object,
    };
    let objects: Vec<SourcedObject> = catalog.objects().into_iter().map(sourced).collect();
    check_objects(&objects).map(drop)
}

fn check_individual_objects(objects: &[SourcedObject], context: &mut CheckContext) {
    limits::check(objects, context);
    duplicates::check(objects, context);
    addresses::check(objects, context);
}

fn check_across_objects(objects: &[SourcedObject], context: &mut CheckContext) {
    let catalog = Catalog::from_objects(objects.iter().map(|sourced| sourced.object.clone()));
    duplicates::check_deployment(objects, context);
    references::check(&catalog, context);
    capacity::check(&catalog, context);
}
