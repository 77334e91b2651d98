//! Logging.
//!
//! Each record is one short sentence. Its log target names the component that wrote it, from
//! the list below, so that operators can search for one component. Records of libraries have
//! their module path as the target and are limited to warnings and errors.
//!
//! Entries and sidecars write to stderr, which may block. That is acceptable because they
//! write no lines per request. A gateway writes a line for each decision to standard output,
//! without blocking and within a [`Budget`].

mod budget;
mod output;

pub use self::budget::{Budget, Rank};
pub use self::output::{dropped_lines, flush_now, write_loop};

use crate::settings::Log;
use fern::{Dispatch, FormatCallback};
use log::{
    Level, LevelFilter, Record,
    kv::{self, VisitSource},
};
use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    fmt, io, panic,
    sync::{Mutex, OnceLock, PoisonError},
    time::{Instant, SystemTime},
};

/// Start and end of the process.
pub const PROCESS: &str = "process";
/// Connections of callers to an entry.
pub const CALLERS: &str = "callers";
/// Trainers' batches.
pub const BATCHES: &str = "batches";
/// Requests.
pub const CALLS: &str = "calls";
/// Claims of non-idempotent requests.
pub const CLAIMS: &str = "claims";
/// Configuration versions.
pub const CONFIG: &str = "config";
/// Host list.
pub const HOSTS: &str = "hosts";
/// Streams from an entry to sidecars.
pub const LINK: &str = "link";
/// Operators' requests to an entry.
pub const OPERATORS: &str = "operators";
/// A gateway's requests to the store.
pub const STORE: &str = "store";
/// Leases of the gateways' duties.
pub const DUTY: &str = "duty";
/// Usage of client accounts.
pub const USAGE: &str = "usage";
/// Weight versions of model engines.
pub const WEIGHTS: &str = "weights";
/// Sidecar: its streams, gate and endpoint.
pub const SIDE: &str = "side";

/// Log targets of all components.
pub const TARGETS: &[&str] = &[
    PROCESS, BATCHES, CALLERS, CALLS, CLAIMS, CONFIG, DUTY, HOSTS, LINK, OPERATORS, SIDE, STORE,
    USAGE, WEIGHTS,
];

/// Libraries whose records are limited to warnings and errors.
const LIBRARIES: &[&str] = &[
    "h2",
    "hyper",
    "hyper_util",
    "mio",
    "tiny_http",
    "tokio",
    "tonic",
    "tower",
    "ureq",
    "ureq_proto",
];

/// Logging can't be initialised.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The level is unknown.
    #[error("log.level is {0:?}; allowed are error, warn, info, debug, trace")]
    Level(String),
    /// The format is unknown.
    #[error("log.format is {0:?}; allowed are text, json")]
    Format(String),
    /// A logger is already set.
    #[error(transparent)]
    AlreadyStarted(#[from] log::SetLoggerError),
}

/// Initialises the logging of a gateway: JSON lines on standard output.
///
/// Lines are buffered and written by [`write_loop`], so that a blocked standard output doesn't
/// block requests.
///
/// # Errors
///
/// Returns an error for an unknown level, or if a logger is already set.
pub fn start_structured(log: &Log) -> Result<(), Error> {
    let log = Log {
        format: "json".to_owned(),
        ..log.clone()
    };
    // If logging is initialised twice, `apply` fails below.
    let _was_unset = BUDGET.set(Mutex::new(Budget::new(log.lines_s))).is_ok();
    let writer: Box<dyn io::Write + Send> = Box::new(output::Writer);
    dispatch(&log)?
        .chain(fern::Output::writer(writer, "\n"))
        .apply()?;
    Ok(())
}

/// Initialises the logging of an entry or a sidecar: lines on stderr.
///
/// # Errors
///
/// Returns an error for an unknown level or format, or if a logger is already
/// set.
pub fn start(log: &Log) -> Result<(), Error> {
    dispatch(log)?.chain(io::stderr()).apply()?;
    Ok(())
}

/// Creates the dispatch that formats and filters records, without an output.
///
/// # Errors
///
/// Returns an error for an unknown level or format.
pub fn dispatch(log: &Log) -> Result<Dispatch, Error> {
    let level: LevelFilter = log
        .level
        .parse()
        .ok()
        .filter(|level| *level != LevelFilter::Off)
        .ok_or_else(|| Error::Level(log.level.clone()))?;
    let format = match log.format.as_str() {
        "text" => text,
        "json" => json,
        other => return Err(Error::Format(other.to_owned())),
    };
    let mut dispatch = Dispatch::new().format(format).level(level);
    for library in LIBRARIES {
        dispatch = dispatch.level_for(*library, level.min(LevelFilter::Warn));
    }
    Ok(dispatch)
}

fn text(out: FormatCallback<'_>, message: &fmt::Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!(
        "{} {:5} {}: {message}{}",
        humantime::format_rfc3339_millis(SystemTime::now()),
        record.level(),
        record.target(),
        FieldList(record),
    ));
}

/// Formats the fields of a record as ` name=value` pairs.
struct FieldList<'a>(&'a Record<'a>);

impl fmt::Display for FieldList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in fields(self.0) {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Logs panics, and then handles them as before.
///
/// A panic ends only its task, and the process goes on without it.
pub fn log_panics() {
    let handle = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!(target: PROCESS, error = info.to_string().as_str(); "A task panicked.");
        handle(info);
    }));
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    text: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Log budget of this process, if it has one.
static BUDGET: OnceLock<Mutex<Budget>> = OnceLock::new();

fn with_budget<T>(f: impl FnOnce(&mut Budget) -> T) -> Option<T> {
    let budget = BUDGET.get()?;
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    Some(f(&mut budget))
}

/// Returns whether the budget has room for a line. Counts lines without room.
fn admit(record: &Record<'_>, fields: &Map<String, Value>) -> bool {
    let is_failure = record.level() <= Level::Warn
        || FAILURE_FIELDS.iter().any(|name| fields.contains_key(*name));
    let rank = if is_failure {
        Rank::Failure
    } else {
        Rank::Normal
    };
    let request = SAMPLING_FIELDS
        .iter()
        .find_map(|name| fields.get(*name)?.as_str());
    let admitted = with_budget(|budget| budget.admit(Instant::now(), rank, request));
    let admitted = admitted.unwrap_or(true);
    if !admitted {
        output::count_over_budget();
    }
    admitted
}

/// Fields that occur only in lines about failures.
const FAILURE_FIELDS: &[&str] = &["error", "kind"];
/// Fields by which lines are sampled, the first that a line has. Lines of one batch are
/// sampled together.
const SAMPLING_FIELDS: &[&str] = &["batch", "id"];

fn json(out: FormatCallback<'_>, message: &fmt::Arguments<'_>, record: &Record<'_>) {
    let fields = fields(record);
    if !admit(record, &fields) {
        return;
    }
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        part: record.target(),
        text: message.to_string(),
        fields,
    };
    match serde_json::to_string(&line) {
        Ok(line) => {
            let _has_budget = with_budget(|budget| budget.record_bytes(line.len())).is_some();
            out.finish(format_args!("{line}"));
        }
        Err(error) => out.finish(format_args!("{{\"text\":\"{error}\"}}")),
    }
}

/// Returns a record's fields by name.
fn fields(record: &Record<'_>) -> Map<String, Value> {
    let mut fields = Fields(Map::new());
    // The visitor below never fails.
    let _is_complete = record.key_values().visit(&mut fields).is_ok();
    fields.0
}

struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => Value::from(n),
            (None, Some(flag)) => Value::from(flag),
            (None, None) => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
