//! A trainer that fetches training steps and counts successes and failures.

use crate::http::Server;
use serde::Serialize;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The counters of a trainer.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Report {
    /// The number of fetched steps.
    pub steps: u64,
    /// The number of failed requests.
    pub failures: u64,
    /// The time spent waiting for answers, in milliseconds.
    pub idle_ms: u64,
}

/// A running trainer, which answers every request with its [`Report`].
#[derive(Debug)]
pub struct Trainer {
    server: Server,
    stopping: Arc<AtomicBool>,
}

impl Trainer {
    /// Starts a trainer that fetches steps from `url` and works on each for `step`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen or start a thread.
    pub fn start(listen: SocketAddr, url: &str, step: Duration) -> io::Result<Self> {
        let report = Arc::new(Mutex::new(Report::default()));
        let stopping = Arc::new(AtomicBool::new(false));
        let (shared, stop_flag, url) = (Arc::clone(&report), Arc::clone(&stopping), url.to_owned());
        thread::Builder::new()
            .name("trainer".to_owned())
            .spawn(move || {
                while !stop_flag.load(Ordering::Relaxed) {
                    fetch_step(&url, step, &shared);
                }
            })?;
        let server = Server::start(listen, move |exchange| {
            let report = *report.lock().unwrap_or_else(PoisonError::into_inner);
            exchange.answer(200, &report);
        })?;
        Ok(Self { server, stopping })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

impl Drop for Trainer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

fn fetch_step(url: &str, work: Duration, report: &Mutex<Report>) {
    let start = Instant::now();
    let call = ureq::get(url)
        .config()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    let result = call
        .call()
        .and_then(|mut answer| answer.body_mut().read_to_vec());
    let idle_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    {
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.idle_ms += idle_ms;
        match result {
            Ok(_) => report.steps += 1,
            Err(_) => report.failures += 1,
        }
    }
    thread::sleep(if result.is_ok() { work } else { RETRY_DELAY });
}
