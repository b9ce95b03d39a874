//! Small fakes of the platform and the backend servers, with fault switches.

pub mod kv;
