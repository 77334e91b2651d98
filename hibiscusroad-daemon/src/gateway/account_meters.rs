//! Log lines and metrics of client accounts in the queues of the router.

use super::{accounts::QueueAccount, calls::Calls, meters::Meters};
use crate::logs::CALLS;
use hibiscusroad::{Class, ErrorKind, clock::millis};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Accounts that the metrics list, so that their number is bounded.
const MAX_LISTED: usize = 8;
/// Priorities that have metrics of their own; all lower ones are counted together.
const LISTED_PRIORITIES: u8 = 9;

/// A call that the router refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal<'a> {
    /// The request's ID.
    pub(super) id: &'a str,
    pub(super) account: &'a QueueAccount,
    pub(super) service: &'a str,
    pub(super) class: Class,
    pub(super) kind: ErrorKind,
}

/// Counts a refusal by the router where callers compete, and logs it if the account has work
/// of its own there.
pub(super) fn record_refusal(calls: &Calls, meters: &Meters, refusal: &Refusal<'_>) {
    let Refusal {
        id,
        account,
        service,
        class,
        kind,
    } = *refusal;
    let is_share = kind == ErrorKind::AccountShare;
    if !is_share && kind != ErrorKind::Saturated {
        return;
    }
    let key = account.key;
    let Some(view) = calls.account_view(service, class, key) else {
        return;
    };
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
        log::info!(target: CALLS, id = id, account = &*account.name,
            service = service, kind = kind.answer().problem,
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
