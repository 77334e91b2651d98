//! The command line, the environment and the operator's settings file.
//!
//! An option on the command line overrides the environment, which overrides the
//! file.

use crate::format::{self, Format};
use lexopt::prelude::*;
use serde::Deserialize;
use std::{
    ffi::OsString,
    fmt, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// The names of the environment variables.
pub mod env {
    /// The addresses of entries, separated by commas.
    pub const ENTRY: &str = "HIBISCUSROAD_ENTRY";
    /// The path of the operator's settings file.
    pub const CONFIG: &str = "HIBISCUSROAD_CONFIG";
    /// The operator's name.
    pub const USER: &str = "USER";
}

/// The text of `--help`.
pub const HELP: &str = "\
hibiscusroad: asks and changes what hibiscusroad runs

Usage: hibiscusroad [OPTIONS] 'STATEMENT'
       hibiscusroad [OPTIONS] -f FILE
       hibiscusroad [OPTIONS]            (a prompt, if a terminal is there)
       hibiscusroad trace ID [LOG...]    (logs of gateways; - or none: standard input)
       hibiscusroad trace --steps [LOG...]
                                         (what the steps of trainers waited for)

  --entry IP:PORT    an entry's port for operators; several are tried in turn
  --token-file FILE  a file that holds the token
  --format FORMAT    table (default), json or csv
  --dry-run          only show what a command would change
  --force            allow what is dangerous
  --base VERSION     refuse if the configuration has moved on from VERSION
  --id ID            ask again for the command that had this id
  --as NAME          who asks, for the audit trail; default is $USER
  -f FILE            statements from a file, one a line; - is standard input
  --help             print this and exit
  --version          print the version and exit

Without --entry, $HIBISCUSROAD_ENTRY names entries, separated by commas, or the
TOML file that $HIBISCUSROAD_CONFIG names: entries = [\"IP:PORT\"], token_file,
format, who.

Statements: show, watch, explain, create, alter, drop, set, drain, undrain,
stop, promote; see docs/LANGUAGE.md.

Exit codes: 0 done, 1 refused, 2 usage or syntax, 3 outcome unknown,
4 nobody reached.";

/// What one run of the program does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Print the timeline of an id from logs.
    Trace {
        /// The id of a request, batch or item.
        id: String,
        /// The log files; standard input if empty.
        logs: Vec<PathBuf>,
    },
    /// Print what the training steps waited for.
    Steps {
        /// The log files; standard input if empty.
        logs: Vec<PathBuf>,
        /// The output format of the table.
        format: Format,
    },
    /// Run statements.
    Run(Box<Options>),
}

/// Where statements come from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// An interactive prompt on the terminal.
    #[default]
    Prompt,
    /// The command line.
    Text(String),
    /// A file; `-` is standard input.
    File(PathBuf),
}

/// A bearer token, redacted in debug output.
#[derive(Clone, Eq, PartialEq)]
pub struct Token(pub String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

/// The options for running statements.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// Where statements come from.
    pub source: Source,
    /// The addresses of the entries, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// The token for the entries.
    pub token: Option<Token>,
    /// The output format of tables.
    pub format: Format,
    /// Whether to show what a command would change without changing it.
    pub dry_run: bool,
    /// Whether to allow dangerous changes.
    pub force: bool,
    /// The configuration version on which commands are based.
    pub base_version: Option<u64>,
    /// The id of the command that is retried.
    pub command_id: Option<String>,
    /// The operator's name, for the audit trail.
    pub operator: String,
}

