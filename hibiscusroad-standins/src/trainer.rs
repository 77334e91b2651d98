//! A trainer that pulls steps and reports how it fared.

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

const PATIENCE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(100);

/// What a trainer did so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Report {
    /// Steps that it pulled.
    pub steps: u64,
    /// Pulls that failed.
    pub failures: u64,
    /// Milliseconds that it waited for steps.
    pub idle_ms: u64,
}

/// A running trainer. `GET /` gives its [`Report`].
#[derive(Debug)]
pub struct Trainer {
    server: Server,
    stopping: Arc<AtomicBool>,
}

impl Trainer {
    /// Starts a trainer that gets steps from `url` and works `step` on each.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen or start a thread.
    pub fn start(listen: SocketAddr, url: &str, step: Duration) -> io::Result<Self> {
        let report = Arc::new(Mutex::new(Report::default()));
        let stopping = Arc::new(AtomicBool::new(false));
        let (shared, ended, url) = (Arc::clone(&report), Arc::clone(&stopping), url.to_owned());
        thread::Builder::new()
            .name("trainer".to_owned())
            .spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    pull(&url, step, &shared);
                }
            })?;
        let server = Server::start(listen, move |exchange| {
            let report = *report.lock().unwrap_or_else(PoisonError::into_inner);
            exchange.answer(200, &report);
        })?;
        Ok(Self { server, stopping })
    }

    /// Returns where it listens.
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

fn pull(url: &str, step: Duration, report: &Mutex<Report>) {
    let start = Instant::now();
    let call = ureq::get(url)
        .config()
        .timeout_global(Some(PATIENCE))
        .build();
    let pulled = call
        .call()
        .and_then(|mut answer| answer.body_mut().read_to_vec());
    let idle = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    {
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.idle_ms += idle;
        match pulled {
            Ok(_) => report.steps += 1,
            Err(_) => report.failures += 1,
        }
    }
    thread::sleep(if pulled.is_ok() { step } else { PAUSE });
}
