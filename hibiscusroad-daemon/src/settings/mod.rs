//! Settings of a process, read from a TOML file at startup.
//!
//! They hold the identity, location and addresses of the process. What may change at run
//! time is in the configuration document instead.
//!
//! A file is validated as a whole, and all problems are reported at once.
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

use hibiscusroad::topology::Topology;
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Reading the file failed.
    #[error("{}: can't be read: {source}", .file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// I/O error.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}", list(.file, .problems))]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// All problems, at least one, ordered by line.
        problems: Vec<Problem>,
    },
}

fn list(file: &Path, problems: &[Problem]) -> String {
    let lines = problems
        .iter()
        .map(|problem| format!("{}:{problem}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Settings of one process. Exactly one of `entry`, `side` and `gateway` is set.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the process, unique in the deployment.
    pub name: String,
    /// Host on which the process runs.
    pub host: String,
    /// Data centre of the host.
    #[serde(rename = "place")]
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// The regions of all data centres, by data centre.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// URLs of the platform's services; empty for a gateway.
    #[serde(default)]
    pub platform: Platform,
    /// Settings of the role entry.
    pub entry: Option<Entry>,
    /// Settings of the role side (sidecar).
    pub side: Option<Side>,
    /// Settings of the role gateway.
    pub gateway: Option<Gateway>,
    /// Settings of logging.
    #[serde(default)]
    pub log: Log,
    /// Settings of metrics.
    #[serde(default)]
    pub metrics: Metrics,
    /// Settings of graceful shutdown.
    #[serde(default)]
    pub stop: Stop,
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is invalid.
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

    /// Returns the data centres and regions, as this process sees them.
    #[must_use]
    pub fn topology(&self) -> Topology {
        Topology::new(&self.data_centre, &self.region, &self.regions)
    }

    /// Parses and validates the content of a file.
    ///
    /// # Errors
    ///
    /// Returns all problems, ordered by line.
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

/// URLs of the platform's services, without a path.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Table service: etcd's JSON gateway.
    pub table: String,
    /// Host list, in the format of HTTP service discovery.
    pub hosts: String,
    /// Object store.
    pub objects: Option<String>,
    /// Weight store.
    pub weights: Option<String>,
}

/// Settings of logging.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub level: String,
    /// Format: `text` or `json`.
    #[serde(default = "default_format")]
    pub format: String,
    /// Maximum number of lines that a gateway writes per second.
    #[serde(default = "default_lines_s")]
    pub lines_s: usize,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: default_level(),
            format: default_format(),
            lines_s: default_lines_s(),
        }
    }
}

/// Settings of metrics.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// UDP address to which statsd lines are sent; `None` disables metrics.
    pub target: Option<SocketAddr>,
}

/// Settings of graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time limit for work in flight, in seconds, after which the process exits.
    #[serde(default = "default_deadline_s")]
    pub deadline_s: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            deadline_s: default_deadline_s(),
        }
    }
}

fn default_level() -> String {
    "info".to_owned()
}

const fn default_lines_s() -> usize {
    200
}

fn default_format() -> String {
    "text".to_owned()
}

fn default_deadline_s() -> u64 {
    30
}
