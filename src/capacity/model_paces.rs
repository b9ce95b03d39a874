//! The usual time between two events of each model, without the differences between runners.

use {super::RunnerSpeed, crate::traffic::ModelId, std::time::Duration, tokio::time::Instant};

/// The smallest weight of the newest sample in a model's mean.
const NEWEST_WEIGHT_MIN: f64 = 0.03;

/// The usual gap of one model.
#[derive(Debug)]
struct ModelPace {
    model: ModelId,
    /// The mean of the logarithm of gaps in milliseconds, less the slowness of their runners.
    log_gap: f64,
    samples: u32,
}

/// The usual gaps of the models of a service, sorted by model.
///
/// The logarithm of a gap is taken as the sum of a part of the model and a part of the runner. Both
/// are corrected by the difference of each sample, so that a model that only slow runners hold
/// does not look slow itself once they served others as well.
#[derive(Debug, Default)]
pub struct ModelPaces(Vec<ModelPace>);

impl ModelPaces {
    /// Adds to the logarithms of all usual gaps.
    pub(super) fn shift(&mut self, log: f64) {
        self.0.iter_mut().for_each(|pace| pace.log_gap += log);
    }

    /// Records the usual gap of a stream's events, for its model and its runner.
    pub fn record(
        &mut self,
        model: &ModelId,
        runner: &mut RunnerSpeed,
        usual_gap: Duration,
        now: Instant,
    ) {
        let log_gap = (usual_gap.as_secs_f64() * 1_000.0).max(0.1).ln();
        let slowness = runner.log_slowness(now);
        match self.0.binary_search_by(|known| known.model.cmp(model)) {
            Ok(position) => {
                let pace = &mut self.0[position];
                let difference = log_gap - pace.log_gap - slowness;
                pace.samples = pace.samples.saturating_add(1);
                let weight = (1.0 / f64::from(pace.samples)).max(NEWEST_WEIGHT_MIN);
                pace.log_gap += difference * weight;
                runner.record(slowness + difference, now);
            }
            Err(position) => {
                let pace = ModelPace {
                    model: model.clone(),
                    log_gap: log_gap - slowness,
                    samples: 1,
                };
                self.0.insert(position, pace);
            }
        }
    }
}
