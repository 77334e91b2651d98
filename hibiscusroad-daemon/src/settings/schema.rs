//! The list of all keys and what each may hold.
//!
//! It stands beside the structs that serde fills, and repeats their names, so
//! that one pass over the file finds all faults: serde alone stops at the
//! first. A test loads a file with every key, and so fails if the two differ.

use std::net::{IpAddr, SocketAddr};
use toml::de::DeValue;
use ureq::http::Uri;

const LONGEST_NAME: usize = 64;
/// Short tokens can be guessed over a network in days.
const SHORTEST_TOKEN: usize = 16;
const MILLIS_AN_HOUR: u64 = 3_600_000;
const SECONDS_AN_HOUR: u64 = 3_600;
const SECONDS_A_DAY: u64 = 24 * SECONDS_AN_HOUR;
const SECONDS: Rule = Rule::Integer {
    low: 1,
    high: SECONDS_AN_HOUR,
};

/// What a key may hold.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// An IP address and a port that is not 0.
    Address,
    /// `true` or `false`.
    Flag,
    /// A whole number from `low` to `high`.
    Integer {
        /// The least.
        low: u64,
        /// The greatest.
        high: u64,
    },
    /// A name of a process, host, place, region, service or endpoint.
    Name,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A list of secrets, whose content never reaches a message.
    Tokens,
    /// An `http` URL without a path.
    Url,
}

/// One key of a table.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Its name.
    pub key: &'static str,
    /// Whether the table must have it.
    pub needed: bool,
    /// What it may hold.
    pub rule: Rule,
}

/// One table of the file.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    /// Its path, dotted; empty for the whole file.
    pub path: &'static str,
    /// Whether the file must have it.
    pub needed: bool,
    /// Its keys.
    pub fields: &'static [Field],
}

const fn needed(key: &'static str, rule: Rule) -> Field {
    Field {
        key,
        needed: true,
        rule,
    }
}

const fn optional(key: &'static str, rule: Rule) -> Field {
    Field {
        key,
        needed: false,
        rule,
    }
}

const fn integer(key: &'static str, low: u64, high: u64) -> Field {
    optional(key, Rule::Integer { low, high })
}

/// All tables of a settings file.
pub const TABLES: &[Table] = &[
    Table {
        path: "",
        needed: true,
        fields: &[
            needed("name", Rule::Name),
            needed("host", Rule::Name),
            needed("place", Rule::Name),
            needed("region", Rule::Name),
        ],
    },
    Table {
        path: "platform",
        // Only entries and sides need it; see `Check::roles`.
        needed: false,
        fields: &[
            needed("table", Rule::Url),
            needed("hosts", Rule::Url),
            optional("objects", Rule::Url),
            optional("weights", Rule::Url),
        ],
    },
    Table {
        path: "entry",
        needed: false,
        fields: &[
            needed("callers", Rule::Address),
            needed("operators", Rule::Address),
            integer("workers", 1, 4096),
            integer("body", 1, 64 << 20),
            integer("handover", 1, 1 << 20),
            integer("deadline_ms", 1, MILLIS_AN_HOUR),
            integer("subset", 1, 4096),
        ],
    },
    Table {
        path: "entry.tokens",
        needed: false,
        fields: &[optional("ask", Rule::Tokens), optional("act", Rule::Tokens)],
    },
    Table {
        path: "side",
        needed: false,
        fields: &[
            needed("links", Rule::Address),
            needed("service", Rule::Name),
            needed("endpoint", Rule::Name),
            needed("address", Rule::Address),
            needed("kind", Rule::OneOf(&["model", "plain"])),
            integer("limit", 1, 4096),
            integer("buffer", 1024, 4 << 30),
            integer("handover", 1, 1 << 20),
            optional("fences", Rule::Flag),
        ],
    },
    Table {
        path: "gateway",
        needed: false,
        fields: &[
            needed("callers", Rule::Address),
            needed("ready", Rule::Address),
            needed("store", Rule::Address),
            optional("metrics", Rule::Address),
            optional("peers", Rule::Address),
            integer("lease_ms", 100, MILLIS_AN_HOUR),
            integer("row_bytes", 1024, 16 << 20),
            integer("keep_s", 1, SECONDS_AN_HOUR),
            optional("fences", Rule::Flag),
            integer("memory_mb", 1, 1 << 20),
            integer("trust_ms", 100, MILLIS_AN_HOUR),
            integer("crash_limit", 1, 100),
            integer("quarantine_s", 1, SECONDS_A_DAY),
        ],
    },
    Table {
        path: "gateway.usage",
        needed: false,
        fields: &[
            needed("address", Rule::Address),
            needed("window_s", SECONDS),
            needed("late_s", SECONDS),
        ],
    },
    Table {
        path: "log",
        needed: false,
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
        needed: false,
        fields: &[optional("target", Rule::Address)],
    },
    Table {
        path: "stop",
        needed: false,
        fields: &[integer("deadline_s", 1, SECONDS_AN_HOUR)],
    },
];

impl Rule {
    /// Returns what is allowed, to end the sentence "allowed: ...".
    #[must_use]
    pub fn allowed(self) -> String {
        match self {
            Self::Address => "IP:PORT with a port from 1 to 65535, such as 127.0.0.1:8080".into(),
            Self::Flag => "true or false".into(),
            Self::Integer { low, high } => format!("a whole number from {low} to {high}"),
            Self::Name => {
                format!("1 to {LONGEST_NAME} lower-case letters, digits, '-', '_' or '.'")
            }
            Self::OneOf(words) => words.join(", "),
            Self::Tokens => {
                format!("a list of strings of at least {SHORTEST_TOKEN} visible ASCII characters")
            }
            Self::Url => "http://HOST or http://HOST:PORT, without a path".into(),
        }
    }

    /// Returns whether `value` keeps the rule.
    #[must_use]
    pub fn fits(self, value: &DeValue<'_>) -> bool {
        match self {
            Self::Flag => value.is_bool(),
            Self::Integer { low, high } => {
                integer_of(value).is_some_and(|n| (low..=high).contains(&n))
            }
            Self::Tokens => value
                .as_array()
                .is_some_and(|list| list.iter().all(|token| is_token(token.get_ref()))),
            Self::Address => value.as_str().and_then(address).is_some(),
            Self::Name => value.as_str().is_some_and(is_name),
            Self::OneOf(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Self::Url => value.as_str().is_some_and(is_url),
        }
    }

    /// Returns what was found, without secrets.
    #[must_use]
    pub fn found(self, value: &DeValue<'_>) -> String {
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

/// Reads an address that a process can listen on or reach.
#[must_use]
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|at: &SocketAddr| at.port() != 0)
}

/// Returns whether two listeners on these addresses get in each other's way.
#[must_use]
pub fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let all = |ip: IpAddr| ip.is_unspecified();
    one.port() == other.port() && (one.ip() == other.ip() || all(one.ip()) || all(other.ip()))
}

fn integer_of(value: &DeValue<'_>) -> Option<u64> {
    let n = value.as_integer()?;
    u64::from_str_radix(n.as_str(), n.radix()).ok()
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    (1..=LONGEST_NAME).contains(&text.len()) && text.chars().all(plain)
}

fn is_token(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(|token| {
        token.len() >= SHORTEST_TOKEN && token.chars().all(|c| c.is_ascii_graphic())
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
        && uri
            .authority()
            .is_some_and(|at| !at.as_str().contains('@') && !at.host().is_empty())
}
