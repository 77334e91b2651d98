//! Whether a call can be answered in time, decided when it arrives.
//!
//! Load: a weekend's parents at four times what the booking servers can do.
//! Harm: each late answer is a caller lost, and the work for it is taken from
//! one who could have been answered. So a call is let in only if the work
//! ahead of it, divided by the share of the slots that its class gets, and the
//! tail of its own service time fit before its deadline. Everything that is
//! read here is kept up to date by other events: the decision costs no scan.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        ServiceKey,
        drain::seconds,
        learn::Estimate,
        place::DISPATCH_INTERVAL,
        queue::QueuedCall,
        router::Router,
        share,
        spec::{Call, Step},
        table::{CallKey, Timer},
    },
};
use rand::Rng;
use std::time::{Duration, Instant};

/// The estimate of the wait is an average, and slots end in bunches: a third
/// more keeps late answers below one in a thousand of those let in, if nobody
/// else uses the endpoints.
pub(super) const BASE_WAIT_MARGIN: f64 = 1.35;
/// Other entries take slots away unseen. Each call that was let in and can't be
/// answered raises the care by a tenth, each answer lowers it a little: that
/// balances at one such call in 2,000 answers when the care is 1.5.
const WAIT_MARGIN_RAISE: f64 = 1.1;
const WAIT_MARGIN_EASE: f64 = 0.0005;
/// Then three quarters of the time left are kept in reserve; more would refuse
/// calls that an idle service answers.
const MAX_WAIT_MARGIN: f64 = 4.0;
/// The tail takes at most this part of the time left: a class whose slowest
/// calls outlast every deadline would otherwise be refused whole.
const MAX_TAIL_SHARE: f64 = 0.5;
/// A call that waits less than this is not worth refusing for its tail.
const NEGLIGIBLE_WAIT_SECS: f64 = 0.001;

impl Router {
    /// Refuses the call or lets it wait.
    pub(super) fn admit(&mut self, now: Instant, key: CallKey) -> bool {
        let row = &self.calls[key];
        let call = row.call;
        if call.deadline <= now {
            self.refuse(now, key, ErrorKind::Expired);
            return false;
        }
        if let Err(kind) = self.check_admission(now, &call) {
            self.refuse(now, key, kind);
            return false;
        }
        self.enqueue(now, key);
        true
    }

    fn check_admission(&self, now: Instant, call: &Call) -> Result<(), ErrorKind> {
        let row = &self.services[call.service];
        let queue = row.queue(call.class);
        if row.usable == 0 && row.awaiting_trial.is_empty() {
            return Err(ErrorKind::NoEndpoint);
        }
        if queue.len() >= row.spec.depth {
            return Err(ErrorKind::Saturated);
        }
        let time_left = (call.deadline - now).as_secs_f64();
        let Some(estimate) = row.service_times.estimate(call) else {
            return Ok(());
        };
        // With all slots in use the next one that ends is waited for as well.
        let slot_wait = if row.free_slots == 0 {
            estimate.mean
        } else {
            0.0
        };
        let work_ahead = queue.work_before(call.deadline) + slot_wait;
        let wait = self.estimate_wait(now, call.service, call.class, work_ahead);
        if !fits_deadline(wait, row.wait_margin, &estimate, time_left) {
            return Err(ErrorKind::Saturated);
        }
        // Those behind it in the queue must not be made late by it either.
        let Some(last) = queue.last().filter(|last| last.deadline > call.deadline) else {
            return Ok(());
        };
        let total_work = queue.work() + estimate.mean + slot_wait;
        let wait = self.estimate_wait(now, call.service, call.class, total_work);
        let time_left = (last.deadline - now).as_secs_f64();
        if fits_deadline(wait, row.wait_margin, &estimate, time_left) {
            Ok(())
        } else {
            Err(ErrorKind::Saturated)
        }
    }

