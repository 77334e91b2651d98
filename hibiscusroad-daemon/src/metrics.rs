//! Metrics of a process.
