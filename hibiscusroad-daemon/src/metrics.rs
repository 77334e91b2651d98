//! Metrics of a process, as statsd lines by UDP.
//!
//! Sending never blocks and never fails a request: a line that the socket does
//! not take is lost. Lines are gathered into datagrams, so that 5,000 requests
//! a second cost a few hundred system calls and not 5,000; the owner calls
//! [`Metrics::flush`] about once a second, so that a quiet process is seen too.
//!
//! # Example
//!
//! ```
//! use hibiscusroad_daemon::metrics::{self, Metrics};
//!
//! let metrics = Metrics::off();
//! metrics.count(metrics::REQUESTS, &[("service", "hut-desk")]);
//! metrics.flush();
//! ```

use crate::settings;
use cadence::{BufferedUdpMetricSink, StatsdClient, prelude::*};
use std::{
    fmt, io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

/// Prefix of all names.
pub const PREFIX: &str = "hibiscusroad";

/// Counter: requests that entered an entry's tables. Tags `service`, `class`.
pub const REQUESTS: &str = "requests";
/// Counter: requests that got their whole answer. Tags `service`, `class`.
pub const ANSWERED: &str = "answered";
/// Counter: requests that got a problem. Tag `problem`, and `service` and `class`
/// where they are known.
pub const REFUSED: &str = "refused";
/// Counter: requests whose caller went away or fell too far behind. Tags `service`,
/// `class`.
pub const LEFT: &str = "left";
/// Counter: attempts sent to sides. Tag `service`.
pub const ATTEMPTS: &str = "attempts";
/// Counter: attempts after a request's first, hedges too. Tag `service`.
pub const RETRIES: &str = "retries";
/// Counter: verdicts on claims. Tag `verdict`.
pub const CLAIMS: &str = "claims";
/// Timer: milliseconds from a request's arrival in the tables to the end of its answer.
/// Tags `service`, `class`.
pub const LATENCY: &str = "latency";
/// Gauge: requests that wait for an endpoint. Tags `service`, `class`.
pub const QUEUED: &str = "queued";
/// Gauge: requests at endpoints, of this entry. Tags `service`, `class`.
pub const RUNNING: &str = "running";
/// Gauge: links that are up.
pub const LINKS: &str = "links";
/// Counter: links that broke or went silent.
pub const LINKS_LOST: &str = "links_lost";
/// Gauge: version of the configuration in force.
pub const CONFIG_VERSION: &str = "config_version";
/// Gauge: requests that a side's gate runs. Tag `service`.
pub const GATE_RUNNING: &str = "gate_running";
/// Counter: requests that a side's gate refused. Tags `service`, `problem`.
pub const GATE_REFUSED: &str = "gate_refused";
/// Gauge: bytes of answers that a side keeps until they are acknowledged. Tag
/// `service`.
pub const BUFFERED: &str = "buffered";
/// Counter: requests to the platform that failed. Tag `part`.
pub const PLATFORM_FAILED: &str = "platform_failed";

/// All names, with what each is.
pub const NAMES: &[(&str, &str)] = &[
    (REQUESTS, "counter"),
    (ANSWERED, "counter"),
    (REFUSED, "counter"),
    (LEFT, "counter"),
    (ATTEMPTS, "counter"),
    (RETRIES, "counter"),
    (CLAIMS, "counter"),
    (LATENCY, "timer"),
    (QUEUED, "gauge"),
    (RUNNING, "gauge"),
    (LINKS, "gauge"),
    (LINKS_LOST, "counter"),
    (CONFIG_VERSION, "gauge"),
    (GATE_RUNNING, "gauge"),
    (GATE_REFUSED, "counter"),
    (BUFFERED, "gauge"),
    (PLATFORM_FAILED, "counter"),
];

/// Time between two readings of gauges, each followed by a flush.
pub const EVERY: Duration = Duration::from_secs(1);

/// A tag's key and value.
pub type Tag<'a> = (&'a str, &'a str);

/// Where a process sends its metrics. Clones share one socket.
///
/// Without a target a line costs one comparison: it is not even written.
#[derive(Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates metrics that are sent nowhere.
    #[must_use]
    pub fn off() -> Self {
        Self::default()
    }

    /// Says whether lines are sent anywhere.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.client.is_some()
    }

    /// Creates metrics as the settings say: off without a target.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no UDP socket can be had.
    pub fn open(settings: &settings::Metrics) -> io::Result<Self> {
        let Some(target) = settings.target else {
            return Ok(Self::off());
        };
        let any = match target {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(target, socket).map_err(io::Error::other)?;
        // A lost line is not worth a record in the log; the default handler
        // of cadence drops it.
        Ok(Self {
            client: Some(Arc::new(StatsdClient::from_sink(PREFIX, sink))),
        })
    }

    /// Adds 1 to a counter.
    pub fn count(&self, name: &str, tags: &[Tag<'_>]) {
        self.add(name, 1, tags);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, by: u64, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let by = i64::try_from(by).unwrap_or(i64::MAX);
        let mut line = client.count_with_tags(name, by);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut line = client.gauge_with_tags(name, value);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Records how long something took, in whole milliseconds.
    pub fn time(&self, name: &str, took: Duration, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut line = client.time_with_tags(name, took);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Sends what has been gathered.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // Lost like any other line.
            drop(client.flush());
        }
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
