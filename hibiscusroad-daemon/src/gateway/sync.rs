//! Keeps this process up to date from the store.
//!
//! One task a table: it reads the table whole, then waits for changes from the
//! version of that read on. A wait that isn't answered within its time limit is
//! given up together with its connection, which is how a connection that went
//! silent shows; the next wait goes on from the same version, so nothing is
//! missed. A history that is gone, or a table that was read while the store was
//! away, is read whole again.

use super::{calls::Calls, failure::Failure, known::Known, meters::Meters, store::Store};
use crate::{
    logs::{CONFIG, HOSTS, STORE},
    platform::Backoff,
};
use hibiscusroad::{
    roster::{Endpoint, EndpointChange, Roster},
    table::{Changes, Range, Row},
};
use hibiscusroad_platform::{catalog, roster, table};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, sleep_until},
};

/// How long the store may keep a wait: a connection that went silent shows
/// before a change on it would be late beyond what the operator allows for.
const WAIT: Duration = Duration::from_secs(2);
/// First and longest pause after a failed call: a store that is back is noticed
/// well within the second, and 360 processes make 900 calls a second at most.
const PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// What a table's rows go to.
pub(super) struct Sink {
    /// The table.
    pub(super) table: &'static str,
    /// Its parts, all of which are read.
    pub(super) parts: Vec<String>,
    /// Takes all rows there are.
    pub(super) replace: Box<dyn Fn(Vec<Row>)>,
    /// Takes changes.
    pub(super) change: Box<dyn Fn(Changes)>,
    /// Called with each answer of the store.
    pub(super) confirm: Box<dyn Fn()>,
}

