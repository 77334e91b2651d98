//! Deployments of processes on this machine, load on them, and judgement.
//!
//! * [`deployment`]: starts stand-ins, entries and sides, and stops them.
//! * [`caller`]: makes one call and says how it ended for its caller.
//! * [`load`]: makes many calls at the times that were set for them.
//! * [`judge`]: counts what callers saw and what endpoints ran.
//! * [`control`], [`demo`], [`faults`], [`path`], [`policy`], [`soak`] and [`train`]: what
//!   the program `measure` does.

pub mod caller;
pub mod control;
pub mod demo;
pub mod deployment;
pub mod faults;
pub mod interrupt;
pub mod judge;
pub mod load;
pub mod path;
pub mod policy;
pub mod report;
pub mod soak;
pub mod train;
