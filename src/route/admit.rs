//! Admission control: decides on arrival whether a call can meet its deadline.
//!
//! Under overload, a late answer wastes capacity that another call could have
//! used. A call is admitted only if its expected wait and the tail of its own
//! service time fit before its deadline. The expected wait is the work ahead of
//! it divided by the slots that its class gets. All inputs are maintained
//! incrementally, so admission scans no table.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        ServiceKey,
        queue::QueuedCall,
        retry_after::seconds,
        router::Router,
        service_times::Estimate,
        share,
        spec::{Call, Step},
        table::{BASE_WAIT_MARGIN, CallKey, DISPATCH_INTERVAL, Timer},
    },
};
use rand::Rng;
use std::time::{Duration, Instant};

/// Factor by which an admitted call that misses its deadline raises the margin. Other entries
/// take slots unseen; with [`WAIT_MARGIN_EASE`] the margin balances at one such call in 2,000
/// answers when it is 1.5.
const WAIT_MARGIN_RAISE: f64 = 1.1;
/// Part of the excess margin that each answer in time removes.
const WAIT_MARGIN_EASE: f64 = 0.0005;
/// Upper bound of the margin, above which calls that an idle service could
/// answer would be refused.
const MAX_WAIT_MARGIN: f64 = 4.0;
/// Cap on the tail of the service time, as a share of the time left. Without it
/// a class whose slowest calls outlast every deadline would always be refused.
const MAX_TAIL_SHARE: f64 = 0.5;
/// Wait below which only the median service time has to fit, if it is known.
const NEGLIGIBLE_WAIT_SECS: f64 = 0.001;
/// Mean time after which callers come back that were refused because of an evacuation. Its end is
/// not known, and causes no event for them; a second is short beside an evacuation.
const EVACUATED_DELAY: Duration = Duration::from_secs(1);

impl Router {
    /// Queues the call, or refuses it and returns `false`.
    pub(super) fn admit(&mut self, now: Instant, key: CallKey) -> bool {
        let row = &self.calls[key];
        let call = row.call;
        if call.deadline <= now {
            self.refuse(now, key, ErrorKind::Expired);
            return false;
        }
        if !self.has_open_endpoint(call.service, call.regions) {
            self.request_permit(call.service);
        }
        let displaces = match self.check_admission(now, &call, self.calls[key].work) {
            Ok(displaces) => displaces,
            Err(kind) => {
                self.refuse(now, key, kind);
                return false;
            }
        };
        self.enqueue(now, key);
        if displaces {
            self.refuse_displaced(now, key);
        }
        true
    }

    /// Returns whether calls of other accounts have to give way to the call, or the kind of its
    /// refusal.
    fn check_admission(&self, now: Instant, call: &Call, work: f64) -> Result<bool, ErrorKind> {
        let row = &self.services[call.service];
        let queue = row.queue(call.class);
        self.check_endpoints(call.service, call.regions)?;
        let account = self.queue_account(call);
        self.check_share(call, account)?;
        if !self.has_open_endpoint(call.service, call.regions) {
            let displaces = self.displaces_last(now, call, account, work)?;
            let can_wait = self.opens_in_time(now, call);
            return can_wait.then_some(displaces).ok_or(ErrorKind::Saturated);
        }
        let time_left = (call.deadline - now).as_secs_f64();
        let slowness = self.relative_slowness(now, call.service).max(1.0);
        if row.starts_at_once(call.class, call.regions) {
            let estimate = row.service_times.estimate(call);
            let fits = estimate
                .is_none_or(|it| fits_deadline(0.0, row.wait_margin, &it, slowness, time_left));
            return if fits {
                Ok(false)
            } else {
                Err(ErrorKind::Saturated)
            };
        }
        let displaces = self.displaces_last(now, call, account, work)?;
        let Some(estimate) = row.service_times.estimate(call) else {
            return Ok(displaces);
        };
        // With all slots in use the call also waits for one to become free.
        let slot_wait = row.slot_wait(call.regions, estimate.mean);
        let share = row.competing_share(call.class, call.regions);
        let ahead = queue.work_ahead(account, call.deadline, estimate.mean) * share;
        let work_ahead = ahead + slot_wait;
        let wait = self.account_wait(now, call, account, work_ahead);
        if !fits_deadline(wait, row.wait_margin, &estimate, slowness, time_left) {
            return Err(ErrorKind::Saturated);
        }
        // The call must not make those of its account behind it late either. Calls of others
        // that it makes late have more work ahead than their share (`accounts`).
        let latest = queue.latest_deadline(account);
        let Some(latest) = latest.filter(|latest| *latest > call.deadline) else {
            return Ok(displaces);
        };
        let ahead = queue.work_ahead_of_last(account, estimate.mean) * share;
        let total_work = ahead + estimate.mean + slot_wait;
        let wait = self.account_wait(now, call, account, total_work);
        let time_left = (latest - now).as_secs_f64();
        if fits_deadline(wait, row.wait_margin, &estimate, slowness, time_left) {
            Ok(displaces)
        } else {
            Err(ErrorKind::Saturated)
        }
    }

