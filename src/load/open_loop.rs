//! Sends requests at their times, whether or not earlier ones were answered.

use {
    super::{Arrival, LoadSettings, RequestOutcome, Schedule, Tally, call, new_client},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Outcomes that may wait for the tally.
const OUTCOME_QUEUE_LEN: usize = 4_096;

/// Sends the requests of a schedule and tallies their outcomes.
///
/// The times of a request count from when it was due, so that a slow system cannot hide the
/// requests that it kept from being sent.
pub async fn run_open_loop(settings: Arc<LoadSettings>) -> Tally {
    let (outcomes, mut outcome_receiver) = mpsc::channel(OUTCOME_QUEUE_LEN);
    let sender = tokio::spawn(send_all(settings.clone(), outcomes));
    let mut tally = Tally::new(settings.classes.len());
    while let Some((arrival, outcome)) = outcome_receiver.recv().await {
        tally.add(&arrival, &settings.classes[arrival.class], &outcome);
    }
    let _ = sender.await;
    tally
}

async fn send_all(settings: Arc<LoadSettings>, outcomes: mpsc::Sender<(Arrival, RequestOutcome)>) {
    let client = new_client();
    let start = Instant::now();
    let max_wait = Duration::from_millis(settings.answer_timeout_ms);
    for (number, arrival) in Schedule::new(&settings).enumerate() {
        let due = start + arrival.at;
        sleep_until(due).await;
        let address = settings.entries[number % settings.entries.len()];
        let client = client.clone();
        let settings = settings.clone();
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            let class = &settings.classes[arrival.class];
            let outcome = call(&client, address, &arrival, class, due, max_wait).await;
            let _ = outcomes.send((arrival, outcome)).await;
        });
    }
}
