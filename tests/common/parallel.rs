//! Runs of many seeds on a few threads.

use std::{sync::Mutex, thread};

/// The threads of one test.
const THREADS: usize = 4;

/// Makes a run for each item, such as a seed, and returns what was seen, in their order.
pub fn run_all<I: Send, T: Send>(
    items: impl IntoIterator<Item = I, IntoIter: Send>,
    judge: impl Fn(I) -> T + Sync,
) -> Vec<T> {
    let next = Mutex::new(items.into_iter().enumerate());
    let seen = Mutex::new(Vec::new());
    let worker = || {
        loop {
            let Some((position, item)) = next.lock().unwrap().next() else {
                return;
            };
            let outcome = judge(item);
            seen.lock().unwrap().push((position, outcome));
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(worker);
        }
    });
    let mut seen = seen.into_inner().unwrap();
    seen.sort_by_key(|(position, _)| *position);
    seen.into_iter().map(|(_, outcome)| outcome).collect()
}