    /// Estimates how long it takes to start `work` seconds of a class's calls,
    /// in seconds.
    pub(super) fn estimate_wait(
        &self,
        now: Instant,
        service: ServiceKey,
        class: Class,
        work: f64,
    ) -> f64 {
        let row = &self.services[service];
        if work <= 0.0 && row.free_slots > 0 {
            return 0.0;
        }
        let capacity = f64::from(row.capacity.max(1));
        let slowdown = row
            .slowdown
            .max(1.0)
            .max(self.relative_slowness(now, service));
        work * slowdown / (capacity * share::expected_share(row, now, class))
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: CallKey) {
        let account = self.queue_account(&self.calls[key].call);
        let row = &mut self.calls[key];
        row.queued = true;
        row.queue_account = account;
        let queued_call = QueuedCall {
            call: key,
            work: row.work,
        };
        let (service, class, queue_key) = (row.call.service, row.call.class, row.queue_key());
        let service_row = &mut self.services[service];
        service_row.restricted[class.index()].add(row.call.regions, row.work);
        service_row.queues[class.index()].push(account, queue_key, queued_call);
        if service_row.timer_at.is_none() {
            service_row.timer_at = Some(now + DISPATCH_INTERVAL);
            self.timers
                .insert((now + DISPATCH_INTERVAL, Timer::Service(service)));
        }
        // The timer refuses the call as soon as it can't be answered in time.
        let call = self.calls[key].call;
        let median = self.estimate(&call).map_or(0.0, |e| e.known_median());
        let latest_start = call.deadline.checked_sub(seconds(median));
        let latest_start = latest_start.map_or(now, |at| at.max(now));
        self.calls[key].latest_start = latest_start;
        self.set_call_timer(key, latest_start);
    }

    /// Refuses queued calls that can't be answered in time after a loss of
    /// capacity, instead of keeping their callers waiting until the deadline.
    pub(super) fn refuse_unanswerable(&mut self, now: Instant, service: ServiceKey) {
        for class in Class::ALL {
            let row = &self.services[service];
            let mut work = 0.0;
            let mut unanswerable = Vec::new();
            for (queue_key, queued_call) in row.queue(class).in_order() {
                let time_left = (queue_key.deadline - now).as_secs_f64();
                let call = &self.calls[queued_call.call].call;
                if let Err(kind) = self.check_endpoints(service, call.regions) {
                    unanswerable.push((queued_call.call, kind));
                    continue;
                }
                let competing = work * row.competing_share(class, call.regions);
                let wait = self.estimate_wait(now, service, class, competing);
                let is_late = if self.has_open_endpoint(service, call.regions) {
                    wait + queued_call.work > time_left
                } else {
                    !self.opens_in_time(now, call)
                };
                if is_late {
                    unanswerable.push((queued_call.call, ErrorKind::Saturated));
                } else {
                    work += queued_call.work;
                }
            }
            for (key, kind) in unanswerable {
                self.refuse(now, key, kind);
            }
        }
    }

    /// Removes a call and refuses it.
    ///
    /// If an attempt may have run, a `kind` that claims otherwise is replaced by
    /// the error of that attempt.
    pub(super) fn refuse(&mut self, now: Instant, key: CallKey, kind: ErrorKind) {
        let row = &self.calls[key];
        let call = row.call;
        let run_error = row.run_error.filter(|_| kind.answer().not_run);
        let kind = run_error.unwrap_or(kind);
        let retry_after = if matches!(kind, ErrorKind::NoEndpoint | ErrorKind::NoEndpointInRegion)
            && self.is_evacuated(call.service)
        {
            EVACUATED_DELAY.mul_f64(0.75 + 0.5 * self.rng.random::<f64>())
        } else {
            self.next_return(now, &call)
        };
        self.remove_call(now, key);
        self.steps.push_back(Step::Refuse {
            id: call.id,
            kind,
            retry_after,
        });
    }

