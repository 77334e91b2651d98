//! The receiver of usage reports, which checks fencing tokens and the reports' consistency.

use crate::{
    http::{ANY_LOOPBACK_PORT, Exchange, Server},
    relay::Relay,
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// How the receiver answers a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReplyMode {
    /// Reports are accepted and acknowledged.
    #[default]
    Normal,
    /// Every call is refused with status 429.
    Busy,
    /// Reports are accepted, but the connection closes without an answer.
    LostAnswer,
    /// Like `LostAnswer`, but reports are accepted only after this delay.
    Delayed(Duration),
}

/// An accepted report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The lease holder that sent it.
    pub holder: String,
    /// The holder's fencing token.
    pub fence: u64,
    /// The number of the reported window.
    pub window: u64,
    /// Request counts by client account.
    pub counts: BTreeMap<String, u64>,
    /// When it was accepted.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    reply_mode: ReplyMode,
    checks_fence: bool,
    accepted: Vec<Report>,
    refused: u32,
}

/// A receiver of usage reports on a free port.
#[derive(Debug)]
pub struct Billing {
    server: Server,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Deserialize)]
struct WireReport {
    window: u64,
    counts: BTreeMap<String, u64>,
}

impl Billing {
    /// Starts a receiver; `checks_fence` says whether it refuses outdated fencing tokens.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(checks_fence: bool) -> io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner {
            checks_fence,
            ..Inner::default()
        }));
        let serving = Arc::clone(&inner);
        let server = Server::start(ANY_LOOPBACK_PORT, move |exchange| serve(&serving, exchange))?;
        Ok(Self { server, inner })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the relay in front of the server.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        self.server.relay()
    }

    /// Sets how later reports are answered.
    pub fn set_reply_mode(&self, mode: ReplyMode) {
        lock(&self.inner).reply_mode = mode;
    }

    /// Returns all accepted reports, including duplicates.
    #[must_use]
    pub fn accepted_reports(&self) -> Vec<Report> {
        lock(&self.inner).accepted.clone()
    }

    /// Returns how many reports were refused for an outdated fencing token.
    #[must_use]
    pub fn refused(&self) -> u32 {
        lock(&self.inner).refused
    }

    /// Returns the sum over all windows by client account, counting each window once.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, u64> {
        let windows: BTreeMap<u64, _> = self
            .accepted_reports()
            .into_iter()
            .map(|report| (report.window, report.counts))
            .collect();
        let mut totals = BTreeMap::new();
        for (account, count) in windows.into_values().flatten() {
            *totals.entry(account).or_default() += count;
        }
        totals
    }

    /// Lists violations of the reporting protocol.
    ///
    /// A holder that lost the lease to another must not report again within `min_gap`.
    #[must_use]
    pub fn violations(&self, min_gap: Duration) -> Vec<String> {
        let inner = lock(&self.inner);
        let mut violations = Vec::new();
        let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest = 0;
        for report in &inner.accepted {
            let first = windows.entry(report.window).or_insert(report);
            if first.counts != report.counts {
                violations.push(format!("two reports of window {} differ", report.window));
            }
            let holder = holders.entry(report.fence).or_insert(&report.holder);
            if *holder != report.holder {
                violations.push(format!("two holders with number {}", report.fence));
            }
            if report.fence < highest {
                violations.push(format!("number {} after {highest}", report.fence));
            }
            highest = highest.max(report.fence);
        }
        violations.extend(premature_returns(&inner.accepted, min_gap));
        violations
    }
}

/// Lists reports whose holder had reported within `min_gap`, with another holder in between.
fn premature_returns(reports: &[Report], min_gap: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    for (index, last) in reports.iter().enumerate() {
        let is_recent = |report: &&Report| last.at.saturating_duration_since(report.at) < min_gap;
        let recent: Vec<&Report> = reports[..index]
            .iter()
            .rev()
            .take_while(is_recent)
            .collect();
        let other = recent.iter().position(|r| r.holder != last.holder);
        let returned = other.is_some_and(|at| recent[at..].iter().any(|r| r.holder == last.holder));
        if returned {
            violations.push(format!("{} took a turn again too soon", last.holder));
        }
    }
    violations
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(inner: &Arc<Mutex<Inner>>, mut exchange: Exchange) {
    let holder = exchange.header("X-Lease-Holder").map(str::to_owned);
    let fence = exchange
        .header("X-Fencing-Token")
        .and_then(|fence| fence.parse().ok());
    let path = exchange.path().to_owned();
    let (Some((holder, fence)), Ok(report)) = (holder.zip(fence), exchange.json::<WireReport>())
    else {
        return exchange.refuse(400, "not a report");
    };
    if path != "/usage" {
        return exchange.refuse(404, "another path");
    }
    let report = Report {
        holder,
        fence,
        window: report.window,
        counts: report.counts,
        at: Instant::now(),
    };
    let mode = lock(inner).reply_mode;
    match mode {
        ReplyMode::Busy => exchange.refuse(429, "busy"),
        ReplyMode::LostAnswer => {
            accept(inner, report);
            exchange.cut();
        }
        ReplyMode::Delayed(delay) => {
            let inner = Arc::clone(inner);
            thread::spawn(move || {
                thread::sleep(delay);
                let at = Instant::now();
                accept(&inner, Report { at, ..report });
            });
            exchange.cut();
        }
        ReplyMode::Normal => {
            if accept(inner, report) {
                exchange.answer(200, &json!({}));
            } else {
                exchange.refuse(409, "a higher number was seen");
            }
        }
    }
}

/// Records a report and returns true, unless its fencing token is outdated.
fn accept(inner: &Mutex<Inner>, report: Report) -> bool {
    let mut inner = lock(inner);
    let highest = inner.accepted.iter().map(|report| report.fence).max();
    if inner.checks_fence && highest.is_some_and(|highest| report.fence < highest) {
        inner.refused += 1;
        return false;
    }
    inner.accepted.push(report);
    true
}
