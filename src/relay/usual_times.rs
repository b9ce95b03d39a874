//! How long responses usually take, and whether one can be complete before a planned stop ends.

use {
    crate::traffic::ServiceId,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The weight of the newest response in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// How much longer than usual a response may take, as a factor.
const USUAL_TIME_FACTOR: f64 = 2.0;

/// The mean time of a service's whole responses.
#[derive(Debug)]
struct MeanTime {
    service: ServiceId,
    time_s: f64,
}

/// The usual times of whole responses, sorted by service.
#[derive(Debug, Default)]
pub(super) struct UsualTimes(Mutex<Vec<MeanTime>>);

impl UsualTimes {
    /// Records the time from a request's arrival to the end of its response.
    pub(super) fn record(&self, service: &ServiceId, time: Duration) {
        let time_s = time.as_secs_f64();
        let mut times = self.lock();
        match times.binary_search_by(|known| known.service.cmp(service)) {
            Ok(position) => {
                let mean_s = &mut times[position].time_s;
                *mean_s += (time_s - *mean_s) * NEWEST_WEIGHT;
            }
            Err(position) => {
                let service = service.clone();
                times.insert(position, MeanTime { service, time_s });
            }
        }
    }

    /// Returns whether a request of a service that waits for at most `wait_max` can be answered
    /// within `left`.
    ///
    /// The response is given up after `wait_max`, so what waits no longer always gets an answer.
    pub(super) fn fits(&self, service: &ServiceId, wait_max: Duration, left: Duration) -> bool {
        if wait_max <= left {
            return true;
        }
        let times = self.lock();
        let found = times.binary_search_by(|known| known.service.cmp(service));
        found.is_ok_and(|position| times[position].time_s * USUAL_TIME_FACTOR <= left.as_secs_f64())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<MeanTime>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
