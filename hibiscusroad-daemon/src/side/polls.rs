//! The threads that ask for news: the endpoint's load and the host list.

use crate::{
    platform::{HostList, State},
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

/// Time between two questions for the endpoint's load.
const LOAD_EVERY: Duration = Duration::from_secs(1);

/// How long the endpoint may take to report its load.
const LOAD_LIMIT: Duration = Duration::from_millis(500);

/// Shortest and longest time between two readings of the host list.
const HOSTS_EVERY: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// Time between two readings for each row of the list. A row has about 150
/// bytes, so that reading it costs a side 15 KB/s at the most; at 960 rows it is
/// read each 9.6 s, and entries that read it earlier place nothing here.
const FOR_EACH_HOST: Duration = Duration::from_millis(10);

/// A thread that asks again and again, until this is dropped.
#[derive(Debug)]
pub struct Poll {
    _stop: Sender<()>,
}

impl Poll {
    /// Starts a thread that calls `ask` and waits for what it returns.
    fn start(name: &str, mut ask: impl FnMut() -> Duration + Send + 'static) -> io::Result<Self> {
        let (stop, stopped) = flume::bounded::<()>(0);
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let mut wait = Duration::ZERO;
                while stopped.recv_timeout(wait) == Err(RecvTimeoutError::Timeout) {
                    wait = ask();
                }
            })?;
        Ok(Self { _stop: stop })
    }
}

/// Asks the endpoint for its load, each second.
///
/// # Errors
///
/// Returns the system's error if no thread can be had.
pub fn poll_load(side: &Side, events: Sender<Event>) -> io::Result<Poll> {
    let agent = load_agent();
    let address = side.address;
    Poll::start("load", move || {
        // News that finds no room is replaced by the next.
        match fetch_load(&agent, address) {
            Ok(load) => {
                drop(events.try_send(Event::Reached(true)));
                drop(events.try_send(Event::Load(load)));
            }
            Err(error) => drop(events.try_send(Event::Reached(!nobody_listens(&error)))),
        }
        LOAD_EVERY
    })
}

/// Reads from the host list whether this host is leaving.
///
/// # Errors
///
/// Returns the system's error if no thread can be had.
pub fn poll_hosts(settings: &Settings, side: &Side, events: Sender<Event>) -> io::Result<Poll> {
    let list = HostList::new(&settings.platform.hosts);
    let (service, endpoint) = (side.service.clone(), side.endpoint.clone());
    Poll::start("hosts", move || {
        let Ok(hosts) = list.fetch() else {
            return HOSTS_EVERY[0];
        };
        let mut mine = hosts.iter().filter(|host| {
            host.role == "side" && host.service == service && host.endpoint == endpoint
        });
        let leaving = mine.any(|host| host.state == State::Leaving);
        // News that finds no room is replaced by the next.
        drop(events.try_send(Event::Listed { leaving }));
        let rows = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        let wait = FOR_EACH_HOST.saturating_mul(rows);
        wait.clamp(HOSTS_EVERY[0], HOSTS_EVERY[1])
    })
}

#[derive(Deserialize)]
struct Report {
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
    ureq::Agent::config_builder()
        .timeout_global(Some(LOAD_LIMIT))
        .proxy(None)
        .build()
        .into()
}

/// Says whether a question shows that the endpoint is not there.
///
/// One that answers late, or has nothing at the path, is there: only a refused
/// connection is proof.
fn nobody_listens(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

fn fetch_load(agent: &ureq::Agent, address: SocketAddr) -> Result<EndpointLoad, ureq::Error> {
    let asked = Instant::now();
    let mut response = agent.get(format!("http://{address}/load")).call()?;
    let bytes = response.body_mut().read_to_vec()?;
    let report: Report = serde_json::from_slice(&bytes).map_err(io::Error::other)?;
    Ok(EndpointLoad {
        running: report.running,
        queued: report.queued,
        limit: report.limit,
        tokens: report.tokens,
        cache_free: report.cache_free,
        weights: report.version,
        at: asked.checked_sub(Duration::from_millis(report.age_ms)),
    })
}
