//! Queue of one class's calls for one service, fair among the accounts of the callers.
//!
//! Calls wait by the priority of their account first. Within a priority, accounts share the
//! service by work in seconds, and the calls of one account run earliest deadline first.
//!
//! Fair shares come from self-clocked fair queueing: each account has a virtual time, the
//! work that it was served, and the account whose next call would end first goes first. A
//! clock follows the calls that start, and an account that begins to wait starts at the
//! clock. The tag of a served call is never ahead of the clock, so an account without waiting
//! calls can be forgotten and gains nothing by it. With start-time fair queueing, tags would
//! have to be kept longer than the calls; deficit round robin needs a quantum as large as the
//! largest call, and an account can wait for a quantum of each other account. The cost is that
//! a new account may wait for one call of each other account, instead of half of them.
//!
//! All operations scan the waiting accounts. There are a thousand at most, whose entries fit
//! into the processor's cache, and a scan of a dense table beats a tree that needs an update
//! with each arrival.
//!
//! Without accounts there is a single account, and the order is that of [`Queue`].

use crate::route::{
    queue::{Queue, QueueKey, QueuedCall},
    retry_after::ReturnSchedule,
};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// The id of all callers without an account. 0 is that of the default.
const ANONYMOUS: u64 = 1;

/// Cap on the work of one addition. Virtual time in 64 bits then lasts for 18,000 of them, and
/// no queue holds work of so many days.
const MAX_WORK_SECS: f64 = 1e6;

/// The account of a call, as far as the order of calls depends on it.
///
/// The default stands for all calls for which accounts have no effect.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountKey {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Identifies the account.
    pub id: u64,
}

impl AccountKey {
    /// Creates the key of the account with a name, or of callers without one.
    #[must_use]
    pub fn new(name: Option<&str>, priority: u8) -> Self {
        let id = name.map_or(ANONYMOUS, |name| {
            xxh3_64(name.as_bytes()).max(ANONYMOUS + 1)
        });
        Self { priority, id }
    }
}

/// Calls of one account at one priority.
#[derive(Clone, Debug)]
struct Flow {
    id: u64,
    /// Virtual time up to which the account was served, in nanoseconds.
    served: u64,
    /// Virtual time at which its next call ends, in nanoseconds.
    next: u64,
    /// Virtual time at which its last call ends, in nanoseconds.
    end: u64,
    calls: Queue,
    returns: ReturnSchedule,
}

impl Flow {
    fn update_tags(&mut self) {
        let work = self.calls.first().map_or(0.0, |(_, call)| call.work);
        self.next = self.served + nanos(work);
        self.end = self.served + nanos(self.calls.work());
    }
}

/// Accounts of one priority that have waiting calls.
#[derive(Clone, Debug)]
struct Level {
    priority: u8,
    /// Virtual time of the latest call that was started, in nanoseconds.
    clock: u64,
    /// The ids of `flows`, apart from them because most scans need no more.
    ids: Vec<u64>,
    flows: Vec<Flow>,
}

impl Level {
    fn position(&self, id: u64) -> Option<usize> {
        self.ids.iter().position(|other| *other == id)
    }

    fn flow(&self, id: u64) -> Option<&Flow> {
        self.position(id).map(|position| &self.flows[position])
    }

    fn work(&self) -> f64 {
        self.flows.iter().map(|flow| flow.calls.work()).sum()
    }
}

/// The last call in the order of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastCall {
    pub(super) account: AccountKey,
    /// Virtual time at which it ends, in nanoseconds.
    pub(super) end: u64,
    pub(super) call: QueuedCall,
    pub(super) deadline: Instant,
}

impl LastCall {
    /// Returns whether it goes after the calls of another account, which end at the virtual time
    /// `end`.
    pub(super) fn is_behind(&self, account: AccountKey, end: u64) -> bool {
        let (own, other) = (self.account, account);
        let is_later = own.priority == other.priority && own.id != other.id && self.end > end;
        own.priority > other.priority || is_later
    }

