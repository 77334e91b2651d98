//! What client accounts used: requests that endpoints began, by windows of time.
//!
//! Each process counts what it sent itself, and keeps its counts in the store a few
//! times a second, as rows that are written once and never changed ([`Tally`]). One
//! process at a time adds up the rows of a window that is over and reports the sums
//! ([`Reports`]). A row that is written twice, by a repeat or late, is the same row, so
//! nothing counts twice; what a process that is killed had not kept yet is lost.
//!
//! Two reports of one window that differ would be billed twice or not at all. So the
//! report is kept, under the condition that the duty is still held, before it is sent,
//! and whoever has the duty sends what is kept, to the letter.
//!
//! Weighed: counts that are copied to peers and asked for by the holder (a process that
//! is cut off from its peers, or a holder that is lost, costs more windows than a lost
//! moment of one process, and peers would need a message more); one row a process and
//! window, written anew with its sum (an older sum that comes late undoes a newer one,
//! so each write needs a condition and a read after each lost answer).

mod report;
mod tally;
mod time;
mod window;

pub use self::{
    report::{Kept, REPORTS, Reports, Step, Terms, report},
    tally::{Counts, Share, Tally, USAGE, keys, merge, pause},
    time::{Offset, agreed},
    window::{Window, Windows},
};
