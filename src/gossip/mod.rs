//! Exchanges the load of runners and the demand for models between nodes.
