//! Knows at which software version a stream began, so that it goes on at no other one.
//!
//! A caller that resumes a stream names only the attempt that brought its first event. Mostly all
//! runners of a service have had one software version for as long as a stream can be resumed. While
//! several are in use, nodes record the streams that began, also in the store.

mod recorder;
mod stream_batch;
mod stream_id;
mod stream_table;
mod stream_task;
mod stream_versions;
mod stream_writer;
mod version_history;
mod version_task;

pub use {
    recorder::*, stream_batch::*, stream_id::*, stream_task::*, stream_versions::*,
    stream_writer::*, version_history::*, version_task::*,
};