    /// Returns whether an evacuation has closed endpoints of a service.
    fn is_evacuated(&self, service: ServiceKey) -> bool {
        let keys = self.services.get(service).map(|row| &row.endpoints);
        let mut keys = keys.into_iter().flatten();
        keys.any(|key| self.endpoints[*key].evacuated)
    }

    /// Chooses when a refused caller should come back.
    fn next_return(&mut self, now: Instant, call: &Call) -> Duration {
        let random = self.rng.random();
        let Some(row) = self.services.get(call.service) else {
            return Duration::ZERO;
        };
        let mean = row.service_times.estimate(call).map_or(0.1, |e| e.mean);
        if call.account.is_some() && self.is_contended(call.service) {
            return self.next_account_return(now, call, mean, random);
        }
        let work = row.queue(call.class).work() * row.competing_share(call.class, call.regions);
        let wait = self.estimate_wait(now, call.service, call.class, work);
        let interval = self.estimate_wait(now, call.service, call.class, mean);
        let opens_in = self
            .opens_at(now, call.service, call.regions)
            .map(|at| at - now);
        let wait = wait.max(opens_in.unwrap_or_default().as_secs_f64());
        let row = &mut self.services[call.service];
        row.return_schedules[call.class.index()].reserve(now, wait, interval, random)
    }

    /// Records that an admitted call could not be answered in time.
    pub(super) fn record_late(&mut self, service: ServiceKey) {
        let wait_margin = &mut self.services[service].wait_margin;
        *wait_margin = (*wait_margin * WAIT_MARGIN_RAISE).min(MAX_WAIT_MARGIN);
    }

    /// Records that an admitted call was answered in time.
    pub(super) fn record_on_time(&mut self, service: ServiceKey) {
        let wait_margin = &mut self.services[service].wait_margin;
        *wait_margin += WAIT_MARGIN_EASE * (BASE_WAIT_MARGIN - *wait_margin);
    }

    /// Removes a call from its queue, if it is queued; `is_started` if it runs now.
    pub(super) fn dequeue(&mut self, key: CallKey, is_started: bool) {
        let row = &mut self.calls[key];
        if row.queued {
            row.queued = false;
            let (account, queue_key) = (row.queue_account, row.queue_key());
            let service_row = &mut self.services[row.call.service];
            service_row.restricted[row.call.class.index()].remove(row.call.regions, row.work);
            let queue = &mut service_row.queues[row.call.class.index()];
            if is_started {
                queue.start(account, queue_key);
            } else {
                queue.remove(account, queue_key);
            }
        }
    }

    /// Removes a call from all tables and cancels its running attempts.
    pub(super) fn remove_call(&mut self, now: Instant, key: CallKey) {
        self.dequeue(key, false);
        for attempt_index in 0..2 {
            self.cancel_attempt(now, key, attempt_index);
        }
        if let Some(row) = self.calls.remove(key) {
            self.call_keys.remove(&row.call.id);
            if let Some(timer_at) = row.timer_at {
                self.timers.remove(&(timer_at, Timer::Call(key)));
            }
        }
    }

    pub(super) fn estimate(&self, call: &Call) -> Option<Estimate> {
        self.services[call.service].service_times.estimate(call)
    }

    pub(super) fn can_answer_in_time(&self, now: Instant, call: &Call) -> bool {
        let median = self.estimate(call).map_or(0.0, |e| e.known_median());
        now + seconds(median) < call.deadline
    }
}

/// Returns whether a call can be answered in time.
///
/// `slowness` raises only the mean: the tail was learned from slow hosts as well. It does
/// not count for a call that finds a free slot, which a false report must not refuse.
pub(super) fn fits_deadline(
    wait: f64,
    wait_margin: f64,
    estimate: &Estimate,
    slowness: f64,
    time_left: f64,
) -> bool {
    if wait < NEGLIGIBLE_WAIT_SECS {
        return estimate.known_median() <= time_left;
    }
    let known_mean = if estimate.is_known() {
        estimate.mean * slowness
    } else {
        0.0
    };
    let tail = estimate
        .p999
        .min((time_left * MAX_TAIL_SHARE).max(known_mean));
    wait * wait_margin + tail <= time_left
}
