//! Decisions of the router that concern client accounts, where callers compete.
//!
//! A new call delays those behind it in the fair order. If one of them would be late, the
//! caller to refuse is the one with the most work beyond its share, or of a lower priority:
//! otherwise a small account would be refused because of another's backlog. If that is the
//! new call's own account, the new call is refused on arrival (`admit`); if it is another,
//! the last call in the order is refused instead, while its caller can still go elsewhere.
//!
//! The cost is that an admitted call may be refused before its deadline. It is then told so
//! at once, and has not run.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        ServiceKey,
        admit::fits_deadline,
        fair::{AccountKey, FairQueue, LastCall},
        queue::{QueueKey, QueuedCall},
        retry_after::{ReturnSchedule, seconds},
        router::Router,
        spec::Call,
        table::CallKey,
    },
    topology::RegionSet,
};
use std::time::{Duration, Instant};

/// Maximum calls that are refused for one new call. It adds the work of one call, so one or
/// two are usual; after a loss of capacity, more follow with the next arrivals.
const MAX_DISPLACED: usize = 8;

/// What an account has waiting for a class of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountView {
    /// Number of its waiting calls.
    pub waiting: usize,
    /// Expected service time of its waiting calls, in seconds.
    pub work: f64,
    /// Its share among the accounts that wait at its priority, in [0, 1].
    pub share: f64,
    /// Expected wait of another call of it.
    pub wait: Duration,
}

impl Router {
    /// Limits the part of a service's slots that calls of one account may hold or wait for
    /// while calls of others wait, in percent; `None` for no limit.
    #[must_use]
    pub const fn account_share(mut self, percent: Option<u32>) -> Self {
        self.account_share = percent;
        self
    }

    /// Returns what an account has waiting for a class of a service, if callers compete for it.
    #[must_use]
    pub fn account_view(
        &self,
        now: Instant,
        service: ServiceKey,
        class: Class,
        account: AccountKey,
    ) -> Option<AccountView> {
        let row = self.services.get(service)?;
        if !self.is_contended(service) {
            return None;
        }
        let queue = row.queue(class);
        let found = queue.accounts().find(|(other, ..)| *other == account);
        let (_, waiting, work) = found.unwrap_or((account, 0, 0.0));
        let others = queue.accounts_at(account.priority) - usize::from(found.is_some());
        let ahead = queue.work_ahead_of_last(account, 0.0);
        Some(AccountView {
            waiting,
            work,
            share: 1.0 / (others + 1) as f64,
            wait: seconds(
                self.estimate_wait(now, service, class, ahead)
                    / row.priority_share(now, class, account),
            ),
        })
    }

    /// Returns the accounts that wait for services for which callers compete, with the numbers
    /// of their calls and their work in seconds. An account appears once for each service,
    /// class and priority.
    pub fn waiting_accounts(&self) -> impl Iterator<Item = (AccountKey, usize, f64)> {
        let services = self.services.iter();
        let contended = services.filter(|(key, _)| self.is_contended(*key));
        contended.flat_map(|(_, row)| row.queues.iter().flat_map(FairQueue::accounts))
    }

    /// Returns the account that a call waits for: a single one unless callers compete.
    pub(super) fn queue_account(&self, call: &Call) -> AccountKey {
        let account = call.account.filter(|_| self.is_contended(call.service));
        account.unwrap_or_default()
    }

    /// Checks the limit on the places of one account.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::AccountShare`] if the account has used up its places, and calls of
    /// others wait.
    pub(super) fn check_share(&self, call: &Call, account: AccountKey) -> Result<(), ErrorKind> {
        let row = &self.services[call.service];
        let Some(limit) = self.max_places(call.service) else {
            return Ok(());
        };
        let queues = row.queues.iter();
        let (own, all) = queues.fold((0, 0), |(own, all), queue| {
            (own + queue.waiting(account.id), all + queue.len())
        });
        let held = own + row.running_of(account.id) as usize;
        if all > own && held >= limit {
            return Err(ErrorKind::AccountShare);
        }
        Ok(())
    }

    /// Returns the limit on the places of one account, if there is one.
    fn max_places(&self, service: ServiceKey) -> Option<usize> {
        let percent = self.account_share.filter(|_| self.is_contended(service))?;
        let capacity = u64::from(self.services[service].capacity);
        let places = capacity * u64::from(percent) / 100;
        Some(usize::try_from(places).unwrap_or(usize::MAX).max(1))
    }

