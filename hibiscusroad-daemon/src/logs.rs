//! Logs of a process.
