//! Settings of the roles entry, side (sidecar) and gateway.

use hibiscusroad::{
    config::Kind,
    contention::{self, Contention},
    quarantine::{CRASH_LIMIT, CRASH_TTL},
};
use hibiscusroad_platform::conditions::declares_crowding;
use serde::Deserialize;
use std::{fmt, net::SocketAddr};

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators, separate so that callers can't exhaust it.
    pub operators: SocketAddr,
    /// Number of worker threads, each of which serves one request at a time.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Capacity of the event channel to the thread that owns the state.
    #[serde(default = "default_handover")]
    pub handover: usize,
    /// Deadline of requests that specify none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Number of sidecars per service to which this entry keeps a stream.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Operators' tokens.
    #[serde(default)]
    pub tokens: Tokens,
}

impl Entry {
    /// Creates settings with these listening addresses and the defaults for everything
    /// else.
    ///
    /// # Example
    ///
    /// ```
    /// use hibiscusroad_daemon::settings::Entry;
    ///
    /// let callers = "127.0.0.1:8080".parse()?;
    /// let operators = "127.0.0.1:8081".parse()?;
    /// let entry = Entry::new(callers, operators).workers(64).subset(15);
    /// assert_eq!(entry.workers, 64);
    /// assert_eq!(entry.deadline_ms, 10_000);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(callers: SocketAddr, operators: SocketAddr) -> Self {
        Self {
            callers,
            operators,
            workers: default_workers(),
            body: default_body(),
            handover: default_handover(),
            deadline_ms: default_deadline_ms(),
            subset: default_subset(),
            tokens: Tokens::default(),
        }
    }

    /// Sets the number of worker threads.
    #[must_use]
    pub const fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Sets the maximum size of a request body, in bytes.
    #[must_use]
    pub const fn body(mut self, body: usize) -> Self {
        self.body = body;
        self
    }

    /// Sets the capacity of the event channel.
    #[must_use]
    pub const fn handover(mut self, handover: usize) -> Self {
        self.handover = handover;
        self
    }

    /// Sets the deadline of requests that specify none, in milliseconds.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the number of sidecars per service to which a stream is kept.
    #[must_use]
    pub const fn subset(mut self, subset: usize) -> Self {
        self.subset = subset;
        self
    }

    /// Sets the operators' tokens.
    #[must_use]
    pub fn tokens(mut self, tokens: Tokens) -> Self {
        self.tokens = tokens;
        self
    }
}

/// Tokens that authenticate operators.
#[derive(Clone, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Tokens that allow queries.
    #[serde(default)]
    pub ask: Vec<String>,
    /// Tokens that allow queries and changes.
    #[serde(default)]
    pub act: Vec<String>,
}

impl fmt::Debug for Tokens {
    // Prints only the number of tokens, so that none reaches a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tokens")
            .field("ask", &self.ask.len())
            .field("act", &self.act.len())
            .finish()
    }
}

/// Settings of a sidecar.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Side {
    /// Listening address for streams from entries.
    pub links: SocketAddr,
    /// Service of the endpoint.
    pub service: String,
    /// Name of the endpoint, unique in the service.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Kind of the endpoint.
    pub kind: Kind,
    /// Concurrency limit of the endpoint.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Maximum size of unacknowledged responses, in bytes.
    #[serde(default = "default_buffer")]
    pub buffer: usize,
    /// Capacity of the event channel to the thread that owns the state.
    #[serde(default = "default_handover")]
    pub handover: usize,
    /// Whether the endpoint itself refuses orders with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
}

impl Side {
    /// Creates settings with these values and the defaults for everything else.
    #[must_use]
    pub fn new(
        links: SocketAddr,
        service: &str,
        endpoint: &str,
        address: SocketAddr,
        kind: Kind,
    ) -> Self {
        Self {
            links,
            service: service.to_owned(),
            endpoint: endpoint.to_owned(),
            address,
            kind,
            limit: default_limit(),
            buffer: default_buffer(),
            handover: default_handover(),
            fences: false,
        }
    }

