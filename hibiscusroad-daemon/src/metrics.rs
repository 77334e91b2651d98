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
use cadence::{BufferedUdpMetricSink, NopMetricSink, StatsdClient, prelude::*};
use std::{
    fmt, io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

/// Prefix of all names.
pub const PREFIX: &str = "hibiscusroad";

/// Counter: requests that callers sent. Tag `service`.
pub const REQUESTS: &str = "requests";
/// Counter: requests that got their whole answer. Tag `service`.
pub const ANSWERED: &str = "answered";
/// Counter: requests that got a problem. Tags `service`, `problem`.
pub const REFUSED: &str = "refused";
/// Counter: further attempts after the first. Tag `service`.
pub const RETRIES: &str = "retries";
/// Timer in milliseconds: from a request's arrival to the end of its answer.
/// Tag `service`.
pub const LATENCY: &str = "latency";
/// Gauge: requests that wait for an endpoint. Tag `service`.
pub const QUEUED: &str = "queued";
/// Gauge: requests at endpoints. Tag `service`.
pub const RUNNING: &str = "running";
/// Gauge: links that are up.
pub const LINKS: &str = "links";
/// Counter: links that broke or went silent.
pub const LINKS_LOST: &str = "links_lost";
/// Gauge: bytes of answers kept until they are acknowledged.
pub const BUFFERED: &str = "buffered";
/// Gauge: version of the configuration in force.
pub const CONFIG_VERSION: &str = "config_version";
/// Counter: requests to the platform that failed. Tag `service`.
pub const PLATFORM_FAILED: &str = "platform_failed";

/// All names, with what each is.
pub const NAMES: &[(&str, &str)] = &[
    (REQUESTS, "counter"),
    (ANSWERED, "counter"),
    (REFUSED, "counter"),
    (RETRIES, "counter"),
    (LATENCY, "timer"),
    (QUEUED, "gauge"),
    (RUNNING, "gauge"),
    (LINKS, "gauge"),
    (LINKS_LOST, "counter"),
    (BUFFERED, "gauge"),
    (CONFIG_VERSION, "gauge"),
    (PLATFORM_FAILED, "counter"),
];

/// A tag's key and value.
pub type Tag<'a> = (&'a str, &'a str);

/// Where a process sends its metrics. Clones share one socket.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are sent nowhere.
    #[must_use]
    pub fn off() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
        }
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
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Adds 1 to a counter.
    pub fn count(&self, name: &str, tags: &[Tag<'_>]) {
        self.add(name, 1, tags);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, by: u64, tags: &[Tag<'_>]) {
        let by = i64::try_from(by).unwrap_or(i64::MAX);
        let mut line = self.client.count_with_tags(name, by);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64, tags: &[Tag<'_>]) {
        let mut line = self.client.gauge_with_tags(name, value);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Records how long something took, in whole milliseconds.
    pub fn time(&self, name: &str, took: Duration, tags: &[Tag<'_>]) {
        let mut line = self.client.time_with_tags(name, took);
        for (key, value) in tags {
            line = line.with_tag(key, value);
        }
        line.send();
    }

    /// Sends what has been gathered.
    pub fn flush(&self) {
        // Lost like any other line.
        drop(self.client.flush());
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
