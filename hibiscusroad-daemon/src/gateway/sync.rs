//! Follows tables of the store.
//!
//! One task per table reads the whole table and then waits for changes since the
//! version of that read. A wait that times out is abandoned with its connection,
//! which may have gone silent; the next wait starts at the same version, so no
//! change is missed. If the store no longer has the history since that version, the
//! whole table is read again.

use super::{
    calls::Calls, data_centres::DataCentres, failure::Failure, known_config::KnownConfig,
    meters::Meters, store::Store,
};
use crate::{
    logs::{CONFIG, HOSTS, STORE},
    platform::Backoff,
};
use hibiscusroad::{
    change_pacing::ChangePacing,
    clock::millis,
    roster::{Endpoint, EndpointChange, Roster},
    table::{Changes, Range, Row},
};
use hibiscusroad_platform::{catalog, roster, table};
use std::{
    cell::{Cell, RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, sleep_until},
};

/// How long the store may hold a wait open without changes; bounds how long a
/// silent connection delays a change.
const FEED_WAIT: Duration = Duration::from_secs(2);
/// Time between two answers after which changes are logged as late.
const LATE_ANSWER: Duration = Duration::from_millis(2_300);
/// First and longest delay of the backoff after a failed call. A store that is back is noticed
/// within a second, and 360 processes make at most 900 calls a second meanwhile.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Receives the rows and changes of a table.
pub(super) struct Sink {
    /// Name of the table.
    pub(super) table: &'static str,
    /// Parts of the table to read.
    pub(super) parts: Vec<String>,
    /// Called with all rows and their version after a full read.
    pub(super) replace: Box<dyn Fn(Vec<Row>, u64)>,
    /// Called with changes since the last call.
    pub(super) change: Box<dyn Fn(Changes)>,
    /// Called after each answer of the store.
    pub(super) confirm: Box<dyn Fn()>,
    /// Returns how long to wait after changes before the next ones are requested.
    pub(super) pause: Box<dyn Fn() -> Duration>,
    /// The version up to which changes were received, once the table was read.
    pub(super) position: Position,
}

/// The version up to which the changes of a table were received, if it was read.
pub(super) type Position = Rc<Cell<Option<u64>>>;

/// Follows a table until the process ends.
pub(super) async fn follow(store: Rc<Store>, sink: Rc<Sink>) {
    let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
    let mut answered_at: Option<Instant> = None;
    loop {
        let step = match sink.position.get() {
            None => read_table(&store, &sink).await.map(Some),
            Some(after) => wait_for_changes(&store, &sink, after).await,
        };
        match step {
            Ok(next) => {
                backoff.reset();
                sink.position.set(next);
                let now = Instant::now();
                let gap =
                    answered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
                if gap > LATE_ANSWER {
                    log::info!(target: STORE, table = sink.table, gap_ms = millis(gap);
                        "Changes of a table may be late: the store gave no answer for a while.");
                }
                answered_at = Some(now);
            }
            Err(failure) => {
                log::debug!(target: STORE, table = sink.table, error = failure.to_string().as_str();
                    "Reading the changes of a table failed.");
                sleep(backoff.next_wait(&mut rand::rng())).await;
            }
        }
    }
}

/// Reads all rows of a table and returns the version to follow it from.
///
/// Most parts of a table may be empty, and all processes read it after a common start, so only
/// parts that have rows are read. The first part is read before they are listed: the feed from
/// that version has all rows that parts get after the listing.
async fn read_table(store: &Store, sink: &Sink) -> Result<u64, Failure> {
    let mut rows = Vec::new();
    let mut version = u64::MAX;
    let mut read = async |part: &str| {
        let page = store.read_whole(&Range::part(sink.table, part)).await?;
        version = version.min(page.version);
        rows.extend(page.rows);
        Ok::<_, Failure>(())
    };
    if let Some((first, others)) = sink.parts.split_first() {
        read(first).await?;
        for part in filled_parts(store, sink.table, others).await? {
            read(part).await?;
        }
    }
    (sink.replace)(rows, version);
    (sink.confirm)();
    Ok(version)
}

/// Returns those parts of a table that have rows.
async fn filled_parts<'a>(
    store: &Store,
    table: &str,
    parts: &'a [String],
) -> Result<Vec<&'a String>, Failure> {
    if parts.is_empty() {
        return Ok(Vec::new());
    }
    let filled = store.parts(table).await?;
    Ok(parts.iter().filter(|part| filled.contains(part)).collect())
}

async fn wait_for_changes(store: &Store, sink: &Sink, after: u64) -> Result<Option<u64>, Failure> {
    let Some(changes) = store.feed(sink.table, after, FEED_WAIT).await? else {
        log::info!(target: STORE, table = sink.table, after = after;
            "The history of a table was discarded; the whole table is read again.");
        return Ok(None);
    };
    let version = changes.version().max(after);
    let has_changes = !changes.is_empty();
    if has_changes {
        (sink.change)(changes);
    }
    (sink.confirm)();
    if has_changes {
        sleep((sink.pause)()).await;
    }
    Ok(Some(version))
}

