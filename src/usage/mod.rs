//! Usage of client accounts: requests started by endpoints, counted per time window.
//!
//! Each process counts the requests that it sent and writes its counts to the store
//! several times a second, as rows that are written once and never changed ([`Tally`]).
//! The holder of the reporting duty adds up the rows of each closed window and reports
//! the sums ([`Reports`]). Rows are idempotent: a repeated or late write stores the same
//! row and is counted once. They are in parts of the store that nothing else is written in, so
//! that they don't delay leases and heartbeats while the store is slow. Counts that a killed process hasn't written yet are lost.
//!
//! A report is stored before it is sent, on the condition that the duty is still held,
//! and every later holder sends the stored bytes. Otherwise two holders could send
//! different reports of one window, which would be billed twice or not at all.
//!
//! Trade-off: counts replicated to peers would lose whole windows with a lost holder. One
//! row per process and window, overwritten with the running sum, would need a condition
//! on each write, since a late write could replace a newer sum.

mod report;
mod tally;
mod time;
mod window;

pub use self::{
    report::{REPORTS_TABLE, ReportTiming, Reports, Step, StoredReport, report_row},
    tally::{
        Counts, PartialCounts, Tally, USAGE_TABLE, key_range, sum_counts, usage_part, usage_parts,
        write_interval,
    },
    time::{Offset, agreed_time},
    window::{Window, Windows},
};
