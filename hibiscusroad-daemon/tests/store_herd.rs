//! Writes of many processes to one part of the store, which carries out a limited number of
//! transactions a second, in virtual time.

use hibiscusroad::timeout::{AdaptiveTimeout, CallEnd};
use hibiscusroad_daemon::platform::Backoff;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

/// Time that the part takes for one transaction.
const TRANSACTION_TIME: Duration = Duration::from_micros(3_333);
/// Transactions that would wait longer than this are refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
const ROUND_TRIP: Duration = Duration::from_millis(4);
const WRITE_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_800));
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// Processes start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(300);
/// End of the simulation.
const HORIZON: Duration = Duration::from_mins(1);

/// A process that writes until a write is answered.
struct Process {
    timeout: AdaptiveTimeout,
    backoff: Backoff,
}

/// What happens at a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Send,
    Answer(Duration),
    Refusal,
    Timeout,
}

/// The part: when it has carried out all transactions that it accepted.
#[derive(Default)]
struct Part {
    free_at: Duration,
}

impl Part {
    /// Returns when a transaction is answered; `None` if it is refused.
    fn accept(&mut self, now: Duration) -> Option<Duration> {
        let start = self.free_at.max(now);
        if start > now + MAX_QUEUE_TIME {
            return None;
        }
        self.free_at = start + TRANSACTION_TIME;
        Some(self.free_at)
    }
}

/// Returns how long it takes until every process has had one answered write, or the horizon.
/// Each process begins with the write timeout that `timeout` returns.
fn time_until_all_have_written(
    processes: usize,
    seed: u64,
    timeout: impl Fn() -> AdaptiveTimeout,
) -> Duration {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut part = Part::default();
    let mut events = BinaryHeap::new();
    let mut waiting: HashMap<usize, Process> = HashMap::new();
    for n in 0..processes {
        let process = Process {
            timeout: timeout(),
            backoff: Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1),
        };
        waiting.insert(n, process);
        events.push(Reverse((
            START_SPREAD.mul_f64(rng.random()),
            n,
            Event::Send,
        )));
    }
    while let Some(Reverse((now, n, event))) = events.pop() {
        let Some(process) = waiting.get_mut(&n).filter(|_| now < HORIZON) else {
            continue;
        };
        let end = match event {
            Event::Send => {
                let answer = part.accept(now).map(|done| done + ROUND_TRIP);
                let limit = now + process.timeout.current();
                events.push(Reverse(match answer {
                    Some(at) if at <= limit => (at, n, Event::Answer(at.saturating_sub(now))),
                    Some(_) => (limit, n, Event::Timeout),
                    None => (now + ROUND_TRIP, n, Event::Refusal),
                }));
                continue;
            }
            Event::Answer(latency) => CallEnd::Answered(latency),
            Event::Refusal => CallEnd::Refused,
            Event::Timeout => CallEnd::TimedOut,
        };
        process.timeout.record(end);
        if matches!(end, CallEnd::Answered(_)) {
            waiting.remove(&n);
            if waiting.is_empty() {
                return now;
            }
            continue;
        }
        let delay = process.backoff.next_wait(&mut rng);
        events.push(Reverse((now + delay, n, Event::Send)));
    }
    HORIZON
}

// Guards against a part of the store whose whole capacity goes to writes that their
// processes have given up, after many processes have started together.
#[test]
fn all_processes_write_soon_after_a_common_start() {
    let new = || AdaptiveTimeout::new(WRITE_TIMEOUTS.0, WRITE_TIMEOUTS.1);
    for processes in [100, 300, 635, 1_270] {
        let capacity = TRANSACTION_TIME * u32::try_from(processes).unwrap();
        for seed in 0..5 {
            let took = time_until_all_have_written(processes, seed, new);
            let limit = capacity * 2 + Duration::from_secs(1);
            assert!(
                took <= limit,
                "{processes} processes, seed {seed}: {took:?}"
            );
        }
    }
}

// Guards against the same where the timeouts have adapted to a quick store before, as at the
// end of an outage.
#[test]
fn all_processes_write_soon_after_an_outage() {
    let adapted = || {
        let mut timeout = AdaptiveTimeout::new(WRITE_TIMEOUTS.0, WRITE_TIMEOUTS.1);
        (0..20).for_each(|_| timeout.record(CallEnd::Answered(ROUND_TRIP)));
        timeout
    };
    for processes in [100, 300, 635, 1_270] {
        let capacity = TRANSACTION_TIME * u32::try_from(processes).unwrap();
        for seed in 0..5 {
            let took = time_until_all_have_written(processes, seed, adapted);
            let limit = capacity * 3 + Duration::from_secs(2);
            assert!(
                took <= limit,
                "{processes} processes, seed {seed}: {took:?}"
            );
        }
    }
}
