//! Applies the steps of a schedule at their times.

use {
    super::{ExperimentError, ProcessChange, Step},
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    tokio::time::{Instant, sleep_until},
};

/// A set of processes that steps are applied to.
pub trait DisruptionTarget {
    /// Applies a change to a process.
    ///
    /// # Errors
    ///
    /// Fails if the process is unknown or the change cannot be applied.
    fn apply<'a>(
        &'a mut self,
        target: &'a str,
        change: ProcessChange,
    ) -> BoxFuture<'a, Result<(), ExperimentError>>;
}

/// A step that was applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletedStep {
    /// The scheduled time, in seconds after the start of the load.
    pub due_s: f64,
    /// When the step was completed, in seconds after the start of the load.
    pub done_s: f64,
    /// The name of the process.
    pub target: String,
    /// The change that was applied.
    pub change: ProcessChange,
}

/// Applies each step at its scheduled time, counted from `start`, or after the previous step if that
/// takes longer.
///
/// # Errors
///
/// Fails at the first step that cannot be applied; later steps are skipped.
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
