//! Threads that poll the endpoint's load and the host list.

use crate::{
    http_client,
    platform::{HostList, HostState},
    settings::{Settings, Side},
    side::{event::Event, request::EndpointLoad},
};
use flume::{RecvTimeoutError, Sender};
use serde::Deserialize;
use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Time between two polls of the endpoint's load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one poll of the endpoint's load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum and maximum time between two polls of the host list.
const HOSTS_INTERVAL: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Time between two polls for each row of the host list. It bounds the bandwidth
/// that reading a long list takes.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// A thread that polls until this handle is dropped.
#[derive(Debug)]
pub struct Poll {
    _stop: Sender<()>,
}

impl Poll {
    /// Starts a thread that calls `poll` repeatedly; it returns the delay until the
    /// next call.
    fn start(name: &str, mut poll: impl FnMut() -> Duration + Send + 'static) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded::<()>(0);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let mut delay = Duration::ZERO;
                while stopped.recv_timeout(delay) == Err(RecvTimeoutError::Timeout) {
                    delay = poll();
                }
            })?;
        Ok(Self { _stop: stop })
    }
}

/// Starts the thread that polls the endpoint's load.
///
/// # Errors
///
/// Returns an error if the thread can't be spawned.
pub fn poll_load(side: &Side, events: Sender<Event>) -> io::Result<Poll> {
    let agent = load_agent();
    let address = side.address;
    Poll::start("load", move || {
        // If the channel is full, the result is dropped; the next poll replaces it.
        match fetch_load(&agent, address) {
            Ok(load) => {
                drop(events.try_send(Event::Reachable(true)));
                drop(events.try_send(Event::Load(load)));
            }
            Err(error) => drop(events.try_send(Event::Reachable(!is_refused(&error)))),
        }
        LOAD_INTERVAL
    })
}

/// Starts the thread that reads from the host list whether this host is leaving.
///
/// # Errors
///
/// Returns an error if the thread can't be spawned.
pub fn poll_hosts(settings: &Settings, side: &Side, events: Sender<Event>) -> io::Result<Poll> {
    let list = HostList::new(&settings.platform.hosts);
    let (service, endpoint) = (side.service.clone(), side.endpoint.clone());
    Poll::start("hosts", move || {
        let Ok(hosts) = list.fetch() else {
            return HOSTS_INTERVAL[0];
        };
        let mut own_rows = hosts.iter().filter(|host| {
            host.role == "side" && host.service == service && host.endpoint == endpoint
        });
        let leaving = own_rows.any(|host| host.state == HostState::Leaving);
        // If the channel is full, the result is dropped; the next poll replaces it.
        drop(events.try_send(Event::HostList { leaving }));
        let rows = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_HOST.saturating_mul(rows);
        interval.clamp(HOSTS_INTERVAL[0], HOSTS_INTERVAL[1])
    })
}

/// The endpoint's answer to `GET /load`.
#[derive(Deserialize)]
struct LoadReport {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    limit: u32,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    cache_free: u64,
    #[serde(default)]
    version: String,
    #[serde(default)]
    age_ms: u64,
}

fn load_agent() -> ureq::Agent {
    http_client::config()
        .timeout_global(Some(LOAD_TIMEOUT))
        .proxy(None)
        .build()
        .into()
}

/// Returns whether the endpoint refused the connection.
///
/// Only this shows that the endpoint is down. One that answers late or with an
/// error is running.
fn is_refused(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

fn fetch_load(agent: &ureq::Agent, address: SocketAddr) -> Result<EndpointLoad, ureq::Error> {
    let sent_at = Instant::now();
    let mut response = agent.get(format!("http://{address}/load")).call()?;
    let bytes = response.body_mut().read_to_vec()?;
    let report: LoadReport = serde_json::from_slice(&bytes).map_err(io::Error::other)?;
    Ok(EndpointLoad {
        running: report.running,
        queued: report.queued,
        limit: report.limit,
        tokens: report.tokens,
        cache_free: report.cache_free,
        weights: report.version,
        measured_at: sent_at.checked_sub(Duration::from_millis(report.age_ms)),
    })
}
