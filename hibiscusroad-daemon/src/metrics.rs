//! Metrics of a process, sent as statsd lines over UDP.
//!
//! Sending never blocks and never fails a request: lines that the socket doesn't accept
//! are dropped. Lines are buffered into datagrams to save system calls. The owner calls
//! [`Metrics::flush`] about once a second, so that lines of a mostly idle process aren't
//! delayed.
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

/// Prefix of all metric names.
pub const PREFIX: &str = "hibiscusroad";

/// Counter: requests accepted by an entry. Tags `service`, `class`.
pub const REQUESTS: &str = "requests";
/// Counter: requests with a complete response. Tags `service`, `class`.
pub const ANSWERED: &str = "answered";
/// Counter: requests answered with a problem. Tag `problem`, and `service` and `class`
/// where known.
pub const REFUSED: &str = "refused";
/// Counter: requests whose caller disconnected or read too slowly. Tags `service`,
/// `class`.
pub const LEFT: &str = "left";
/// Counter: attempts sent to sidecars. Tag `service`.
pub const ATTEMPTS: &str = "attempts";
/// Counter: attempts after the first of a request, including hedges. Tag `service`.
pub const RETRIES: &str = "retries";
/// Counter: outcomes of claims. Tag `verdict`.
pub const CLAIMS: &str = "claims";
/// Timer: milliseconds from the acceptance of a request to the end of its response. Tags
/// `service`, `class`.
pub const LATENCY: &str = "latency";
/// Gauge: requests waiting for an endpoint. Tags `service`, `class`.
pub const QUEUED: &str = "queued";
/// Gauge: requests of this entry in flight at endpoints. Tags `service`, `class`.
pub const RUNNING: &str = "running";
/// Gauge: open streams between entries and sidecars.
pub const LINKS: &str = "links";
/// Counter: streams that broke or timed out.
pub const LINKS_LOST: &str = "links_lost";
/// Gauge: version of the configuration in force.
pub const CONFIG_VERSION: &str = "config_version";
/// Gauge: requests in flight at a sidecar's gate. Tag `service`.
pub const GATE_RUNNING: &str = "gate_running";
/// Counter: requests refused by a sidecar's gate. Tags `service`, `problem`.
pub const GATE_REFUSED: &str = "gate_refused";
/// Gauge: bytes of unacknowledged responses in a sidecar. Tag `service`.
pub const BUFFERED: &str = "buffered";
/// Counter: failed requests to the platform. Tag `part`.
pub const PLATFORM_FAILED: &str = "platform_failed";

/// All metrics with their types.
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

/// Time between two reports of gauges, each followed by a flush.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Key and value of a tag.
pub type Tag<'a> = (&'a str, &'a str);

/// Client for sending metrics. Clones share one socket.
///
/// Without a target, lines aren't formatted.
#[derive(Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates a client that discards all metrics.
    #[must_use]
    pub fn off() -> Self {
        Self::default()
    }

    /// Returns whether metrics are sent.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.client.is_some()
    }

    /// Creates a client for the target in the settings; it discards all metrics if there
    /// is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket can't be created.
    pub fn open(settings: &settings::Metrics) -> io::Result<Self> {
        let Some(target) = settings.target else {
            return Ok(Self::off());
        };
        let local = match target {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(target, socket).map_err(io::Error::other)?;
        // The default error handler of cadence ignores lines that can't be sent.
        Ok(Self {
            client: Some(Arc::new(StatsdClient::from_sink(PREFIX, sink))),
        })
    }

    /// Increments a counter by 1.
    pub fn count(&self, name: &str, tags: &[Tag<'_>]) {
        self.add(name, 1, tags);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, name: &str, n: u64, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        let mut line = client.count_with_tags(name, n);
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

    /// Records a duration, in whole milliseconds.
    pub fn time(&self, name: &str, elapsed: Duration, tags: &[Tag<'_>]) {
        let Some(client) = &self.client else {
            return;
        };
        let mut line = client.time_with_tags(name, elapsed);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Sends the buffered lines.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // Lines that can't be sent are dropped.
            drop(client.flush());
        }
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
