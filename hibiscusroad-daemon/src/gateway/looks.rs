//! Looks at the configuration in the store, before a caller is denied something.
//!
//! A denial is final: no client asks again after "not found" or "no such key". Load:
//! configurations that come in quick succession, each with another key, before gateways
//! of which some hear of them a moment later than others. Harm: a caller whose key was
//! just given out is turned away for good by the one gateway that hears last. So what
//! the known configuration does not allow is judged by one that was read after the
//! request came. Callers with wrong keys can't use up the store by that: a process reads
//! once at a time and at most a few times a second, for all that wait.

use super::{calls::Calls, known::Known, store::Store, sync};
use hibiscusroad::table::RowId;
use hibiscusroad_platform::table;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    sync::Mutex,
    time::{sleep_until, timeout},
};

/// Time from one look to the next at the least: 360 processes that are all asked with
/// wrong keys make 1,440 reads a second.
const GAP: Duration = Duration::from_millis(250);
/// A store that takes longer is no help to a caller that waits.
const LIMIT: Duration = Duration::from_millis(400);

/// A look that ended.
#[derive(Clone, Copy)]
struct Look {
    began: Instant,
    /// Whether the store told its configuration.
    told: bool,
}

/// Looks at the configuration.
pub(super) struct Looks {
    store: Rc<Store>,
    known: Rc<Known>,
    calls: Rc<Calls>,
    last: Mutex<Option<Look>>,
}

impl Looks {
    pub(super) fn new(store: Rc<Store>, known: Rc<Known>, calls: Rc<Calls>) -> Self {
        Self {
            store,
            known,
            calls,
            last: Mutex::default(),
        }
    }

    /// Brings what is known up to what the store has at `since` or later; `false` if the
    /// store doesn't tell.
    pub(super) async fn refresh_since(&self, since: Instant) -> bool {
        let mut last = self.last.lock().await;
        if let Some(look) = last.filter(|look| look.began >= since) {
            return look.told;
        }
        if let Some(look) = *last {
            sleep_until((look.began + GAP).into()).await;
        }
        let began = Instant::now();
        let told = self.look().await;
        if told {
            self.known.confirm(began);
        }
        *last = Some(Look { began, told });
        told
    }

    async fn look(&self) -> bool {
        let id = RowId::new(table::OPERATOR_TABLE, "", table::CONFIG_KEY);
        let Ok(Ok(Some(row))) = timeout(LIMIT, self.store.read_row(&id)).await else {
            return false;
        };
        sync::operator_row(&self.known, &self.calls, &row);
        true
    }
}
