//! The operators' command line of hibiscusroad.

pub mod format;
pub mod language;
pub mod rows;
