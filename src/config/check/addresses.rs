//! Checks that the addresses of runners and backend servers are dialable and unique.

use {
    super::context::CheckContext,
    crate::config::{Object, ServiceTarget, SourcedObject},
    std::net::SocketAddr,
};

/// An address that a runner or backend server is configured with.
struct AddressUse<'a> {
    address: SocketAddr,
    /// The kind and name of the runner or backend server.
    server: String,
    field: String,
    sourced: &'a SourcedObject,
}

/// Adds a fault for each address that cannot be dialled or that two servers share.
///
/// Several services may list the same backend server, under the same name and address.
pub(super) fn check(objects: &[SourcedObject], context: &mut CheckContext) {
    let mut uses: Vec<AddressUse> = objects.iter().flat_map(uses_of).collect();
    for undialable in uses
        .iter()
        .filter(|address_use| !is_dialable(address_use.address))
    {
        let problem = format!("{} cannot be dialled", undialable.address);
        context.fault_at(undialable.sourced, &undialable.field, problem);
    }
    uses.sort_by(|a, b| {
        let key = |address_use: &AddressUse| (address_use.address, address_use.server.clone());
        key(a)
            .cmp(&key(b))
            .then_with(|| a.sourced.source.cmp(&b.sourced.source))
    });
    for pair in uses.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        if first.address == second.address && first.server != second.server {
            let problem = format!("{} is also the address of {}", second.address, first.server);
            context.fault_at(second.sourced, &second.field, problem);
        }
    }
}

fn uses_of(sourced: &SourcedObject) -> Vec<AddressUse<'_>> {
    match &sourced.object {
        Object::Runner(runner) => vec![AddressUse {
            address: runner.address,
            server: format!("runner {}", runner.name),
            field: "address".to_owned(),
            sourced,
        }],
        Object::Service(service) => match &service.target {
            ServiceTarget::Plain { backends, .. } => backends
                .iter()
                .enumerate()
                .map(|(index, backend)| AddressUse {
                    address: backend.address,
                    server: format!("backend {}", backend.name),
                    field: format!("target.backends[{}].address", index + 1),
                    sourced,
                })
                .collect(),
            ServiceTarget::Models { .. } => Vec::new(),
        },
        _ => Vec::new(),
    }
}

fn is_dialable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}
