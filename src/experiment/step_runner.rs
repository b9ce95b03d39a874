//! Plays the steps of a schedule at their times.

use {
    super::{ExperimentError, ProcessChange, Step},
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    tokio::time::{Instant, sleep_until},
};

/// What the steps are done to.
pub trait DisruptionTarget {
    /// Carries out a change.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be changed so.
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: ProcessChange,
    ) -> BoxFuture<'a, Result<(), ExperimentError>>;
}

/// A step that was carried out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletedStep {
    /// When it was due, in seconds after the start of the load.
    pub due_s: f64,
    /// When it was done, in seconds after the start of the load.
    pub done_s: f64,
    /// The process.
    pub target: String,
    /// What was done.
    pub change: ProcessChange,
}

/// Carries out each step when it is due, counted from `start`.
///
/// # Errors
///
/// Fails at the first step that cannot be carried out; later ones are left out.
pub async fn run_steps(
    steps: &[Step],
    start: Instant,
    target: &mut impl DisruptionTarget,
) -> Result<Vec<CompletedStep>, ExperimentError> {
    let mut completed = Vec::new();
    for step in steps {
        sleep_until(start + step.at).await;
        target.apply(&step.target, step.change).await?;
        log::info!("experiment: {} {}", step.change, step.target);
        completed.push(CompletedStep {
            due_s: step.at.as_secs_f64(),
            done_s: start.elapsed().as_secs_f64(),
            target: step.target.clone(),
            change: step.change,
        });
    }
    Ok(completed)
}
