//! Open-loop load: each request is sent at its scheduled time, whether or not earlier ones have a
//! response.

use {
    super::{Arrival, LoadSettings, RequestOutcome, Schedule, Tally, call, new_client},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// Capacity of the queue of outcomes that are not yet tallied.
const OUTCOME_QUEUE_LEN: usize = 4_096;

/// Sends the requests of a schedule and tallies their outcomes.
///
/// Response times count from the scheduled time of the request. A slow system thus cannot hide the
/// delay of requests that were sent late (coordinated omission).
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
