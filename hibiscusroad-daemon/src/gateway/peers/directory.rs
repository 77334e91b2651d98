//! Discovery of peers by the rows that all gateways write to the store.
//!
//! A gateway writes its row when it starts, and renews it now and then. The rows are spread
//! over parts, which are read in turn: the larger they are the less often, so that a gateway
//! reads about as much whatever the number of its peers. Rows of gateways that ended stay
//! for a while; a call to one of them costs a short connection attempt.

use crate::{
    gateway::{failure::Failure, store::Store, times::Times},
    logs::STORE,
    settings::Settings,
};
use hibiscusroad::{
    clock::millis,
    rollout::{
        presence::Member,
        row::{MEMBER_PARTS, MEMBERS, Presence, ROW_FORM},
    },
    table::{Change, Page, Range, Row},
    topology::Topology,
};
use hibiscusroad_platform::table::MAX_ENTRIES;
use serde::de::DeserializeOwned;
use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Time between two renewals of a row, which also carries the clock offset of its host.
pub(in crate::gateway) const RENEWAL_INTERVAL: Duration = Duration::from_mins(1);
/// Age from which a row is ignored: its gateway has missed three renewals.
const MAX_ROW_AGE: Duration = RENEWAL_INTERVAL.saturating_mul(4);
/// Delay of the first read, and after a failed one. Gateways that start at the same time have
/// written their rows by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(2_500);
/// Least time between two reads of parts.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(7_500);
/// Time between two reads for each row of a part. Rows have some 200 bytes.
const READ_INTERVAL_PER_ROW: Duration = Duration::from_millis(50);

/// This process among its peers.
#[derive(Clone)]
pub(in crate::gateway) struct Directory {
    /// The name of this process.
    pub(in crate::gateway) name: String,
    /// The address at which it serves peers, if it does.
    pub(in crate::gateway) address: Option<SocketAddr>,
    /// The clocks of the other gateways.
    pub(in crate::gateway) times: Times,
    topology: Topology,
    /// The other gateways, by part.
    others: Rc<RefCell<BTreeMap<String, Vec<Presence>>>>,
}

impl Directory {
    pub(in crate::gateway) fn new(
        settings: &Settings,
        address: Option<SocketAddr>,
        times: Times,
    ) -> Self {
        Self {
            name: settings.name.clone(),
            address,
            times,
            topology: settings.topology(),
            others: Rc::default(),
        }
    }

    /// Reads the rows of one part. Updates the peers and their clock offsets, and returns the
    /// gateways with rows there.
    pub(in crate::gateway) async fn read_part(
        &self,
        store: &Store,
        part: &str,
    ) -> Result<Vec<Member>, Failure> {
        let page = store.read_whole(&Range::part(MEMBERS, part)).await?;
        let current = decode_current(&page);
        remove_stale(store, &page, &current).await;
        let others = current.iter().filter(|(name, _)| *name != self.name);
        let others = others.map(|(_, presence)| presence.clone()).collect();
        self.others.borrow_mut().insert(part.to_owned(), others);
        self.apply(store);
        let members = current.into_iter().map(|(name, presence)| Member {
            name,
            incarnation: presence.incarnation,
            memory: presence.memory,
            region: presence.region,
        });
        Ok(members.collect())
    }

    fn apply(&self, store: &Store) {
        let parts = self.others.borrow();
        let others = || parts.values().flatten();
        // What is on its way to the store must not pass another region, which may not be allowed
        // to hold it.
        let region = self.topology.own_region_name();
        let is_near = |presence: &&Presence| {
            !self.topology.is_divided() || presence.region.as_deref() == Some(region)
        };
        let addresses = others()
            .filter(is_near)
            .filter_map(|presence| presence.peer);
        let peers = addresses.filter(|address| Some(*address) != self.address);
        store.set_peers(peers.collect());
        let offsets = others().filter_map(|presence| presence.offset);
        self.times.set_offsets(offsets.collect());
        let is_complete = member_parts().all(|part| parts.contains_key(&part));
        let oldest = others().map(|presence| presence.row_form).min();
        let form = oldest.map_or(ROW_FORM, |oldest| oldest.min(ROW_FORM));
        store.set_row_form(if is_complete { form } else { 0 });
    }
}

/// Returns the parts over which the rows of gateways are spread.
pub(in crate::gateway) fn member_parts() -> impl Iterator<Item = String> {
    (0..MEMBER_PARTS).map(|part| part.to_string())
}

/// Decodes the rows that were renewed recently, with the names of their gateways.
fn decode_current(page: &Page) -> Vec<(String, Presence)> {
    let oldest = millis(page.now.saturating_sub(MAX_ROW_AGE));
    let decoded = page.rows.iter().filter_map(|row| {
        let presence: Presence = decode_process(row)?;
        (presence.renewed >= oldest).then(|| (row.id.key.clone(), presence))
    });
    decoded.collect()
}

/// Removes rows whose gateways have ended without removing them, and broken ones. A row that
/// was renewed meanwhile stays, since its version has changed.
async fn remove_stale(store: &Store, page: &Page, current: &[(String, Presence)]) {
    let current: HashSet<&str> = current.iter().map(|(name, _)| name.as_str()).collect();
    let stale = page
        .rows
        .iter()
        .filter(|row| !current.contains(row.id.key.as_str()));
    let mut change = Change::new();
    for row in stale.take(MAX_ENTRIES / 2) {
        change = change
            .expect(row.id.clone(), row.version)
            .remove(row.id.clone());
    }
    if change.removes.is_empty() {
        return;
    }
    let done = store.transact(&change).await;
    log::info!(target: STORE, rows = change.removes.len(), done:? = done;
        "Rows of processes that have ended are removed.");
}

/// Decodes the row of a process; `None`, and a logged error, if that fails.
pub(in crate::gateway) fn decode_process<T: DeserializeOwned>(row: &Row) -> Option<T> {
    let process = serde_json::from_slice(&row.value).ok();
    if process.is_none() {
        log::error!(target: STORE, entry = row.id.key.as_str();
            "The row of a process can't be decoded and is ignored.");
    }
    process
}

/// Reads the parts in turn until the process ends, and passes the gateways of each part to
/// `record`. The first time, all parts are read at once.
pub(in crate::gateway) async fn poll_members(
    store: Rc<Store>,
    directory: Directory,
    record: impl Fn(&str, Vec<Member>),
) {
    let jitter = Duration::from_millis(rand::random::<u64>() % 1_000);
    sleep(FIRST_READ_DELAY + jitter).await;
    let mut is_first_round = true;
    loop {
        for part in member_parts() {
            let delay = match directory.read_part(&store, &part).await {
                Ok(members) => {
                    let delay = read_interval(members.len()) + jitter;
                    record(&part, members);
                    if is_first_round {
                        Duration::ZERO
                    } else {
                        delay
                    }
                }
                Err(failure) => {
                    log::debug!(target: STORE, error = failure.to_string().as_str();
                        "The rows of the peers could not be read.");
                    FIRST_READ_DELAY + jitter
                }
            };
            sleep(delay).await;
        }
        is_first_round = false;
    }
}

/// Returns the time between two reads of parts with this number of rows.
fn read_interval(rows: usize) -> Duration {
    let rows = u32::try_from(rows).unwrap_or(u32::MAX);
    MIN_READ_INTERVAL.max(READ_INTERVAL_PER_ROW.saturating_mul(rows))
}
