//! The operators' query and command language.
//!
//! A text is cut into tokens ([`token`]), and the tokens are read as
//! [`Statement`]s ([`parse`]), both with winnow. Two passes instead of one,
//! because an error then points at a whole word and can say what stood there
//! and what may stand there. A keyword that was read commits: nothing is tried
//! twice, so the first error is the right one.
//!
//! The whole text is read before anything is sent. A file with a slip in its
//! last line changes nothing.
//!
//! The grammar is in docs/LANGUAGE.md.

mod error;
mod parse;
mod take;
mod token;

pub use self::{error::Error, parse::parse};

use hibiscusroad::config::Change;
use std::time::Duration;

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Asks once.
    Show(Show),
    /// Asks again and again.
    Watch {
        /// From one answer to the next question.
        every: Duration,
        /// What is asked.
        show: Show,
    },
    /// Asks why.
    Explain {
        /// What the name stands for.
        about: About,
        /// A request's id or an endpoint's name.
        name: String,
    },
    /// Changes the configuration.
    Change(Change),
    /// Stops a service gracefully.
    Stop {
        /// The service.
        service: String,
        /// How long work in flight may take.
        within: Duration,
    },
    /// Makes a service's engines serve a version.
    Promote {
        /// The version.
        version: String,
        /// The service.
        service: String,
    },
}

/// What `explain` is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum About {
    /// One request.
    Request,
    /// One endpoint.
    Endpoint,
}

/// A question.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// One of [`SUBJECTS`].
    pub subject: &'static str,
    /// The columns in this order; empty for all.
    pub columns: Vec<String>,
    /// What a row must fulfil, all of them.
    pub filters: Vec<Filter>,
    /// How rows are ordered.
    pub order: Option<Order>,
    /// How many rows at most.
    pub limit: Option<usize>,
}

/// What can be shown.
pub const SUBJECTS: &[&str] = &[
    "services",
    "endpoints",
    "hosts",
    "places",
    "entries",
    "config",
    "audit",
    "versions",
    "leases",
    "runs",
    "trainers",
    "callers",
];

/// A condition on one column.
#[derive(Clone, Debug, PartialEq)]
pub struct Filter {
    /// The column.
    pub column: String,
    /// The comparison.
    pub op: Op,
    /// The other side.
    pub value: Literal,
}

/// A comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// `=`
    Equal,
    /// `!=`
    Differs,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `~`: contains.
    Contains,
}

/// A written value.
#[derive(Clone, Debug, PartialEq)]
pub struct Literal {
    /// As it was written, without quotes.
    pub text: String,
    /// As a number, if it can be one; a duration counts in milliseconds.
    pub number: Option<f64>,
}

/// An order of rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The column.
    pub column: String,
    /// Greatest first.
    pub descending: bool,
}
