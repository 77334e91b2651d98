//! The operators' query and command language.
//!
//! The source is split into tokens ([`token`]) and then parsed into
//! [`Statement`]s ([`parse`]). With a separate lexer, errors point at whole
//! tokens. The parser doesn't backtrack after a keyword.
//!
//! The whole source is parsed before anything is sent, so a file with a syntax
//! error changes nothing.
//!
//! The grammar is in docs/LANGUAGE.md.

mod error;
mod parse;
mod terminal;
mod token;

pub use self::{error::Error, parse::parse};

use hibiscusroad::config::Change;
use std::time::Duration;

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Queries once.
    Show(Show),
    /// Queries periodically.
    Watch {
        /// The delay between a response and the next query.
        every: Duration,
        /// The query.
        show: Show,
    },
    /// Asks entries what they know about a request or an endpoint.
    Explain {
        /// What the name refers to.
        about: About,
        /// The id of a request or the name of an endpoint.
        name: String,
    },
    /// Changes the configuration.
    Change(Change),
    /// Stops a service gracefully.
    Stop {
        /// The name of the service.
        service: String,
        /// The time limit for work in flight.
        within: Duration,
    },
    /// Makes a service's engines serve a version of their weights.
    Promote {
        /// The version.
        version: String,
        /// The name of the service.
        service: String,
    },
}

/// The subject of an `explain` statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum About {
    /// One request.
    Request,
    /// One endpoint.
    Endpoint,
}

/// A query.
#[derive(Clone, Debug, PartialEq)]
pub struct Show {
    /// The table to query, one of [`SUBJECTS`].
    pub subject: &'static str,
    /// The columns to print, in order; empty for all.
    pub columns: Vec<String>,
    /// The conditions, all of which a row must fulfil.
    pub filters: Vec<Filter>,
    /// The sort order.
    pub order: Option<Order>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
}

/// The tables that can be queried.
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
    /// The comparison operator.
    pub op: Op,
    /// The right-hand side.
    pub value: Literal,
}

/// A comparison operator.
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

/// A literal value.
#[derive(Clone, Debug, PartialEq)]
pub struct Literal {
    /// The source text, without quotes.
    pub text: String,
    /// The numeric value, if any; milliseconds for a duration.
    pub number: Option<f64>,
}

/// The sort order of rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The column.
    pub column: String,
    /// Whether the greatest comes first.
    pub descending: bool,
}
