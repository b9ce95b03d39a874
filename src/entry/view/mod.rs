//! The view from the keeper, the routes made from it, and the demand that is reported back.

mod demand_counter;
mod entry_view;
mod leaving_runners;
mod routes;

pub use {demand_counter::*, entry_view::*, leaving_runners::*, routes::*};
