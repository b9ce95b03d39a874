//! Open-loop load and its report.