    /// Estimates how long `work` of a class takes to start, in seconds.
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
        work * row.slowdown.max(1.0) / (capacity * share::expected_share(row, now, class))
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: CallKey) {
        let row = &mut self.calls[key];
        row.queued = true;
        let queued_call = QueuedCall {
            call: key,
            work: row.work,
        };
        let (service, class, queue_key) = (row.call.service, row.call.class, row.queue_key());
        let service_row = &mut self.services[service];
        service_row.queues[class.index()].push(queue_key, queued_call);
        if service_row.timer_at.is_none() {
            service_row.timer_at = Some(now + DISPATCH_INTERVAL);
            self.timers
                .insert((now + DISPATCH_INTERVAL, Timer::Service(service)));
        }
        // What can't be answered any more leaves then, not when its turn comes.
        let call = self.calls[key].call;
        let median = self.estimate(&call).map_or(0.0, |e| e.p50);
        let latest_start = call.deadline.checked_sub(seconds(median));
        let latest_start = latest_start.map_or(now, |at| at.max(now));
        self.calls[key].latest_start = latest_start;
        self.set_call_timer(key, latest_start);
    }

    /// Refuses what can't be answered any more after capacity was lost.
    ///
    /// Holding it until its deadline would let callers wait for an answer that
    /// is already known.
    pub(super) fn refuse_unanswerable(&mut self, now: Instant, service: ServiceKey) {
        for class in Class::ALL {
            let row = &self.services[service];
            let no_endpoint = row.usable == 0 && row.awaiting_trial.is_empty();
            let mut work = 0.0;
            let mut unanswerable = Vec::new();
            for (queue_key, queued_call) in row.queue(class).iter() {
                let time_left = (queue_key.deadline - now).as_secs_f64();
                let wait = self.estimate_wait(now, service, class, work);
                if no_endpoint || wait + queued_call.work > time_left {
                    unanswerable.push(queued_call.call);
                } else {
                    work += queued_call.work;
                }
            }
            let kind = if no_endpoint {
                ErrorKind::NoEndpoint
            } else {
                ErrorKind::Saturated
            };
            for key in unanswerable {
                self.refuse(now, key, kind);
            }
        }
    }

    /// Gives the final refusal and forgets the call.
    ///
    /// Of a call that may have run no kind may say that it didn't: then what
    /// became of its last attempt is told instead.
    pub(super) fn refuse(&mut self, now: Instant, key: CallKey, kind: ErrorKind) {
        let row = &self.calls[key];
        let call = row.call;
        let run_error = row.run_error.filter(|_| kind.answer().not_run);
        let kind = run_error.unwrap_or(kind);
        let after = self.next_return(now, &call);
        self.remove_call(now, key);
        self.steps.push_back(Step::Refuse {
            id: call.id,
            kind,
            after,
        });
    }

    fn next_return(&mut self, now: Instant, call: &Call) -> Duration {
        let random = self.rng.random();
        let Some(row) = self.services.get(call.service) else {
            return Duration::ZERO;
        };
        let mean = row.service_times.estimate(call).map_or(0.1, |e| e.mean);
        let wait = self.estimate_wait(now, call.service, call.class, row.queue(call.class).work());
        let interval = self.estimate_wait(now, call.service, call.class, mean);
        let row = &mut self.services[call.service];
        row.return_schedules[call.class.index()].reserve(now, wait, interval, random)
    }

    /// Notes that a call that was let in couldn't be answered in time.
    pub(super) fn record_late(&mut self, service: ServiceKey) {
        let wait_margin = &mut self.services[service].wait_margin;
        *wait_margin = (*wait_margin * WAIT_MARGIN_RAISE).min(MAX_WAIT_MARGIN);
    }

    /// Notes that a call that was let in was answered in time.
    pub(super) fn record_on_time(&mut self, service: ServiceKey) {
        let wait_margin = &mut self.services[service].wait_margin;
        *wait_margin += WAIT_MARGIN_EASE * (BASE_WAIT_MARGIN - *wait_margin);
    }

    /// Takes a call out of its queue, if it waits.
    pub(super) fn dequeue(&mut self, key: CallKey) {
        let row = &mut self.calls[key];
        if row.queued {
            row.queued = false;
            let queue_key = row.queue_key();
            let queues = &mut self.services[row.call.service].queues;
            queues[row.call.class.index()].remove(queue_key);
        }
    }

    /// Removes a call from all tables and cancels what runs of it.
    pub(super) fn remove_call(&mut self, now: Instant, key: CallKey) {
        self.dequeue(key);
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
        let median = self.estimate(call).map_or(0.0, |e| e.p50);
        now + seconds(median) < call.deadline
    }
}

fn fits_deadline(wait: f64, wait_margin: f64, estimate: &Estimate, time_left: f64) -> bool {
    if wait < NEGLIGIBLE_WAIT_SECS {
        return estimate.p50 <= time_left;
    }
    let tail = estimate
        .p999
        .min((time_left * MAX_TAIL_SHARE).max(estimate.mean));
    wait * wait_margin + tail <= time_left
}
