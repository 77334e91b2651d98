//! The settings of a process, read from one TOML file when it starts.
//!
//! What may change while the system runs is not here but in the configuration
//! document that the entries spread; a process learns from its settings only
//! who and where it is, and whom to ask.
//!
//! A file is checked whole before it is used, and all faults are told at once:
//! an operator who installs fifteen hosts should not have to start each of them
//! once for every slip.
//!
//! # Example
//!
//! ```
//! use hibiscusroad_daemon::settings::Settings;
//!
//! let settings: Settings = toml::from_str(
//!     r#"
//!     name = "entry-senec-1"
//!     host = "host-senec-1"
//!     place = "senec"
//!     region = "zapad"
//!
//!     [platform]
//!     table = "http://127.0.0.1:2379"
//!     hosts = "http://127.0.0.1:2380"
//!
//!     [entry]
//!     callers = "127.0.0.1:8080"
//!     operators = "127.0.0.1:8081"
//!     "#,
//! )?;
//! assert!(settings.entry.is_some());
//! # Ok::<(), toml::de::Error>(())
//! ```

mod check;
mod roles;
mod schema;

pub use self::{
    check::Problem,
    roles::{Entry, Gateway, Side, Tokens, Usage},
};
pub use hibiscusroad::config::Kind;

use serde::Deserialize;
use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file has faults, of which there is at least one.
    #[error("{}", list(.file, .problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// All its faults, in the order of its lines.
        problems: Vec<Problem>,
    },
}

fn list(file: &Path, problems: &[Problem]) -> String {
    let lines = problems
        .iter()
        .map(|problem| format!("{}:{problem}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// All settings of one process. Exactly one of the roles is given.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// The host that it runs on.
    pub host: String,
    /// The place (data centre) of the host.
    pub place: String,
    /// The region of the place.
    pub region: String,
    /// Where the platform's services are; a gateway has none.
    #[serde(default)]
    pub platform: Platform,
    /// Settings of the role entry.
    pub entry: Option<Entry>,
    /// Settings of the role side.
    pub side: Option<Side>,
    /// Settings of the role gateway.
    pub gateway: Option<Gateway>,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Metrics.
    #[serde(default)]
    pub metrics: Metrics,
    /// Stopping.
    #[serde(default)]
    pub stop: Stop,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or all its faults.
    pub fn load(file: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(file).map_err(|source| Error::Unreadable {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|problems| Error::Invalid {
            file: file.to_owned(),
            problems,
        })
    }

    /// Checks the content of a file.
    ///
    /// # Errors
    ///
    /// Returns all faults, in the order of the lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let problems = check::problems(text);
        if !problems.is_empty() {
            return Err(problems);
        }
        toml::from_str(text).map_err(|error| {
            vec![Problem {
                line: 1,
                key: String::new(),
                found: error.to_string(),
                allowed: "what docs/OPERATIONS.md lists".to_owned(),
            }]
        })
    }
}

/// Where the platform's services are, as URLs without a path.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service, etcd's JSON gateway.
    pub table: String,
    /// The host list, in the form of HTTP service discovery.
    pub hosts: String,
    /// The object store.
    pub objects: Option<String>,
    /// The weight store.
    pub weights: Option<String>,
}

/// Settings of logs.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub level: String,
    /// `text` or `json`.
    #[serde(default = "default_format")]
    pub format: String,
    /// Lines that a gateway writes in a second at most.
    #[serde(default = "default_lines")]
    pub lines_s: usize,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: default_level(),
            format: default_format(),
            lines_s: default_lines(),
        }
    }
}

/// Settings of metrics.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Where statsd lines are sent by UDP; none are, without it.
    pub target: Option<SocketAddr>,
}

/// Settings of a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Seconds that work in flight may take before the process ends anyway.
    #[serde(default = "default_stop")]
    pub deadline_s: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            deadline_s: default_stop(),
        }
    }
}

fn default_level() -> String {
    "info".to_owned()
}

/// Half as much again as a process wrote in the busiest second that was measured.
const fn default_lines() -> usize {
    200
}

fn default_format() -> String {
    "text".to_owned()
}

fn default_stop() -> u64 {
    30
}
