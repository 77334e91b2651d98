//! Logs of a process.
//!
//! One record is one short sentence on stderr. Its log target is the prefix of
//! the part that speaks, from the list below, so that an operator can follow
//! one part by a plain search. Records of libraries carry their own module path
//! and are cut at warnings, because at `debug` they would bury the parts.
//!
//! Writing to stderr may block when its reader does. That is accepted: a line
//! is written for an event of a link, an endpoint or the platform, never for
//! each request. A gateway writes a line for each decision, to standard output,
//! within a [`Budget`] and without waiting.

mod budget;
mod output;

pub use self::budget::{Budget, Rank};
pub use self::output::{dropped, flush, flush_now};

use crate::settings::Log;
use fern::{Dispatch, FormatCallback};
use log::{
    Level, LevelFilter, Record,
    kv::{self, VisitSource},
};
use serde::Serialize;
use serde_json::{Map, Value};
use std::{
    fmt, io,
    sync::{Mutex, OnceLock, PoisonError},
    time::{Instant, SystemTime},
};

/// Start and end of a process.
pub const PROCESS: &str = "process";
/// An entry's callers.
pub const CALLERS: &str = "callers";
/// Batches of trainers.
pub const BATCHES: &str = "batches";
/// Requests on their way through an entry.
pub const CALLS: &str = "calls";
/// Claims of requests that may not run twice.
pub const CLAIMS: &str = "claims";
/// The configuration and its versions.
pub const CONFIG: &str = "config";
/// The host list.
pub const HOSTS: &str = "hosts";
/// An entry's links to sides.
pub const LINK: &str = "link";
/// An entry's operators.
pub const OPERATORS: &str = "operators";
/// The platform's store, as a gateway reaches it.
pub const STORE: &str = "store";
/// Who acts for all gateways.
pub const DUTY: &str = "duty";
/// What client accounts used.
pub const USAGE: &str = "usage";
/// Weights of model engines and who orders them.
pub const WEIGHTS: &str = "weights";
/// The role side: its links, its gate and its endpoint.
pub const SIDE: &str = "side";

/// All prefixes of the project's own parts.
pub const PARTS: &[&str] = &[
    PROCESS, BATCHES, CALLERS, CALLS, CLAIMS, CONFIG, DUTY, HOSTS, LINK, OPERATORS, SIDE, STORE,
    USAGE, WEIGHTS,
];

/// Libraries whose records below a warning are of no use to operators.
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

/// Logs could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The level is none of the five.
    #[error("log.level is {0:?}; allowed are error, warn, info, debug, trace")]
    Level(String),
    /// The format is neither of the two.
    #[error("log.format is {0:?}; allowed are text, json")]
    Format(String),
    /// Logs were started before in this process.
    #[error(transparent)]
    Started(#[from] log::SetLoggerError),
}

/// Starts the logs of a gateway: structured lines on standard output.
///
/// Lines are kept in a [`Buffer`] and written by [`flush`], so that a reader of
/// standard output that stops reading never holds up a request.
///
/// # Errors
///
/// Returns an error for an unknown level, or if a logger is already set.
pub fn start_structured(log: &Log) -> Result<(), Error> {
    let log = Log {
        format: "json".to_owned(),
        ..log.clone()
    };
    // Logs start once; a second start fails below.
    let _first = BUDGET.set(Mutex::new(Budget::new(log.lines_s))).is_ok();
    let writer: Box<dyn io::Write + Send> = Box::new(output::Writer);
    dispatch(&log)?
        .chain(fern::Output::writer(writer, "\n"))
        .apply()?;
    Ok(())
}

/// Starts the logs of this process.
///
/// # Errors
///
/// Returns an error for an unknown level or format, or if a logger is already
/// set.
pub fn start(log: &Log) -> Result<(), Error> {
    dispatch(log)?.chain(io::stderr()).apply()?;
    Ok(())
}

/// Builds what formats and filters records, without an output.
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
        Inputs(record),
    ));
}

/// What decided, behind a line's sentence.
struct Inputs<'a>(&'a Record<'a>);

impl fmt::Display for Inputs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in fields(self.0) {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
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

/// The budget of this process, if it has one.
static BUDGET: OnceLock<Mutex<Budget>> = OnceLock::new();

fn with_budget<T>(act: impl FnOnce(&mut Budget) -> T) -> Option<T> {
    let budget = BUDGET.get()?;
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    Some(act(&mut budget))
}

/// Says whether a line has room. One without is counted, and not formatted.
fn admit(record: &Record<'_>, fields: &Map<String, Value>) -> bool {
    let failure =
        record.level() <= Level::Warn || FAILURES.iter().any(|name| fields.contains_key(*name));
    let rank = if failure { Rank::Failure } else { Rank::Usual };
    let request = STORIES.iter().find_map(|name| fields.get(*name)?.as_str());
    let admitted = with_budget(|budget| budget.admit(Instant::now(), rank, request));
    let admitted = admitted.unwrap_or(true);
    if !admitted {
        output::left_out();
    }
    admitted
}

/// Fields that only lines of failures have.
const FAILURES: &[&str] = &["error", "kind"];
/// Fields that a request's story goes by; a batch's is told whole.
const STORIES: &[&str] = &["batch", "id"];

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
            let _bounded = with_budget(|budget| budget.spent(line.len())).is_some();
            out.finish(format_args!("{line}"));
        }
        Err(error) => out.finish(format_args!("{{\"text\":\"{error}\"}}")),
    }
}

/// Returns a record's fields by name.
fn fields(record: &Record<'_>) -> Map<String, Value> {
    let mut found = Fields(Map::new());
    // The visitor below never fails.
    let _whole = record.key_values().visit(&mut found).is_ok();
    found.0
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