/// Follows a table for as long as the process runs.
pub(super) async fn follow(store: Rc<Store>, sink: Sink) {
    let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
    let mut version = None;
    loop {
        let step = match version {
            None => read(&store, &sink).await.map(Some),
            Some(after) => wait(&store, &sink, after).await,
        };
        match step {
            Ok(next) => {
                backoff.reset();
                version = next;
            }
            Err(failure) => {
                log::debug!(target: STORE, table = sink.table, error = failure.to_string().as_str();
                    "A table could not be followed.");
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }
}

async fn read(store: &Store, sink: &Sink) -> Result<u64, Failure> {
    let mut rows = Vec::new();
    let mut version = u64::MAX;
    for part in &sink.parts {
        let page = store.read_whole(&Range::part(sink.table, part)).await?;
        version = version.min(page.version);
        rows.extend(page.rows);
    }
    (sink.replace)(rows);
    (sink.confirm)();
    Ok(version)
}

async fn wait(store: &Store, sink: &Sink, after: u64) -> Result<Option<u64>, Failure> {
    let Some(changes) = store.feed(sink.table, after, WAIT).await? else {
        log::info!(target: STORE, table = sink.table, after = after;
            "The history is gone; the table is read again.");
        return Ok(None);
    };
    let version = changes.version.max(after);
    if !changes.rows.is_empty() || !changes.removed.is_empty() {
        (sink.change)(changes);
    }
    (sink.confirm)();
    Ok(Some(version))
}

/// Builds the sink of the operator's rows.
pub(super) fn operator(known: Rc<Known>, calls: Rc<Calls>, act: impl Fn() + 'static) -> Sink {
    let take = Rc::new({
        let known = Rc::clone(&known);
        move |rows: Vec<Row>| {
            for row in rows {
                operator_row(&known, &calls, &row);
            }
            act();
        }
    });
    let all = Rc::clone(&take);
    Sink {
        table: table::OPERATOR_TABLE,
        parts: vec![String::new()],
        replace: Box::new(move |rows| all(rows)),
        change: Box::new(move |changes| take(changes.rows)),
        confirm: Box::new(move || known.confirm(Instant::now())),
    }
}

/// Takes in a row of the operator's.
pub(super) fn operator_row(known: &Known, calls: &Calls, row: &Row) {
    let key = row.id.key.as_str();
    if key == table::CONFIG_KEY {
        match catalog::decode_catalog(&row.value) {
            Ok(catalog) => {
                calls.configure(&catalog);
                let (version, shared) = (catalog.version, catalog.shared_key_count());
                let before = known.catalog().map_or(0, |known| known.version);
                if known.offer(catalog) {
                    log::info!(target: CONFIG, version = version, from = before, row = row.version;
                        "A configuration is in force.");
                    if shared > 0 {
                        log::warn!(target: CONFIG, version = version, keys = shared;
                            "Keys that several accounts hold prove none of them.");
                    }
                }
            }
            Err(error) => log::error!(target: CONFIG, row = row.version,
                error = error.to_string().as_str();
                "A configuration is broken; the one before stays in force."),
        }
    } else if key.starts_with(table::VERSION_PREFIX) {
        match catalog::decode_version(&row.value) {
            Ok(named) => {
                if known.name(&named.model, named.version) {
                    log::info!(target: CONFIG, model = named.model.as_str(),
                        version = named.version; "A weight version was named.");
                }
            }
            Err(error) => log::error!(target: CONFIG, key = key,
                error = error.to_string().as_str(); "A weight version is broken; it is ignored."),
        }
    }
}

/// Takes in changes of the roster.
type Hearer = Box<dyn Fn(&[EndpointChange])>;

/// The roster and those who hear of its changes.
pub(super) struct Members {
    roster: RefCell<Roster>,
    /// Entries that could not be understood, and the versions of their rows.
    broken: RefCell<HashMap<String, u64>>,
    meters: Rc<Meters>,
    lapsing: Notify,
    hear: Hearer,
}

impl Members {
    pub(super) fn new(meters: Rc<Meters>, hear: impl Fn(&[EndpointChange]) + 'static) -> Self {
        Self {
            roster: RefCell::new(Roster::new()),
            broken: RefCell::default(),
            meters,
            lapsing: Notify::new(),
            hear: Box::new(hear),
        }
    }

    /// Notes that the store answers again.
    pub(super) fn store_back(&self) {
        self.roster.borrow_mut().record_recovery(Instant::now());
    }

    /// Returns the endpoint of an id.
    pub(super) fn get(&self, id: &str) -> Option<Endpoint> {
        self.roster.borrow().get(id).cloned()
    }

    /// Returns all endpoints of a service.
    pub(super) fn of(&self, service: &str) -> Vec<Endpoint> {
        let roster = self.roster.borrow();
        let found = roster.iter().filter(|e| e.service == service);
        found.cloned().collect()
    }

    /// Drops entries that were missing for too long, when it is time.
    pub(super) async fn run(&self) {
        loop {
            let due = self.roster.borrow().next_due();
            match due {
                Some(due) => sleep_until(due.into()).await,
                None => self.lapsing.notified().await,
            }
            let news = self.roster.borrow_mut().expire(Instant::now());
            self.tell(&news);
        }
    }

    fn tell(&self, news: &[EndpointChange]) {
        for news in news {
            match news {
                EndpointChange::Updated(e) => log::info!(target: HOSTS, endpoint = e.id.as_str(),
                    service = e.service.as_str(), leaving = e.leaving; "An endpoint is known."),
                EndpointChange::Removed(id) => log::info!(target: HOSTS, endpoint = id.as_str();
                    "An endpoint is gone."),
            }
        }
        if !news.is_empty() {
            (self.hear)(news);
        }
    }
}

/// Builds the sink of the endpoints' own entries; `confirm` is called with each answer.
pub(super) fn endpoints(members: Rc<Members>, confirm: impl Fn() + 'static) -> Sink {
    let all = Rc::clone(&members);
    Sink {
        table: table::ENDPOINTS_TABLE,
        parts: vec![String::new()],
        replace: Box::new(move |rows| {
            let found = rows.iter().filter_map(|row| all.understood(row)).collect();
            let news = all.roster.borrow_mut().replace(Instant::now(), found);
            all.tell(&news);
            all.lapsing.notify_one();
        }),
        change: Box::new(move |changes| {
            let now = Instant::now();
            let mut news = Vec::new();
            for id in &changes.removed {
                news.extend(members.roster.borrow_mut().remove(now, &id.key));
            }
            for row in &changes.rows {
                let mut roster = members.roster.borrow_mut();
                match members.understood(row) {
                    Some(endpoint) => news.extend(roster.update(endpoint)),
                    // It names no endpoint any more, as if it were not there.
                    None => news.extend(roster.remove(now, &row.id.key)),
                }
            }
            members.tell(&news);
            members.lapsing.notify_one();
        }),
        confirm: Box::new(confirm),
    }
}

impl Members {
    /// Understands an entry. One that no endpoint has written is told once for each
    /// time that it changes, and counted.
    fn understood(&self, row: &Row) -> Option<Endpoint> {
        let key = row.id.key.as_str();
        let error = match roster::decode_endpoint(key, &row.value) {
            Ok(endpoint) => {
                self.broken.borrow_mut().remove(key);
                return Some(endpoint);
            }
            Err(error) => error.to_string(),
        };
        let told = self.broken.borrow_mut().insert(key.to_owned(), row.version);
        if told != Some(row.version) {
            self.meters.broken_entries.inc();
            log::warn!(target: HOSTS, endpoint = key, row = row.version, error = error.as_str();
                "An endpoint's entry is broken; it names none.");
        }
        None
    }
}
