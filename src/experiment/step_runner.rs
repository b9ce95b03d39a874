//! Plays the steps of a schedule at their times.

use {
    super::{Change, ExperimentError, Step},
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    tokio::time::{Instant, sleep_until},
};

/// What the steps are done to.
pub trait Stage {
    /// Carries out a change.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be changed so.
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: Change,
    ) -> BoxFuture<'a, Result<(), ExperimentError>>;
}

/// A step that was carried out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlayedStep {
    /// When it was due, in seconds after the start of the load.
    pub due_s: f64,
    /// When it was done, in seconds after the start of the load.
    pub done_s: f64,
    /// The process.
    pub target: String,
    /// What was done.
    pub change: Change,
}

/// Carries out each step when it is due, counted from `start`.
///
/// # Errors
///
/// Fails at the first step that cannot be carried out; later ones are left out.
pub async fn play(
    steps: &[Step],
    start: Instant,
    stage: &mut impl Stage,
) -> Result<Vec<PlayedStep>, ExperimentError> {
    let mut played = Vec::new();
    for step in steps {
        sleep_until(start + step.at).await;
        stage.apply(&step.target, step.change).await?;
        log::info!("experiment: {} {}", step.change, step.target);
        played.push(PlayedStep {
            due_s: step.at.as_secs_f64(),
            done_s: start.elapsed().as_secs_f64(),
            target: step.target.clone(),
            change: step.change,
        });
    }
    Ok(played)
}
