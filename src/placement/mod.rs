//! Decides which models and adapters live on which runner.