    /// Returns the call of a class that is to be started next: that of an account with places
    /// left, if there is one. Calls that may only use regions of a `blocked` set are passed over.
    pub(super) fn first_call(
        &self,
        service: ServiceKey,
        class: Class,
        blocked: &[(Class, RegionSet)],
    ) -> Option<(QueueKey, QueuedCall)> {
        let row = &self.services[service];
        let queue = row.queue(class);
        let limit = self.max_places(service);
        let has_places = |id| limit.is_none_or(|limit| (row.running_of(id) as usize) < limit);
        let blocked = || blocked.iter().filter(|(other, _)| *other == class);
        if blocked().next().is_none() {
            return match limit {
                None => queue.first(),
                Some(_) => queue.first_of(has_places).or_else(|| queue.first()),
            };
        }
        let mut others = queue.in_order();
        others.retain(|(_, queued)| {
            let regions = self.calls[queued.call].call.regions;
            !blocked().any(|(_, set)| regions.is_subset(*set))
        });
        let account = |key: CallKey| self.calls[key].call.account.unwrap_or_default().id;
        let with_places = others.iter().find(|(_, it)| has_places(account(it.call)));
        with_places.or_else(|| others.first()).copied()
    }

    /// Estimates how long it takes to start `work` seconds of calls that go before those of an
    /// account, in seconds.
    ///
    /// Calls of higher priorities that are yet to come go before them, too.
    pub(super) fn account_wait(
        &self,
        now: Instant,
        call: &Call,
        account: AccountKey,
        work: f64,
    ) -> f64 {
        let row = &self.services[call.service];
        let share = row.priority_share(now, call.class, account);
        self.estimate_wait(now, call.service, call.class, work) / share
    }

    /// Checks the effect of a new call of `work` seconds on the last one in the order. Returns
    /// whether that one has to give way, because it would be late or there is no place left.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Saturated`] if it would have to, but has the better claim.
    pub(super) fn displaces_last(
        &self,
        now: Instant,
        call: &Call,
        account: AccountKey,
        work: f64,
    ) -> Result<bool, ErrorKind> {
        let row = &self.services[call.service];
        let queue = row.queue(call.class);
        let is_full = queue.len() >= row.spec.max_queued;
        let end = queue.end_with(account, work);
        let last = queue.last().filter(|last| last.is_behind(account, end));
        match last {
            None if is_full => Err(ErrorKind::Saturated),
            None => Ok(false),
            Some(last) if !is_full && self.is_in_time(now, call, &last, work) => Ok(false),
            Some(last) if last.gives_way(account, end) => Ok(true),
            Some(_) => Err(ErrorKind::Saturated),
        }
    }

    /// Refuses calls of accounts with more waiting work, or of a lower priority, which a new
    /// call has made late or for which there is no place left.
    pub(super) fn refuse_displaced(&mut self, now: Instant, key: CallKey) {
        let row = &self.calls[key];
        let (call, account) = (row.call, row.queue_account);
        for _ in 0..MAX_DISPLACED {
            let row = &self.services[call.service];
            let queue = row.queue(call.class);
            let end = queue.end_with(account, 0.0);
            let last = queue.last().filter(|last| last.gives_way(account, end));
            let Some(last) = last else {
                return;
            };
            let is_full = queue.len() > row.spec.max_queued;
            if !is_full && self.is_in_time(now, &call, &last, 0.0) {
                return;
            }
            self.refuse(now, last.call.call, ErrorKind::Saturated);
        }
    }

    /// Returns whether the last call in the order of a queue can be answered in time, with `work`
    /// more seconds before it.
    fn is_in_time(&self, now: Instant, call: &Call, last: &LastCall, work: f64) -> bool {
        let row = &self.services[call.service];
        let last_call = &self.calls[last.call.call].call;
        let regions = last_call.regions;
        if regions.intersection(call.regions).is_empty() {
            return true;
        }
        let Some(estimate) = self.estimate(last_call) else {
            return true;
        };
        let others = row.queue(call.class).work() - last.call.work;
        let share = row.competing_share(call.class, regions);
        let ahead = (others + work) * share + row.slot_wait(regions, estimate.mean);
        let wait = self.account_wait(now, call, last.account, ahead);
        let time_left = last.deadline.saturating_duration_since(now).as_secs_f64();
        let slowness = self.relative_slowness(now, call.service).max(1.0);
        fits_deadline(wait, row.wait_margin, &estimate, slowness, time_left)
    }

    /// Chooses when a refused caller should come back, by the work of its account.
    pub(super) fn next_account_return(
        &mut self,
        now: Instant,
        call: &Call,
        mean: f64,
        random: f64,
    ) -> Duration {
        let account = self.queue_account(call);
        let queue = self.services[call.service].queue(call.class);
        let ahead = queue.work_ahead_of_last(account, mean);
        let accounts = queue.accounts_at(account.priority).max(1);
        let wait = self.account_wait(now, call, account, ahead);
        let work = mean * accounts as f64;
        let interval = self.account_wait(now, call, account, work);
        let queues = &mut self.services[call.service].queues;
        // An account without waiting calls has no other callers to keep apart.
        let mut unused = ReturnSchedule::default();
        let returns = queues[call.class.index()].returns(account);
        let returns = returns.unwrap_or(&mut unused);
        returns.reserve(now, wait, interval, random)
    }
}
