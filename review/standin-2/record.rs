//! The record of a run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file with one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            begin: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.begin.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