    /// Sets the concurrency limit of the endpoint.
    #[must_use]
    pub const fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the maximum size of unacknowledged responses, in bytes.
    #[must_use]
    pub const fn buffer(mut self, buffer: usize) -> Self {
        self.buffer = buffer;
        self
    }

    /// Sets the capacity of the event channel.
    #[must_use]
    pub const fn handover(mut self, handover: usize) -> Self {
        self.handover = handover;
        self
    }

    /// Sets whether the endpoint itself refuses orders with an outdated fencing token.
    #[must_use]
    pub const fn fences(mut self, fences: bool) -> Self {
        self.fences = fences;
        self
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Address of the table service.
    pub store: SocketAddr,
    /// Listening address for metrics; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// Listening address for peers, whose requests to the store are forwarded; `None`
    /// disables it.
    pub peers: Option<SocketAddr>,
    /// Duration of leases, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Maximum size of a row in the store, in bytes.
    #[serde(default = "default_row_bytes")]
    pub row_bytes: usize,
    /// How long a batch can be read after its submission, in seconds.
    #[serde(default = "default_keep_s")]
    pub keep_s: u64,
    /// Whether endpoints refuse orders with an outdated fencing token.
    #[serde(default)]
    pub fences: bool,
    /// How long API keys are accepted without contact to the store, in milliseconds; `None`
    /// for no limit.
    pub trust_ms: Option<u64>,
    /// Usage reports; `None` disables them.
    pub usage: Option<Usage>,
    /// Memory limit of the process, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Whether decisions on competition for room take effect: `auto`, `on` or `off`.
    #[serde(default)]
    pub contention: contention::Mode,
    /// What the platform declares about the deployment, in its own words.
    #[serde(default)]
    pub conditions: Vec<String>,
    /// The part of an equal share of slots that each trainer's step gets before any other
    /// gets more than its share, in percent.
    #[serde(default = "default_share_floor")]
    pub share_floor: u32,
    /// The part of a service's places that calls of one client account may hold or wait for
    /// while others wait, in percent; `None` for no limit.
    pub account_share: Option<u32>,
    /// Factor by which requests to a cold endpoint may exceed the rate that its service declares.
    #[serde(default = "default_cold_overrun")]
    pub cold_overrun: f64,
    /// Requests to a cold endpoint that are allowed beyond that in any second.
    #[serde(default)]
    pub cold_slack: u32,
    /// Number of endpoint crashes after which a request is quarantined.
    #[serde(default = "default_crash_limit")]
    pub crash_limit: usize,
    /// How long an endpoint crash counts against a request, in seconds.
    #[serde(default = "default_quarantine_s")]
    pub quarantine_s: u64,
}

impl Gateway {
    /// Returns for which services competition for room is expected.
    #[must_use]
    pub fn contention(&self) -> Contention {
        Contention::new(self.contention, declares_crowding(&self.conditions))
    }
}

/// Settings of usage reports.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Address to which reports are sent.
    pub address: SocketAddr,
    /// Length of the window that one report covers, in seconds.
    pub window_s: u64,
    /// Time after the end of a window by which its report is due, in seconds.
    pub late_s: u64,
}

/// Half of an equal share: enough for the longest texts of a step, which decide when it ends.
const fn default_share_floor() -> u32 {
    50
}

fn default_memory_mb() -> u32 {
    256
}

const fn default_cold_overrun() -> f64 {
    1.0
}

fn default_crash_limit() -> usize {
    CRASH_LIMIT
}

fn default_quarantine_s() -> u64 {
    CRASH_TTL.as_secs()
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_keep_s() -> u64 {
    120
}

fn default_row_bytes() -> usize {
    64 << 10
}

fn default_workers() -> usize {
    256
}

fn default_body() -> usize {
    1 << 20
}

fn default_handover() -> usize {
    8192
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_subset() -> usize {
    24
}

fn default_limit() -> u32 {
    64
}

fn default_buffer() -> usize {
    16 << 20
}
