//! The command line, the environment and the operator's settings file.
//!
//! What is given on the command line goes before the environment, and that
//! before the file.

use crate::format::{self, Format};
use lexopt::prelude::*;
use serde::Deserialize;
use std::{
    ffi::OsString,
    fmt, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// Names of environment variables.
pub mod env {
    /// Entries, separated by commas.
    pub const ENTRY: &str = "HIBISCUSROAD_ENTRY";
    /// The operator's settings file.
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

/// What the operator wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Job {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Tell the story of an id from logs.
    Trace {
        /// The request, batch or item.
        id: String,
        /// The logs; standard input, if there is none.
        logs: Vec<PathBuf>,
    },
    /// Tell what the steps of trainers waited for.
    Steps {
        /// The logs; standard input, if there is none.
        logs: Vec<PathBuf>,
        /// How the table is printed.
        format: Format,
    },
    /// Run statements.
    Run(Box<Options>),
}

/// Where statements come from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Source {
    /// From the terminal, one by one.
    #[default]
    Prompt,
    /// From the command line.
    Text(String),
    /// From a file; `-` is standard input.
    File(PathBuf),
}

/// A secret, which never reaches an output.
#[derive(Clone, Eq, PartialEq)]
pub struct Token(pub String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

/// How statements are run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// Where statements come from.
    pub source: Source,
    /// Entries in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// The token.
    pub token: Option<Token>,
    /// How tables are printed.
    pub format: Format,
    /// Only show what a command would change.
    pub dry: bool,
    /// Allow what is dangerous.
    pub force: bool,
    /// The version that commands are written for.
    pub base: Option<u64>,
    /// The id of a command that is asked again.
    pub id: Option<String>,
    /// Who asks.
    pub who: String,
}

/// What is wrong with the command line or the operator's settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option or its value is wrong.
    #[error("{0}; see hibiscusroad --help")]
    Option(#[from] lexopt::Error),
    /// No such format.
    #[error(transparent)]
    Format(#[from] format::Unknown),
    /// An entry's address is wrong.
    #[error("entry {0:?} is no IP:PORT, such as 127.0.0.1:8081")]
    Entry(String),
    /// No entry is named anywhere.
    #[error("no entry is named; give --entry IP:PORT or set HIBISCUSROAD_ENTRY")]
    NoEntry,
    /// `trace` needs an id.
    #[error("trace needs the id of a request, batch or item")]
    NoId,
    /// `--id` needs the base that the command was sent with.
    #[error("--id needs --base VERSION as it was printed with the id")]
    NoBase,
    /// A file can't be read.
    #[error("{}: {source}", .file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The operator's settings file is wrong.
    #[error("{}: {source}", .file.display())]
    Config {
        /// The file.
        file: PathBuf,
        /// Why.
        source: Box<toml::de::Error>,
    },
}

/// The operator's settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Config {
    entries: Vec<String>,
    token_file: Option<PathBuf>,
    format: Option<String>,
    who: Option<String>,
}

#[derive(Default)]
struct Flags {
    entries: Vec<String>,
    token_file: Option<PathBuf>,
    format: Option<String>,
    who: Option<String>,
    words: Vec<String>,
    file: Option<PathBuf>,
    options: Options,
    steps: bool,
}

/// Reads the command line, with `env` to look up environment variables.
///
/// # Errors
///
/// Returns the first thing that is wrong.
pub fn parse(
    args: impl IntoIterator<Item = OsString>,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Job, Error> {
    let mut flags = Flags::default();
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Job::Help),
            Short('V') | Long("version") => return Ok(Job::Version),
            Long("entry") => flags.entries.push(parser.value()?.string()?),
            Long("token-file") => flags.token_file = Some(parser.value()?.into()),
            Long("format") => flags.format = Some(parser.value()?.string()?),
            Long("steps") => flags.steps = true,
            Long("dry-run") => flags.options.dry = true,
            Long("force") => flags.options.force = true,
            Long("base") => flags.options.base = Some(parser.value()?.parse()?),
            Long("id") => flags.options.id = Some(parser.value()?.string()?),
            Long("as") => flags.who = Some(parser.value()?.string()?),
            Short('f') if flags.file.is_none() => flags.file = Some(parser.value()?.into()),
            Value(word) if flags.file.is_none() => flags.words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if flags.words.first().is_some_and(|word| word == "trace") {
        return trace(flags);
    }
    resolve(flags, env).map(|options| Job::Run(Box::new(options)))
}

fn trace(flags: Flags) -> Result<Job, Error> {
    let mut words = flags.words.into_iter().skip(1);
    if flags.steps {
        let format = flags.format.unwrap_or_else(|| "table".to_owned());
        return Ok(Job::Steps {
            logs: words.map(PathBuf::from).collect(),
            format: format.parse()?,
        });
    }
    let id = words.next().ok_or(Error::NoId)?;
    let logs = words.map(PathBuf::from).collect();
    Ok(Job::Trace { id, logs })
}

fn resolve(flags: Flags, env: &dyn Fn(&str) -> Option<String>) -> Result<Options, Error> {
    let config = match env(env::CONFIG) {
        Some(file) => load(Path::new(&file))?,
        None => Config::default(),
    };
    let mut options = flags.options;
    if options.id.is_some() && options.base.is_none() {
        return Err(Error::NoBase);
    }
    let named = env(env::ENTRY).map(|list| list.split(',').map(str::to_owned).collect());
    let given = Some(flags.entries).filter(|list| !list.is_empty());
    options.entries = entries(given.or(named).unwrap_or(config.entries))?;
    if let Some(file) = flags.token_file.or(config.token_file) {
        options.token = Some(Token(read(&file)?.trim().to_owned()));
    }
    if let Some(word) = flags.format.or(config.format) {
        options.format = word.parse()?;
    }
    let who = flags.who.or(config.who).or_else(|| env(env::USER));
    options.who = who.unwrap_or_else(|| "operator".to_owned());
    options.source = match flags.file {
        Some(file) => Source::File(file),
        None if flags.words.is_empty() => Source::Prompt,
        None => Source::Text(flags.words.join(" ")),
    };
    Ok(options)
}

fn entries(list: Vec<String>) -> Result<Vec<SocketAddr>, Error> {
    let parsed = list
        .into_iter()
        .map(|text| text.trim().parse().ok().ok_or(Error::Entry(text)));
    let entries: Vec<SocketAddr> = parsed.collect::<Result<_, _>>()?;
    if entries.is_empty() {
        return Err(Error::NoEntry);
    }
    Ok(entries)
}

fn load(file: &Path) -> Result<Config, Error> {
    toml::from_str(&read(file)?).map_err(|source| Error::Config {
        file: file.to_owned(),
        source: Box::new(source),
    })
}

fn read(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })
}