/// Builds the sink of the operator's table; `on_change` is called after each change.
pub(super) fn operator_sink(
    known: Rc<KnownConfig>,
    calls: Rc<Calls>,
    members: Rc<EndpointRoster>,
    position: Position,
    on_change: impl Fn() + 'static,
) -> Sink {
    let apply = Rc::new({
        let known = Rc::clone(&known);
        move |rows: &[Row]| {
            for row in rows {
                apply_operator_row(&known, &calls, row);
            }
            on_change();
        }
    });
    let replace = Rc::clone(&apply);
    let all = Rc::clone(&members);
    Sink {
        table: table::OPERATOR_TABLE,
        parts: vec![String::new()],
        replace: Box::new(move |rows, version| {
            all.replace_evacuations(version, &rows);
            replace(&rows);
        }),
        change: Box::new(move |changes| {
            members.update_evacuations(&changes);
            apply(changes.written());
        }),
        confirm: Box::new(move || known.confirm(Instant::now())),
        pause: Box::new(|| Duration::ZERO),
        position,
    }
}

/// Applies a row of the operator's table.
pub(super) fn apply_operator_row(known: &KnownConfig, calls: &Calls, row: &Row) {
    let key = row.id.key.as_str();
    if key == table::CONFIG_KEY {
        match catalog::decode_catalog(&row.value) {
            Ok(catalog) => {
                calls.configure(&catalog);
                let (version, shared) = (catalog.version, catalog.shared_key_count());
                let previous = known.catalog().map_or(0, |catalog| catalog.version);
                if known.update_catalog(catalog) {
                    log::info!(target: CONFIG, version = version, from = previous, row = row.version;
                        "A configuration is in force.");
                    if shared > 0 {
                        log::warn!(target: CONFIG, version = version, keys = shared;
                            "Keys that several accounts hold prove none of them.");
                    }
                }
            }
            Err(error) => log::error!(target: CONFIG, row = row.version,
                error = error.to_string().as_str();
                "A configuration is broken; the previous one stays in force."),
        }
    } else if key.starts_with(table::VERSION_PREFIX) {
        match catalog::decode_version(&row.value) {
            Ok(named) => {
                if known.name_version(&named.model, named.version) {
                    log::info!(target: CONFIG, model = named.model.as_str(),
                        version = named.version; "A weight version was named.");
                }
            }
            Err(error) => log::error!(target: CONFIG, key = key,
                error = error.to_string().as_str(); "A weight version is broken; it is ignored."),
        }
    }
}

/// Called with changes of the roster.
type RosterListener = Box<dyn Fn(&[EndpointChange])>;

/// The roster of endpoints and the listener for its changes.
pub(super) struct EndpointRoster {
    roster: RefCell<Roster>,
    /// Keys of entries that could not be decoded, with the versions of their rows.
    broken: RefCell<HashMap<String, u64>>,
    meters: Rc<Meters>,
    data_centres: Rc<DataCentres>,
    /// Notified when the time of the next expiry may have changed.
    expiry_changed: Notify,
    on_change: RosterListener,
}

impl EndpointRoster {
    pub(super) fn new(
        meters: Rc<Meters>,
        data_centres: Rc<DataCentres>,
        on_change: impl Fn(&[EndpointChange]) + 'static,
    ) -> Self {
        Self {
            roster: RefCell::new(Roster::new()),
            broken: RefCell::default(),
            meters,
            data_centres,
            expiry_changed: Notify::new(),
            on_change: Box::new(on_change),
        }
    }

    /// Records that the store answers again.
    pub(super) fn record_recovery(&self) {
        self.roster.borrow_mut().record_recovery(Instant::now());
    }

    /// Returns the endpoint with an id.
    pub(super) fn get(&self, id: &str) -> Option<Endpoint> {
        self.roster.borrow().get(id).cloned()
    }

    /// Returns all endpoints of a service.
    pub(super) fn in_service(&self, service: &str) -> Vec<Endpoint> {
        let roster = self.roster.borrow();
        let found = roster.iter().filter(|e| e.service == service);
        found.cloned().collect()
    }

    /// Returns how many endpoints meet a condition.
    pub(super) fn count(&self, condition: impl Fn(&Endpoint) -> bool) -> usize {
        let roster = self.roster.borrow();
        roster.iter().filter(|endpoint| condition(endpoint)).count()
    }

    /// Returns whether endpoints are reported, since the evacuations are known.
    pub(super) fn is_reporting(&self) -> bool {
        self.roster.borrow().is_reporting()
    }

