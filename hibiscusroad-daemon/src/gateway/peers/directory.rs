//! Who the peers are, from the rows that all gateways keep in the store.
//!
//! A gateway writes its row when it starts. The rows are read again now and
//! then, and each look at the owners of batches tells them, too. Rows of gateways
//! that are gone stay for a while: asking them costs one short try.

use crate::{gateway::store::Store, logs::STORE};
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
#[derive(Clone, Debug)]
pub(in crate::gateway) struct Directory {
    /// The name of this process.
    pub(in crate::gateway) name: String,
    /// Where it carries calls, if it does.
    pub(in crate::gateway) address: Option<SocketAddr>,
}

impl Directory {
    /// Finds the peers among the rows of all gateways.
    pub(in crate::gateway) fn peers(&self, rows: &[Row]) -> Vec<SocketAddr> {
        let others = rows.iter().filter(|row| row.id.key != self.name);
        let known = others.filter_map(|row| serde_json::from_slice::<Presence>(&row.value).ok());
        let addresses = known.filter_map(|presence| presence.peer);
        addresses
            .filter(|address| Some(*address) != self.address)
            .collect()
    }
}

/// Reads the rows of all gateways now and then.
pub(in crate::gateway) async fn meet(store: Rc<Store>, directory: Directory) {
    let spread = Duration::from_millis(rand::random::<u64>() % 1_000);
    let mut pause = FIRST + spread;
    loop {
        sleep(pause).await;
        match store.read_whole(&Range::part(ENTRIES, "")).await {
            Ok(page) => {
                store.set_peers(directory.peers(&page.rows));
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
