//! Client accounts in the queues of the router.
//!
//! The router knows an account by a hash of its name, so that its calls stay small. This module
//! builds the keys from the configuration, reports refusals that an account owes to its own
//! work, and sets the metrics. Names are found by the waiting requests, so nothing is kept of
//! accounts without any.
//!
//! A flood is refused thousands of times a second. An account therefore gets one line a second,
//! which counts the refusals since the last one; the counters have all of them.

use super::{attempt::AttemptContext, calls::Calls, forward::Forward, meters::Meters};
use crate::logs::CALLS;
use hibiscusroad::{
    ErrorKind,
    account::Account,
    catalog::{Catalog, Route},
    clock::millis,
    route::AccountKey,
};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

/// Priority of all calls of scorers. Their class has slots of its own, and a text that waits
/// for its score has cost an engine seconds already, whosever it is.
const SCORER_PRIORITY: u8 = 0;
/// Accounts that the metrics list, so that their number is bounded.
const MAX_LISTED: usize = 8;
/// Priorities that have metrics of their own; all lower ones are counted together.
const LISTED_PRIORITIES: u8 = 9;
/// Interval of the lines on refusals of one account.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without refusals after which an account's row in the log's state is dropped.
const LOG_RETENTION: Duration = Duration::from_mins(1);

/// The account that a request waits for in the router's queues.
#[derive(Clone, Debug)]
pub(super) struct QueueAccount {
    /// The name; empty for callers without an account.
    pub(super) name: Rc<str>,
    pub(super) key: AccountKey,
}

impl QueueAccount {
    /// Returns the account of a caller; `None` if the configuration has no accounts.
    pub(super) fn of_caller(
        catalog: &Catalog,
        account: Option<&Account>,
        route: &Route,
    ) -> Option<Self> {
        let priority = account.and_then(|account| account.priority);
        let name = account.map(|account| account.name.as_str());
        Self::new(catalog, name, priority.unwrap_or(route.priority))
    }

    /// Returns the account of the scorers of a batch; `None` if the configuration has no
    /// accounts.
    pub(super) fn of_scorer(catalog: &Catalog, account: Option<&str>) -> Option<Self> {
        Self::new(catalog, account, SCORER_PRIORITY)
    }

    fn new(catalog: &Catalog, name: Option<&str>, priority: u8) -> Option<Self> {
        catalog.has_accounts().then(|| Self {
            name: name.unwrap_or_default().into(),
            key: AccountKey::new(name, priority),
        })
    }
}

/// Refusals of one account since its last line.
#[derive(Debug)]
struct Unlogged {
    last_line: Instant,
    refusals: u32,
}

/// Decides which refusals of accounts get a line.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    rows: HashMap<AccountKey, Unlogged>,
}

impl RefusalLog {
    /// Counts a refusal; returns how many the line that is due covers, if one is.
    fn record(&mut self, now: Instant, account: AccountKey) -> Option<u32> {
        if let Some(row) = self.rows.get_mut(&account) {
            row.refusals += 1;
            if now - row.last_line < LOG_INTERVAL {
                return None;
            }
        }
        let refusals = self.rows.remove(&account).map_or(1, |row| row.refusals);
        self.rows
            .retain(|_, row| now - row.last_line < LOG_RETENTION);
        let row = Unlogged {
            last_line: now,
            refusals: 0,
        };
        self.rows.insert(account, row);
        Some(refusals)
    }
}

/// Counts a refusal by the router where callers compete, and logs it if the account has work
/// of its own there.
pub(super) fn record_refusal(context: &AttemptContext, request: &Forward, kind: ErrorKind) {
    let Some(account) = &request.account else {
        return;
    };
    let is_share = kind == ErrorKind::AccountShare;
    if !is_share && kind != ErrorKind::Saturated {
        return;
    }
    let (calls, key) = (&context.calls, account.key);
    let Some(view) = calls.account_view(&request.service, request.class, key) else {
        return;
    };
    let meters = &context.meters;
    let counter = if is_share {
        &meters.share_refusals
    } else {
        &meters.account_refusals
    };
    counter
        .with_label_values(&[priority_label(key.priority)])
        .inc();
    if view.waiting == 0 && !is_share {
        return;
    }
    let due = calls.refusals.borrow_mut().record(Instant::now(), key);
    if let Some(refusals) = due {
        log::info!(target: CALLS, id = request.head.id.as_str(), account = &*account.name,
            service = request.service.as_str(), kind = kind.answer().problem,
            priority = key.priority, waiting = view.waiting,
            work_ms = millis(Duration::from_secs_f64(view.work)),
            share_percent = (view.share * 100.0).round(), wait_ms = millis(view.wait),
            refusals = refusals; "An account is refused for its own backlog.");
    }
}

/// Sets the gauges of waiting calls and accounts.
pub(super) fn set_gauges(calls: &Calls, meters: &Meters) {
    meters.waiting_calls.reset();
    meters.account_work.reset();
    let mut work: BTreeMap<u64, f64> = BTreeMap::new();
    for (account, waiting, secs) in calls.waiting_accounts() {
        let label = priority_label(account.priority);
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        meters
            .waiting_calls
            .with_label_values(&[label])
            .add(waiting);
        *work.entry(account.id).or_default() += secs;
    }
    let mut work: Vec<(u64, f64)> = work.into_iter().collect();
    work.sort_by(|a, b| b.1.total_cmp(&a.1));
    work.truncate(MAX_LISTED);
    let names = calls.account_names();
    for (id, secs) in work {
        let name = names.get(&id).map_or("", |name| &**name);
        meters.account_work.with_label_values(&[name]).set(secs);
    }
}

fn priority_label(priority: u8) -> &'static str {
    const LABELS: [&str; LISTED_PRIORITIES as usize + 1] =
        ["0", "1", "2", "3", "4", "5", "6", "7", "8", "lower"];
    LABELS[usize::from(priority.min(LISTED_PRIORITIES))]
}
