//! Schema of the settings file.
//!
//! It repeats the fields of the deserialised structs because serde stops at the first
//! error, whereas the schema finds all of them. Tests load files that set most keys, so
//! they fail if the two differ in these.

use std::net::{IpAddr, SocketAddr};
use toml::de::DeValue;
use ureq::http::Uri;

const MAX_NAME_LEN: usize = 64;
/// Minimum length of a token; shorter ones could be guessed.
const MIN_TOKEN_LEN: usize = 16;
const MILLIS_PER_HOUR: u64 = 3_600_000;
const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 24 * SECONDS_PER_HOUR;
const WINDOW_SECONDS: Rule = Rule::Integer {
    min: 1,
    max: SECONDS_PER_HOUR,
};

/// Type and constraints of a value.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// An IP address and a port other than 0.
    Address,
    /// `true` or `false`.
    Flag,
    /// An integer from `min` to `max`.
    Integer {
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// A name of a process, host, data centre, region, service or endpoint.
    Name,
    /// A table of names by name.
    NameMap,
    /// A list of names.
    Names,
    /// A number from `min` to `max`.
    Number {
        /// Minimum.
        min: f64,
        /// Maximum.
        max: f64,
    },
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A list of secrets, which are never included in messages.
    Tokens,
    /// An `http` URL without a path.
    Url,
}

/// One key of a table.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the key.
    pub key: &'static str,
    /// Whether the table must contain the key.
    pub required: bool,
    /// Allowed values.
    pub rule: Rule,
}

/// One table of the file.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Dotted path; empty for the root of the file.
    pub path: &'static str,
    /// Whether the file must contain the table.
    pub required: bool,
    /// Keys of the table.
    pub fields: &'static [Field],
}

const fn required(key: &'static str, rule: Rule) -> Field {
    Field {
        key,
        required: true,
        rule,
    }
}

const fn optional(key: &'static str, rule: Rule) -> Field {
    Field {
        key,
        required: false,
        rule,
    }
}

const fn integer(key: &'static str, min: u64, max: u64) -> Field {
    optional(key, Rule::Integer { min, max })
}

/// All tables of a settings file.
pub const TABLES: &[Table] = &[
    Table {
        path: "",
        required: true,
        fields: &[
            required("name", Rule::Name),
            required("host", Rule::Name),
            required("place", Rule::Name),
            required("region", Rule::Name),
            optional("regions", Rule::NameMap),
        ],
    },
    Table {
        path: "platform",
        // Required for entries and sidecars only; see `Checker::check_roles`.
        required: false,
        fields: &[
            required("table", Rule::Url),
            required("hosts", Rule::Url),
            optional("objects", Rule::Url),
            optional("weights", Rule::Url),
        ],
    },
    Table {
        path: "entry",
        required: false,
        fields: &[
            required("callers", Rule::Address),
            required("operators", Rule::Address),
            integer("workers", 1, 4096),
            integer("body", 1, 64 << 20),
            integer("handover", 1, 1 << 20),
            integer("deadline_ms", 1, MILLIS_PER_HOUR),
            integer("subset", 1, 4096),
        ],
    },
    Table {
        path: "entry.tokens",
        required: false,
        fields: &[optional("ask", Rule::Tokens), optional("act", Rule::Tokens)],
    },
    Table {
        path: "side",
        required: false,
        fields: &[
            required("links", Rule::Address),
            required("service", Rule::Name),
            required("endpoint", Rule::Name),
            required("address", Rule::Address),
            required("kind", Rule::OneOf(&["model", "plain"])),
            integer("limit", 1, 4096),
            integer("buffer", 1024, 4 << 30),
            integer("handover", 1, 1 << 20),
            optional("fences", Rule::Flag),
        ],
    },
    Table {
        path: "gateway",
        required: false,
        fields: &[
            required("callers", Rule::Address),
            required("ready", Rule::Address),
            required("store", Rule::Address),
            optional("metrics", Rule::Address),
            optional("peers", Rule::Address),
            integer("lease_ms", 100, MILLIS_PER_HOUR),
            integer("row_bytes", 1024, 16 << 20),
            integer("keep_s", 1, SECONDS_PER_HOUR),
            optional("fences", Rule::Flag),
            integer("memory_mb", 1, 1 << 20),
            integer("trust_ms", 100, MILLIS_PER_HOUR),
            optional("contention", Rule::OneOf(&["auto", "on", "off"])),
            optional("conditions", Rule::Names),
            integer("share_floor", 0, 100),
            integer("account_share", 1, 100),
            optional(
                "cold_overrun",
                Rule::Number {
                    min: 1.0,
                    max: 100.0,
                },
            ),
            integer("cold_slack", 0, 10_000),
            integer("crash_limit", 1, 100),
            integer("quarantine_s", 1, SECONDS_PER_DAY),
        ],
    },
    Table {
        path: "gateway.usage",
        required: false,
        fields: &[
            required("address", Rule::Address),
            required("window_s", WINDOW_SECONDS),
            required("late_s", WINDOW_SECONDS),
        ],
    },
    Table {
        path: "log",
        required: false,
        fields: &[
            optional(
                "level",
                Rule::OneOf(&["error", "warn", "info", "debug", "trace"]),
            ),
            optional("format", Rule::OneOf(&["text", "json"])),
            integer("lines_s", 10, 100_000),
        ],
    },
    Table {
        path: "metrics",
        required: false,
        fields: &[optional("target", Rule::Address)],
    },
    Table {
        path: "stop",
        required: false,
        fields: &[integer("deadline_s", 1, SECONDS_PER_HOUR)],
    },
];

