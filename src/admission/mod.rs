//! Decides which requests wait, run or are refused.
