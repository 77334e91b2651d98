//! Who takes reports of usage: checks fencing tokens and judges what holders send.

use crate::{
    http::{Exchange, FREE, Server},
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

/// How it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reply {
    /// As it should.
    #[default]
    Sound,
    /// It refuses every call.
    Busy,
    /// It takes calls and gives no answer.
    Lost,
    /// It takes calls so much later, and gives no answer.
    Late(Duration),
}

/// A report that was taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Who sent it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// The window.
    pub window: u64,
    /// Requests by account.
    pub counts: BTreeMap<String, u64>,
    /// When it was taken.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    reply: Reply,
    checks: bool,
    taken: Vec<Report>,
    fenced: u32,
}

/// The platform's side of usage reports, on a free port.
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
    /// Starts one that checks fencing tokens, or doesn't.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub fn start(checks: bool) -> io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner {
            checks,
            ..Inner::default()
        }));
        let serving = Arc::clone(&inner);
        let server = Server::start(FREE, move |exchange| serve(&serving, exchange))?;
        Ok(Self { server, inner })
    }

    /// Returns where it is.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the relay that its callers come through.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        self.server.relay()
    }

    /// Sets how it answers from now on.
    pub fn reply(&self, reply: Reply) {
        lock(&self.inner).reply = reply;
    }

    /// Returns all reports that were taken, repeats as well.
    #[must_use]
    pub fn taken(&self) -> Vec<Report> {
        lock(&self.inner).taken.clone()
    }

    /// Returns how many calls were refused for their fencing token.
    #[must_use]
    pub fn fenced(&self) -> u32 {
        lock(&self.inner).fenced
    }

    /// Adds up all windows by account.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, u64> {
        let windows: BTreeMap<u64, _> = self
            .taken()
            .into_iter()
            .map(|report| (report.window, report.counts))
            .collect();
        let mut totals = BTreeMap::new();
        for (account, count) in windows.into_values().flatten() {
            *totals.entry(account).or_default() += count;
        }
        totals
    }

    /// Lists which promises to the platform were broken; holders must be `apart`.
    #[must_use]
    pub fn broken(&self, apart: Duration) -> Vec<String> {
        let inner = lock(&self.inner);
        let mut found = Vec::new();
        let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest = 0;
        for report in &inner.taken {
            let first = windows.entry(report.window).or_insert(report);
            if first.counts != report.counts {
                found.push(format!("two reports of window {} differ", report.window));
            }
            let holder = holders.entry(report.fence).or_insert(&report.holder);
            if *holder != report.holder {
                found.push(format!("two holders with number {}", report.fence));
            }
            if report.fence < highest {
                found.push(format!("number {} after {highest}", report.fence));
            }
            highest = highest.max(report.fence);
        }
        found.extend(turns(&inner.taken, apart));
        found
    }
}

/// Lists where a holder calls again within a time in which another called.
fn turns(taken: &[Report], apart: Duration) -> Vec<String> {
    let mut found = Vec::new();
    for (n, last) in taken.iter().enumerate() {
        let within = |report: &&Report| last.at.saturating_duration_since(report.at) < apart;
        let before: Vec<&Report> = taken[..n].iter().rev().take_while(within).collect();
        let other = before.iter().position(|r| r.holder != last.holder);
        let again = other.is_some_and(|at| before[at..].iter().any(|r| r.holder == last.holder));
        if again {
            found.push(format!("{} took a turn again too soon", last.holder));
        }
    }
    found
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
    let reply = lock(inner).reply;
    match reply {
        Reply::Busy => exchange.refuse(429, "busy"),
        Reply::Lost => {
            take(inner, report);
            exchange.cut();
        }
        Reply::Late(after) => {
            let inner = Arc::clone(inner);
            thread::spawn(move || {
                thread::sleep(after);
                let at = Instant::now();
                take(&inner, Report { at, ..report });
            });
            exchange.cut();
        }
        Reply::Sound => {
            if take(inner, report) {
                exchange.answer(200, &json!({}));
            } else {
                exchange.refuse(409, "a higher number was seen");
            }
        }
    }
}

/// Takes a report in, unless its number is too low; says whether it did.
fn take(inner: &Mutex<Inner>, report: Report) -> bool {
    let mut inner = lock(inner);
    let highest = inner.taken.iter().map(|taken| taken.fence).max();
    if inner.checks && highest.is_some_and(|highest| report.fence < highest) {
        inner.fenced += 1;
        return false;
    }
    inner.taken.push(report);
    true
}