impl Rule {
    /// Describes the allowed values, for messages.
    #[must_use]
    pub fn allowed(self) -> String {
        match self {
            Self::Address => "IP:PORT with a port from 1 to 65535, such as 127.0.0.1:8080".into(),
            Self::Flag => "true or false".into(),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Name => {
                format!("1 to {MAX_NAME_LEN} lower-case letters, digits, '-', '_' or '.'")
            }
            Self::NameMap => format!(
                "a table of names of 1 to {MAX_NAME_LEN} lower-case letters, digits, '-', '_' or '.'"
            ),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Names => format!(
                "a list of names of 1 to {MAX_NAME_LEN} lower-case letters, digits, '-', '_' or '.'"
            ),
            Self::OneOf(words) => words.join(", "),
            Self::Tokens => {
                format!("a list of strings of at least {MIN_TOKEN_LEN} visible ASCII characters")
            }
            Self::Url => "http://HOST or http://HOST:PORT, without a path".into(),
        }
    }

    /// Returns whether `value` is allowed.
    #[must_use]
    pub fn accepts(self, value: &DeValue<'_>) -> bool {
        match self {
            Self::Flag => value.is_bool(),
            Self::Integer { min, max } => {
                parse_integer(value).is_some_and(|n| (min..=max).contains(&n))
            }
            Self::Tokens => value
                .as_array()
                .is_some_and(|list| list.iter().all(|token| is_token(token.get_ref()))),
            Self::Address => value.as_str().and_then(address).is_some(),
            Self::Name => value.as_str().is_some_and(is_name),
            Self::NameMap => value.as_table().is_some_and(|table| {
                let mut entries = table.iter();
                entries.all(|(key, name)| {
                    is_name(key.get_ref()) && name.get_ref().as_str().is_some_and(is_name)
                })
            }),
            Self::Number { min, max } => {
                parse_number(value).is_some_and(|n| (min..=max).contains(&n))
            }
            Self::Names => value.as_array().is_some_and(|list| {
                let mut names = list.iter().map(|name| name.get_ref().as_str());
                names.all(|name| name.is_some_and(is_name))
            }),
            Self::OneOf(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Self::Url => value.as_str().is_some_and(is_url),
        }
    }

    /// Describes `value` for messages, without revealing secrets.
    #[must_use]
    pub fn describe(self, value: &DeValue<'_>) -> String {
        match (self, value) {
            (Self::Tokens, value) => format!("{} (not shown)", value.type_str()),
            (_, DeValue::String(text)) => format!("{text:?}"),
            (_, DeValue::Integer(n)) => n.to_string(),
            (_, DeValue::Float(n)) => n.to_string(),
            (_, DeValue::Boolean(flag)) => flag.to_string(),
            (_, other) => other.type_str().to_owned(),
        }
    }
}

/// Parses an address with a port other than 0.
#[must_use]
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}

/// Returns whether two listeners can't be bound to these addresses at the same time.
#[must_use]
pub fn conflicts(first: SocketAddr, second: SocketAddr) -> bool {
    let is_any = |ip: IpAddr| ip.is_unspecified();
    first.port() == second.port()
        && (first.ip() == second.ip() || is_any(first.ip()) || is_any(second.ip()))
}

fn parse_integer(value: &DeValue<'_>) -> Option<u64> {
    let n = value.as_integer()?;
    u64::from_str_radix(n.as_str(), n.radix()).ok()
}

fn parse_number(value: &DeValue<'_>) -> Option<f64> {
    let text = match value {
        DeValue::Integer(n) => n.as_str(),
        DeValue::Float(n) => n.as_str(),
        _ => return None,
    };
    text.replace('_', "").parse().ok()
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    (1..=MAX_NAME_LEN).contains(&text.len()) && text.chars().all(is_allowed)
}

fn is_token(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(|token| {
        token.len() >= MIN_TOKEN_LEN && token.chars().all(|c| c.is_ascii_graphic())
    })
}

fn is_url(text: &str) -> bool {
    let Ok(uri) = text.parse::<Uri>() else {
        return false;
    };
    uri.scheme_str() == Some("http")
        && uri.query().is_none()
        && uri.path() == "/"
        && !text.ends_with('/')
        && uri.authority().is_some_and(|authority| {
            !authority.as_str().contains('@') && !authority.host().is_empty()
        })
}