    /// Returns whether it gives way to another account, whose calls end at the virtual time
    /// `end`: its account has a lower priority, or still has as much without it.
    ///
    /// With any smaller difference, accounts with equal loads would displace each other's calls
    /// in turn.
    pub(super) fn gives_way(&self, account: AccountKey, end: u64) -> bool {
        let rest = self.end.saturating_sub(nanos(self.call.work));
        let has_more = self.account.priority > account.priority || rest >= end;
        self.is_behind(account, end) && has_more
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    /// By priority; none of them is empty.
    levels: Vec<Level>,
    len: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn push(&mut self, account: AccountKey, queue_key: QueueKey, call: QueuedCall) {
        let found = self
            .levels
            .binary_search_by_key(&account.priority, |level| level.priority);
        let index = found.unwrap_or_else(|index| {
            let level = Level {
                priority: account.priority,
                clock: 0,
                ids: Vec::new(),
                flows: Vec::new(),
            };
            self.levels.insert(index, level);
            index
        });
        let level = &mut self.levels[index];
        let position = level.position(account.id).unwrap_or_else(|| {
            level.ids.push(account.id);
            level.flows.push(Flow {
                id: account.id,
                served: level.clock,
                next: level.clock,
                end: level.clock,
                calls: Queue::default(),
                returns: ReturnSchedule::default(),
            });
            level.flows.len() - 1
        });
        level.flows[position].calls.push(queue_key, call);
        level.flows[position].update_tags();
        self.len += 1;
    }

    /// Removes a call that is not started.
    pub(super) fn remove(&mut self, account: AccountKey, queue_key: QueueKey) {
        self.take(account, queue_key, false);
    }

    /// Removes a call that is started, and charges its work to its account.
    pub(super) fn start(&mut self, account: AccountKey, queue_key: QueueKey) {
        self.take(account, queue_key, true);
    }

    fn take(&mut self, account: AccountKey, queue_key: QueueKey, is_started: bool) {
        let Some(index) = self.level_index(account.priority) else {
            return;
        };
        let level = &mut self.levels[index];
        let Some(position) = level.position(account.id) else {
            return;
        };
        let flow = &mut level.flows[position];
        let Some(call) = flow.calls.remove(queue_key) else {
            return;
        };
        self.len -= 1;
        if is_started {
            flow.served += nanos(call.work);
            level.clock = level.clock.max(flow.served);
        }
        flow.update_tags();
        if flow.calls.is_empty() {
            level.ids.swap_remove(position);
            level.flows.swap_remove(position);
        }
        if level.flows.is_empty() {
            self.levels.remove(index);
        }
    }

    /// Adds the difference between the work that a started call was charged and the time that
    /// it took, in seconds, if its account still has waiting calls.
    pub(super) fn correct(&mut self, account: AccountKey, secs: f64) {
        let Some(flow) = self.flow_mut(account) else {
            return;
        };
        flow.served = if secs < 0.0 {
            flow.served.saturating_sub(nanos(-secs))
        } else {
            flow.served + nanos(secs)
        };
        flow.update_tags();
    }

    /// Returns the call that is to be started next.
    pub(super) fn first(&self) -> Option<(QueueKey, QueuedCall)> {
        self.first_of(|_| true)
    }

    /// Returns the call that is to be started next of the accounts that `is_allowed` accepts.
    pub(super) fn first_of(
        &self,
        is_allowed: impl Fn(u64) -> bool,
    ) -> Option<(QueueKey, QueuedCall)> {
        let flow = self.levels.iter().find_map(|level| {
            let allowed = level.flows.iter().filter(|flow| is_allowed(flow.id));
            allowed.min_by_key(|flow| (flow.next, flow.id))
        })?;
        flow.calls.first()
    }

    /// Returns the call that is started last, if no other arrives.
    pub(super) fn last(&self) -> Option<LastCall> {
        let level = self.levels.last()?;
        let flow = level.flows.iter().max_by_key(|flow| flow.end)?;
        let (queue_key, call) = flow.calls.last()?;
        Some(LastCall {
            account: AccountKey {
                priority: level.priority,
                id: flow.id,
            },
            end: flow.end,
            call,
            deadline: queue_key.deadline,
        })
    }

    /// Returns the latest deadline of an account's calls.
    pub(super) fn latest_deadline(&self, account: AccountKey) -> Option<Instant> {
        let (queue_key, _) = self.flow(account)?.calls.last()?;
        Some(queue_key.deadline)
    }

    /// Returns the virtual time at which an account's last call ends, in nanoseconds, with
    /// `work` more seconds.
    pub(super) fn end_with(&self, account: AccountKey, work: f64) -> u64 {
        let Some(index) = self.level_index(account.priority) else {
            return nanos(work);
        };
        let level = &self.levels[index];
        let end = level.flow(account.id).map_or(level.clock, |flow| flow.end);
        end + nanos(work)
    }

    /// Returns the calls in the order in which they are started, if no other arrives.
    pub(super) fn in_order(&self) -> Vec<(QueueKey, QueuedCall)> {
        let mut ordered = Vec::with_capacity(self.len);
        for level in &self.levels {
            let first = ordered.len();
            for flow in &level.flows {
                let mut end = flow.served;
                for (queue_key, call) in flow.calls.iter() {
                    end += nanos(call.work);
                    ordered.push((end, queue_key, call));
                }
            }
            // The sort is stable, so the calls of one account keep their order.
            ordered[first..].sort_by_key(|(end, ..)| *end);
        }
        let calls = ordered.into_iter();
        calls
            .map(|(_, queue_key, call)| (queue_key, call))
            .collect()
    }

    /// Returns the expected service time of all queued calls, in seconds.
    pub(super) fn work(&self) -> f64 {
        self.levels.iter().map(Level::work).sum()
    }

    /// Estimates the work that is started before a new call of `work` seconds, in seconds.
    pub(super) fn work_ahead(&self, account: AccountKey, deadline: Instant, work: f64) -> f64 {
        let flow = self.flow(account);
        let own = flow.map_or(0.0, |flow| flow.calls.work_before(deadline));
        own + self.others_ahead(account, own + work)
    }

    /// Estimates the work that is started before the account's last call, if that has `work`
    /// seconds and is added, in seconds.
    pub(super) fn work_ahead_of_last(&self, account: AccountKey, work: f64) -> f64 {
        let own = self.flow(account).map_or(0.0, |flow| flow.calls.work());
        own + self.others_ahead(account, own + work)
    }

    /// Estimates the work of other accounts that is started before an account has been served
    /// `own_work` more seconds, in seconds.
    fn others_ahead(&self, account: AccountKey, own_work: f64) -> f64 {
        let mut ahead = 0.0;
        for level in &self.levels {
            if level.priority > account.priority {
                break;
            }
            if level.priority < account.priority {
                ahead += level.work();
                continue;
            }
            let served = level.flow(account.id).map_or(level.clock, |f| f.served);
            let end = served + nanos(own_work);
            let others = level.flows.iter().filter(|flow| flow.id != account.id);
            ahead += others
                .map(|flow| secs(end.saturating_sub(flow.served)).min(flow.calls.work()))
                .sum::<f64>();
        }
        ahead
    }

    /// Returns the number of accounts that wait at a priority.
    pub(super) fn accounts_at(&self, priority: u8) -> usize {
        self.level_index(priority)
            .map_or(0, |index| self.levels[index].flows.len())
    }

    /// Returns the number of waiting calls of an account, at all priorities.
    pub(super) fn waiting(&self, id: u64) -> usize {
        let flows = self.levels.iter().filter_map(|level| level.flow(id));
        flows.map(|flow| flow.calls.len()).sum()
    }

    /// Returns the accounts with the numbers of their calls and their work in seconds.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (AccountKey, usize, f64)> {
        self.levels.iter().flat_map(|level| {
            level.flows.iter().map(|flow| {
                let (priority, id) = (level.priority, flow.id);
                let account = AccountKey { priority, id };
                (account, flow.calls.len(), flow.calls.work())
            })
        })
    }

    /// Returns the schedule of returns of an account that has waiting calls.
    pub(super) fn returns(&mut self, account: AccountKey) -> Option<&mut ReturnSchedule> {
        self.flow_mut(account).map(|flow| &mut flow.returns)
    }

    fn level_index(&self, priority: u8) -> Option<usize> {
        let levels = &self.levels;
        levels.iter().position(|level| level.priority == priority)
    }

    fn flow(&self, account: AccountKey) -> Option<&Flow> {
        let index = self.level_index(account.priority)?;
        self.levels[index].flow(account.id)
    }

    fn flow_mut(&mut self, account: AccountKey) -> Option<&mut Flow> {
        let index = self.level_index(account.priority)?;
        let level = &mut self.levels[index];
        let position = level.position(account.id)?;
        level.flows.get_mut(position)
    }
}

/// Converts seconds of work to nanoseconds of virtual time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn nanos(secs: f64) -> u64 {
    (secs.clamp(0.0, MAX_WORK_SECS) * 1e9) as u64
}

fn secs(nanos: u64) -> f64 {
    nanos as f64 / 1e9
}
