//! What the settings of an entry and of a side hold.

use hibiscusroad::{
    config::Kind,
    quarantine::{CRASH_LIMIT, CRASH_TTL},
};
use serde::Deserialize;
use std::{fmt, net::SocketAddr};

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect; apart from callers, so that a rush of them
    /// can't lock operators out.
    pub operators: SocketAddr,
    /// Requests worked on at once: threads that read and answer.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Bytes that a request's body may have.
    #[serde(default = "default_body")]
    pub body: usize,
    /// Events that may wait for the thread that owns the tables.
    #[serde(default = "default_handover")]
    pub handover: usize,
    /// Milliseconds a caller waits who names no deadline.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Sides of each service that this entry keeps a link to.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Tokens of those who may ask and act.
    #[serde(default)]
    pub tokens: Tokens,
}

impl Entry {
    /// Creates the settings of an entry that serves callers and operators at
    /// these addresses, with everything else as the defaults have it.
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
            deadline_ms: default_deadline(),
            subset: default_subset(),
            tokens: Tokens::default(),
        }
    }

    /// Sets how many requests are worked on at once.
    #[must_use]
    pub const fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Sets how many bytes a request's body may have.
    #[must_use]
    pub const fn body(mut self, body: usize) -> Self {
        self.body = body;
        self
    }

    /// Sets how many events may wait for the tables.
    #[must_use]
    pub const fn handover(mut self, handover: usize) -> Self {
        self.handover = handover;
        self
    }

    /// Sets how many milliseconds a caller waits who names no deadline.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets how many sides of each service are linked.
    #[must_use]
    pub const fn subset(mut self, subset: usize) -> Self {
        self.subset = subset;
        self
    }

    /// Sets who may ask and act.
    #[must_use]
    pub fn tokens(mut self, tokens: Tokens) -> Self {
        self.tokens = tokens;
        self
    }
}

/// Tokens that operators show.
#[derive(Clone, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// May ask what is running.
    #[serde(default)]
    pub ask: Vec<String>,
    /// May also change the configuration.
    #[serde(default)]
    pub act: Vec<String>,
}

impl fmt::Debug for Tokens {
    // Tokens must never reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tokens")
            .field("ask", &self.ask.len())
            .field("act", &self.act.len())
            .finish()
    }
}

/// Settings of a side.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Side {
    /// Where entries open links.
    pub links: SocketAddr,
    /// The service of its endpoint.
    pub service: String,
    /// The endpoint's name, unique in the service.
    pub endpoint: String,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// What the endpoint is.
    pub kind: Kind,
    /// Requests that the endpoint works on at once.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Bytes of answers kept for entries that have not acknowledged them.
    #[serde(default = "default_buffer")]
    pub buffer: usize,
    /// Events that may wait for the thread that owns the tables.
    #[serde(default = "default_handover")]
    pub handover: usize,
    /// Whether the endpoint itself refuses an order with an old number.
    #[serde(default)]
    pub fences: bool,
}

impl Side {
    /// Creates the settings of a side that takes links at `links`, with
    /// everything else as the defaults have it.
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

    /// Sets how many requests the endpoint works on at once.
    #[must_use]
    pub const fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how many bytes of answers are kept.
    #[must_use]
    pub const fn buffer(mut self, buffer: usize) -> Self {
        self.buffer = buffer;
        self
    }

    /// Sets how many events may wait for the tables.
    #[must_use]
    pub const fn handover(mut self, handover: usize) -> Self {
        self.handover = handover;
        self
    }

    /// Sets whether the endpoint itself refuses an order with an old number.
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
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this process takes callers.
    pub ready: SocketAddr,
    /// The table service.
    pub store: SocketAddr,
    /// Where metrics are served; they aren't, without it.
    pub metrics: Option<SocketAddr>,
    /// Where calls of peers to the store are carried; none are, without it.
    pub peers: Option<SocketAddr>,
    /// Milliseconds that a lease lasts.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Bytes that a row of the store holds.
    #[serde(default = "default_row")]
    pub row_bytes: usize,
    /// Seconds for which a batch can be read after its submission.
    #[serde(default = "default_keep")]
    pub keep_s: u64,
    /// Whether endpoints refuse an order with an old fencing number.
    #[serde(default)]
    pub fences: bool,
    /// Milliseconds for which keys are taken without a word of the store; for ever,
    /// without it.
    pub trust_ms: Option<u64>,
    /// Reports of what accounts used; there are none, without it.
    pub usage: Option<Usage>,
    /// Megabytes that this process may use.
    #[serde(default = "default_memory")]
    pub memory_mb: u32,
    /// Endpoints that may end under a request before it is in quarantine.
    #[serde(default = "default_crash_limit")]
    pub crash_limit: usize,
    /// Seconds for which the end of an endpoint counts against a request.
    #[serde(default = "default_quarantine")]
    pub quarantine_s: u64,
}

/// Settings of the reports of usage.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Who takes the reports.
    pub address: SocketAddr,
    /// Seconds of a window, of which each is reported by itself.
    pub window_s: u64,
    /// Seconds after a window's end within which its report is due.
    pub late_s: u64,
}

fn default_memory() -> u32 {
    256
}

fn default_crash_limit() -> usize {
    CRASH_LIMIT
}

fn default_quarantine() -> u64 {
    CRASH_TTL.as_secs()
}

fn default_lease() -> u64 {
    3_000
}

fn default_keep() -> u64 {
    120
}

fn default_row() -> usize {
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

fn default_deadline() -> u64 {
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