/// An error in the command line or the operator's settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown or its value is invalid.
    #[error("{0}; see hibiscusroad --help")]
    InvalidOption(#[from] lexopt::Error),
    /// The output format is unknown.
    #[error(transparent)]
    Format(#[from] format::UnknownFormat),
    /// An entry's address is invalid.
    #[error("entry {0:?} is no IP:PORT, such as 127.0.0.1:8081")]
    InvalidEntry(String),
    /// No entry is configured.
    #[error("no entry is configured; give --entry IP:PORT or set HIBISCUSROAD_ENTRY")]
    NoEntry,
    /// `trace` has no id.
    #[error("trace requires the id of a request, batch or item")]
    MissingId,
    /// `--id` is given without `--base`.
    #[error("--id requires --base VERSION, as printed with the id")]
    MissingBase,
    /// A file can't be read.
    #[error("{}: {source}", .path.display())]
    ReadFile {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The operator's settings file is invalid.
    #[error("{}: {source}", .path.display())]
    InvalidSettings {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
}

/// The operator's settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Settings {
    entries: Vec<String>,
    token_file: Option<PathBuf>,
    format: Option<String>,
    #[serde(rename = "who")]
    operator: Option<String>,
}

/// The parsed command line, before the environment and the settings file are
/// applied.
#[derive(Default)]
struct Flags {
    entries: Vec<String>,
    token_file: Option<PathBuf>,
    format: Option<String>,
    operator: Option<String>,
    positionals: Vec<String>,
    script: Option<PathBuf>,
    options: Options,
    trace_steps: bool,
}

/// Parses the command line, looking up environment variables with `env`.
///
/// # Errors
///
/// Returns the first error found.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Action, Error> {
    let mut flags = Flags::default();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Action::Help),
            Short('V') | Long("version") => return Ok(Action::Version),
            Long("entry") => flags.entries.push(parser.value()?.string()?),
            Long("token-file") => flags.token_file = Some(parser.value()?.into()),
            Long("format") => flags.format = Some(parser.value()?.string()?),
            Long("steps") => flags.trace_steps = true,
            Long("dry-run") => flags.options.dry_run = true,
            Long("force") => flags.options.force = true,
            Long("base") => flags.options.base_version = Some(parser.value()?.parse()?),
            Long("id") => flags.options.command_id = Some(parser.value()?.string()?),
            Long("as") => flags.operator = Some(parser.value()?.string()?),
            Short('f') if flags.script.is_none() => flags.script = Some(parser.value()?.into()),
            Value(value) if flags.script.is_none() => flags.positionals.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if flags
        .positionals
        .first()
        .is_some_and(|word| word == "trace")
    {
        return parse_trace(flags);
    }
    resolve(flags, env).map(|options| Action::Run(Box::new(options)))
}

fn parse_trace(flags: Flags) -> Result<Action, Error> {
    let mut positionals = flags.positionals.into_iter().skip(1);
    if flags.trace_steps {
        let format = flags.format.unwrap_or_else(|| "table".to_owned());
        return Ok(Action::Steps {
            logs: positionals.map(PathBuf::from).collect(),
            format: format.parse()?,
        });
    }
    let id = positionals.next().ok_or(Error::MissingId)?;
    let logs = positionals.map(PathBuf::from).collect();
    Ok(Action::Trace { id, logs })
}

fn resolve(flags: Flags, env: &dyn Fn(&str) -> Option<String>) -> Result<Options, Error> {
    let settings = match env(env::CONFIG) {
        Some(path) => read_settings(Path::new(&path))?,
        None => Settings::default(),
    };
    let mut options = flags.options;
    if options.command_id.is_some() && options.base_version.is_none() {
        return Err(Error::MissingBase);
    }
    let from_env = env(env::ENTRY).map(|list| list.split(',').map(str::to_owned).collect());
    let from_args = Some(flags.entries).filter(|list| !list.is_empty());
    options.entries = parse_entries(from_args.or(from_env).unwrap_or(settings.entries))?;
    if let Some(path) = flags.token_file.or(settings.token_file) {
        options.token = Some(Token(read_file(&path)?.trim().to_owned()));
    }
    if let Some(name) = flags.format.or(settings.format) {
        options.format = name.parse()?;
    }
    let operator = flags
        .operator
        .or(settings.operator)
        .or_else(|| env(env::USER));
    options.operator = operator.unwrap_or_else(|| "operator".to_owned());
    options.source = match flags.script {
        Some(path) => Source::File(path),
        None if flags.positionals.is_empty() => Source::Prompt,
        None => Source::Text(flags.positionals.join(" ")),
    };
    Ok(options)
}

fn parse_entries(list: Vec<String>) -> Result<Vec<SocketAddr>, Error> {
    let parsed = list
        .into_iter()
        .map(|text| text.trim().parse().ok().ok_or(Error::InvalidEntry(text)));
    let entries: Vec<SocketAddr> = parsed.collect::<Result<_, _>>()?;
    if entries.is_empty() {
        return Err(Error::NoEntry);
    }
    Ok(entries)
}

fn read_settings(path: &Path) -> Result<Settings, Error> {
    toml::from_str(&read_file(path)?).map_err(|source| Error::InvalidSettings {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })
}
