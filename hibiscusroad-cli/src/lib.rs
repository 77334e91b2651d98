//! The operators' command line of hibiscusroad.
//!
//! [`language`] parses statements, [`client`] sends them to entries, [`rows`]
//! filters and sorts the rows of responses, and [`mod@format`] prints them.
//! [`session`] runs statements with these modules and reports their outcomes.
//! [`trace`] builds timelines from log files, without any request to an entry.
//!
//! # Example
//!
//! ```
//! use hibiscusroad_cli::language::{self, Statement};
//!
//! let statements = language::parse("drain host senec-desk-1; show hosts")?;
//! assert!(matches!(statements[1], Statement::Show(_)));
//!
//! let error = language::parse("show hsots").unwrap_err();
//! assert!(error.expected().contains(&"hosts".to_owned()));
//! # Ok::<(), language::Error>(())
//! ```

pub mod args;
pub mod client;
pub mod drain_check;
pub mod format;
pub mod language;
pub mod rows;
pub mod session;
mod stop;
pub mod trace;