    pub(super) fn roster_mut(&self) -> RefMut<'_, Roster> {
        self.roster.borrow_mut()
    }

    pub(super) const fn data_centres(&self) -> &Rc<DataCentres> {
        &self.data_centres
    }

    /// Expires entries that have been missing for too long.
    pub(super) async fn run_expiry(&self) {
        loop {
            let due = self.roster.borrow().next_due();
            match due {
                Some(due) => sleep_until(due.into()).await,
                None => self.expiry_changed.notified().await,
            }
            let changes = self.roster.borrow_mut().expire(Instant::now());
            self.publish(&changes, None);
        }
    }

    /// Logs changes and passes them to the listener. `answer` is the version of the store's answer
    /// that has them.
    pub(super) fn publish(&self, changes: &[EndpointChange], answer: Option<u64>) {
        for change in changes {
            match change {
                EndpointChange::Updated(e) => log::info!(target: HOSTS, endpoint = e.id.as_str(),
                    service = e.service.as_str(), leaving = e.leaving, evacuated = e.evacuated,
                    answer = answer; "An endpoint is known."),
                EndpointChange::Removed(id) => log::info!(target: HOSTS, endpoint = id.as_str(),
                    answer = answer; "An endpoint is gone."),
            }
        }
        self.publish_marked(changes);
    }

    /// Removes an entry, and logs if its endpoint is kept for a while.
    fn remove(&self, now: Instant, id: &str, answer: u64) -> Option<EndpointChange> {
        let change = self.roster.borrow_mut().remove(now, id);
        if let Some(until) = self.roster.borrow().kept_until(id) {
            log::info!(target: HOSTS, endpoint = id, answer = answer,
                left_ms = millis(until.saturating_duration_since(now));
                "The entry of an endpoint is missing; the endpoint is kept after an outage of the store.");
        }
        change
    }

    /// Passes changes to the listener that were logged as a whole.
    pub(super) fn publish_marked(&self, changes: &[EndpointChange]) {
        if !changes.is_empty() {
            (self.on_change)(changes);
        }
    }
}

/// Builds the sink of the table of endpoints; `confirm` is called after each answer, and
/// `needs_each_change` tells whether changes must not wait, as at a process that starts
/// items or loads at engines.
pub(super) fn endpoints_sink(
    members: Rc<EndpointRoster>,
    confirm: impl Fn() + 'static,
    needs_each_change: impl Fn() -> bool + 'static,
) -> Sink {
    let pacing = Cell::new(ChangePacing::new(Instant::now()));
    let all = Rc::clone(&members);
    Sink {
        table: table::ENDPOINTS_TABLE,
        parts: vec![String::new()],
        replace: Box::new(move |rows, version| {
            let endpoints = rows.iter().filter_map(|row| all.decode(row)).collect();
            let changes = all.roster.borrow_mut().replace(Instant::now(), endpoints);
            let kept = all.roster.borrow().kept_count();
            if kept > 0 {
                log::info!(target: HOSTS, endpoints = kept, answer = version;
                    "Endpoints whose entries are missing are kept after an outage of the store.");
            }
            all.publish(&changes, Some(version));
            all.expiry_changed.notify_one();
        }),
        change: Box::new(move |changes| {
            let now = Instant::now();
            let mut published = Vec::new();
            let answer = changes.version();
            for id in changes.removed() {
                published.extend(members.remove(now, &id.key, answer));
            }
            for row in changes.written() {
                match members.decode(row) {
                    Some(endpoint) => {
                        published.extend(members.roster.borrow_mut().update(endpoint));
                    }
                    // A broken entry counts as removed.
                    None => published.extend(members.remove(now, &row.id.key, answer)),
                }
            }
            members.publish(&published, Some(answer));
            members.expiry_changed.notify_one();
        }),
        confirm: Box::new(confirm),
        pause: Box::new(move || {
            if needs_each_change() {
                return Duration::ZERO;
            }
            let mut next = pacing.get();
            let pause = next.record_delivery(Instant::now());
            pacing.set(next);
            pause
        }),
        position: Position::default(),
    }
}

impl EndpointRoster {
    /// Decodes an entry. A broken one is logged and counted once per version.
    fn decode(&self, row: &Row) -> Option<Endpoint> {
        let key = row.id.key.as_str();
        let error = match roster::decode_endpoint(key, &row.value) {
            Ok(endpoint) => {
                self.broken.borrow_mut().remove(key);
                return Some(endpoint);
            }
            Err(error) => error.to_string(),
        };
        if self.is_new_broken(key, row.version) {
            self.meters.broken_entries.inc();
            log::warn!(target: HOSTS, endpoint = key, row = row.version, error = error.as_str();
                "An endpoint's entry is broken; it is ignored.");
        }
        None
    }

    /// Records a row that can't be decoded; returns whether this version of it is new.
    pub(super) fn is_new_broken(&self, key: &str, version: u64) -> bool {
        let previous = self.broken.borrow_mut().insert(key.to_owned(), version);
        previous != Some(version)
    }
}
