//! The view received from the keeper, the routes derived from it, and the demand reported back.

mod demand_counter;
mod entry_view;
mod leaving_runners;
mod routes;

pub use {demand_counter::*, entry_view::*, leaving_runners::*, routes::*};
