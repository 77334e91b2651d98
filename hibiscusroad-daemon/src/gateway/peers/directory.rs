//! Discovery of peers by the rows that all gateways write to the store.
//!
//! A gateway writes its row when it starts. The rows are read periodically, and by each poll
//! of the owners of batches, too. Rows of gateways that ended stay for a while; a call to one
//! of them costs a short connection attempt.

use crate::{
    gateway::{store::Store, times::Times},
    logs::STORE,
};
use hibiscusroad::{
    rollout::row::{ENTRIES, Presence},
    table::{Range, Row},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Delay of the first read, and after a failed one. Gateways that start at the same time have
/// written their rows by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(2_500);
/// Interval at which the rows are read.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// This process among its peers.
#[derive(Clone)]
pub(in crate::gateway) struct Directory {
    /// The name of this process.
    pub(in crate::gateway) name: String,
    /// The address at which it serves peers, if it does.
    pub(in crate::gateway) address: Option<SocketAddr>,
    /// The clocks of the other gateways.
    pub(in crate::gateway) times: Times,
}

impl Directory {
    /// Updates the peers and their clock offsets from the rows of all gateways.
    pub(in crate::gateway) fn update(&self, store: &Store, rows: &[Row]) {
        let others = rows.iter().filter(|row| row.id.key != self.name);
        let presences: Vec<Presence> = others.filter_map(decode_presence).collect();
        let addresses = presences.iter().filter_map(|presence| presence.peer);
        let peers = addresses.filter(|address| Some(*address) != self.address);
        store.set_peers(peers.collect());
        let offsets = presences.iter().filter_map(|presence| presence.offset);
        self.times.hear(offsets.collect());
    }
}

/// Decodes the row of a process; `None`, and a logged error, if that fails.
pub(in crate::gateway) fn decode_presence(row: &Row) -> Option<Presence> {
    let presence = serde_json::from_slice(&row.value).ok();
    if presence.is_none() {
        log::error!(target: STORE, entry = row.id.key.as_str();
            "The row of a process can't be decoded and is ignored.");
    }
    presence
}

/// Reads the rows of all gateways periodically until the process ends.
pub(in crate::gateway) async fn poll_peers(store: Rc<Store>, directory: Directory) {
    let jitter = Duration::from_millis(rand::random::<u64>() % 1_000);
    let mut delay = FIRST_READ_DELAY + jitter;
    loop {
        sleep(delay).await;
        match store.read_whole(&Range::part(ENTRIES, "")).await {
            Ok(page) => {
                directory.update(&store, &page.rows);
                delay = READ_INTERVAL + jitter;
            }
            Err(failure) => {
                log::debug!(target: STORE, error = failure.to_string().as_str();
                    "The rows of the peers could not be read.");
                delay = FIRST_READ_DELAY + jitter;
            }
        }
    }
}
