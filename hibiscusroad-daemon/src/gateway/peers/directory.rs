//! Who the peers are, from the rows that all gateways keep in the store.
//!
//! A gateway writes its row when it starts. The rows are read again now and
//! then, and each look at the owners of batches tells them, too. Rows of gateways
//! that are gone stay for a while: asking them costs one short try.

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

/// When the rows are first read: all gateways that start together have written
/// theirs by then.
const FIRST: Duration = Duration::from_millis(2_500);
/// How often after that. 360 gateways read 12 times a second together.
const AGAIN: Duration = Duration::from_secs(30);

/// What is needed to know peers from this process.
#[derive(Clone)]
pub(in crate::gateway) struct Directory {
    /// The name of this process.
    pub(in crate::gateway) name: String,
    /// Where it carries calls, if it does.
    pub(in crate::gateway) address: Option<SocketAddr>,
    /// What the others tell of their time of day.
    pub(in crate::gateway) times: Times,
}

impl Directory {
    /// Takes in the rows of all gateways.
    pub(in crate::gateway) fn hear(&self, store: &Store, rows: &[Row]) {
        let others = rows.iter().filter(|row| row.id.key != self.name);
        let known: Vec<Presence> = others.filter_map(presence).collect();
        let addresses = known.iter().filter_map(|presence| presence.peer);
        let peers = addresses.filter(|address| Some(*address) != self.address);
        store.set_peers(peers.collect());
        let offsets = known.iter().filter_map(|presence| presence.offset);
        self.times.hear(offsets.collect());
    }
}

/// Understands the row of a process.
pub(in crate::gateway) fn presence(row: &Row) -> Option<Presence> {
    let presence = serde_json::from_slice(&row.value).ok();
    if presence.is_none() {
        log::error!(target: STORE, entry = row.id.key.as_str();
            "The row of a process is broken; it is ignored.");
    }
    presence
}

/// Reads the rows of all gateways now and then.
pub(in crate::gateway) async fn meet(store: Rc<Store>, directory: Directory) {
    let spread = Duration::from_millis(rand::random::<u64>() % 1_000);
    let mut pause = FIRST + spread;
    loop {
        sleep(pause).await;
        match store.read_whole(&Range::part(ENTRIES, "")).await {
            Ok(page) => {
                directory.hear(&store, &page.rows);
                pause = AGAIN + spread;
            }
            Err(failure) => {
                log::debug!(target: STORE, error = failure.to_string().as_str();
                    "The rows of the peers could not be read.");
                pause = FIRST + spread;
            }
        }
    }
}
