//! What the entry knows of the deployment and tells the keeper: view, routes, demand.

mod demand_counter;
mod entry_view;
mod leaving_runners;
mod routes;

pub use {demand_counter::*, entry_view::*, leaving_runners::*, routes::*};
