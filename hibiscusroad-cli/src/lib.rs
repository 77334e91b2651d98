//! The operators' command line of hibiscusroad.
//!
//! A statement is read by [`language`], asked of entries by [`client`], and its
//! rows are chosen by [`rows`] and printed by [`mod@format`]. [`session`] joins
//! them and says how each statement ended. [`trace`] tells a request's story
//! from logs, without asking anybody.
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
